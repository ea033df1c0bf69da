package gateway

import (
	"time"

	"baobabpaddle/fleet/share"
)

// Reporter sends reports to the accountant.
type Reporter interface {
	// Report reports whether there was a link on which the reports were sent.
	Report(reports []share.Report) bool
}

// teamWeight is the weight of a team, and the version of the team's resource that set it.
type teamWeight struct {
	version uint64
	weight  float64
}

// setWeight sets the weight of a team unless a newer version is known. Weights that are
// not positive are ignored.
func (s *Scheduler) setWeight(team share.TeamID, weight float64, version uint64) {
	old := s.weights[team]
	if weight <= 0 || version < old.version || (version == old.version && weight == old.weight) {
		return
	}
	s.weights[team] = teamWeight{
		version: version,
		weight:  weight,
	}
	for _, q := range s.queues {
		q.SetWeight(team)
	}
}

// SetTotals passes the fleet-wide totals, the accountant's answer to reports, to the queues.
func (s *Scheduler) SetTotals(totals []share.Totals) {
	s.post(func(now time.Time) {
		for _, t := range totals {
			if q := s.queues[t.Service]; q != nil {
				q.SetTotals(now, t)
			}
		}
	})
}

// FullReports returns a report with every counter for each queue, for an accountant that
// may have no state.
func (s *Scheduler) FullReports() []share.Report {
	return call(s, func(now time.Time) []share.Report {
		out := make([]share.Report, 0, len(s.queues))
		for _, q := range s.queues {
			out = append(out, q.Report(now, true))
		}
		return out
	})
}

// SetLoad adjusts the concurrency limit of an upstream to its load report.
func (s *Scheduler) SetLoad(service share.ServiceID, upstream share.UpstreamID, load share.Load) {
	s.post(func(now time.Time) {
		if q := s.queues[service]; q != nil {
			if l := q.Limit(upstream); l != nil {
				l.Report(now, load)
			}
		}
	})
}
