package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFrom is the factor by which an upstream of a plain service is slower than is typical
	// from which it is reported as slow, and slowUntil the factor below which it no longer is.
	slowFrom  = 1.5
	slowUntil = 1.2
)

// SlownessChange reports that an upstream of a plain service was found slow or no longer is.
type SlownessChange struct {
	Upstream string
	Service  string
	Slow     bool
	// Factor is the response time relative to the typical one of its requests' classes.
	Factor float64
	// Limit is the number of requests at a time up to which the upstream counts as not full.
	Limit float64
}

// SlownessChanges returns the changes since the last call, ordered by upstream. It is meant to
// be called once a second.
func (s *Scheduler) SlownessChanges(now time.Time) []SlownessChange {
	var changes []SlownessChange
	for _, engines := range s.services {
		for _, e := range engines {
			factor := e.load.slowness.significant(now)
			if e.slow && factor >= slowUntil || !e.slow && factor < slowFrom {
				continue
			}
			e.slow = !e.slow
			changes = append(changes, SlownessChange{
				Upstream: e.ID,
				Service:  e.Service,
				Slow:     e.slow,
				Factor:   factor,
				Limit:    e.load.limit(now, e.Slots),
			})
		}
	}
	slices.SortFunc(changes, func(a, b SlownessChange) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return changes
}
