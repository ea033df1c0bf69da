package gateway

import (
	"time"

	"baobabpaddle/fleet/share"
)

// Reporter sends reports to the accountant; false means that it has no link.
type Reporter interface {
	Report(reports []share.Report) bool
}

// teamWeight is a team's weight at a version.
type teamWeight struct {
	version uint64
	weight  float64
}

func (c *Scheduler) setWeight(team share.TeamID, weight float64, version uint64) {
	old := c.weights[team]
	if weight <= 0 || version < old.version || (version == old.version && weight == old.weight) {
		return
	}
	c.weights[team] = teamWeight{
		version: version,
		weight:  weight,
	}
	for _, q := range c.queues {
		q.SetWeight(team)
	}
}

// SetTotals takes the accountant's answer.
func (c *Scheduler) SetTotals(totals []share.Totals) {
	c.post(func(now time.Time) {
		for _, t := range totals {
			if q := c.queues[t.Service]; q != nil {
				q.SetTotals(now, t)
			}
		}
	})
}

// FullReports returns every counter, for an accountant that may know nothing.
func (c *Scheduler) FullReports() []share.Report {
	return ask(c, func(now time.Time) []share.Report {
		out := make([]share.Report, 0, len(c.queues))
		for _, q := range c.queues {
			out = append(out, q.Report(now, true))
		}
		return out
	})
}

// SetLoad takes an engine's load report.
func (c *Scheduler) SetLoad(service share.ServiceID, upstream share.UpstreamID, load share.Load) {
	c.post(func(now time.Time) {
		if q := c.queues[service]; q != nil {
			if l := q.Limit(upstream); l != nil {
				l.Report(now, load)
			}
		}
	})
}
