package dispatch

import (
	"slices"
	"time"
)

// ColdReport is what a process knows of a cold upstream, as processes report it to each other.
type ColdReport struct {
	Upstream string `cbor:"1,keyasint"`
	// Left is the time for which the upstream stays cold; zero if it isn't.
	Left time.Duration `cbor:"2,keyasint,omitempty"`
	// Suspect reports that the upstream may have restarted and has not answered since.
	Suspect bool `cbor:"3,keyasint,omitempty"`
}

// ColdReports returns what is known of the upstreams that are cold or may be, ordered by
// identifier.
func (s *Scheduler) ColdReports(now time.Time) []ColdReport {
	var reports []ColdReport
	for _, e := range s.engines {
		if e.pacer.coldPerSecond <= 0 {
			continue
		}
		left := max(e.cold.until.Sub(now), 0)
		if !e.cold.suspect() && s.unwatched() {
			left = max(left, listedWithin) // it may have restarted once more, unnoticed
		}
		reports = append(reports, ColdReport{
			Upstream: e.ID,
			Left:     left,
			Suspect:  e.cold.suspect(),
		})
	}
	slices.SortFunc(reports, func(a, b ColdReport) int {
		if a.Upstream < b.Upstream {
			return -1
		}
		return 1
	})
	return reports
}

// FollowCold takes over what the leader knows of cold upstreams.
func (s *Scheduler) FollowCold(now time.Time, reports []ColdReport) {
	for _, report := range reports {
		e := s.engine(report.Upstream)
		switch {
		case report.Left > 0 && e.cold.until.IsZero():
			s.turnCold(now, e, now.Add(report.Left), ColdReported)
		case report.Left > 0:
			e.cold.until = now.Add(report.Left)
		case report.Suspect:
			s.suspectRestart(now, e, time.Time{}, Unreachable)
		default:
			s.endCold(now, e)
		}
	}
}

// LearnCold adds what a gateway knows of cold upstreams from the time when it had another
// leader or none. The list ends it if the upstream is warm.
func (s *Scheduler) LearnCold(now time.Time, reports []ColdReport) {
	for _, report := range reports {
		e := s.engine(report.Upstream)
		until := now.Add(report.Left)
		switch {
		case e.cold.suspect():
		case report.Left > 0 && e.cold.until.IsZero():
			s.turnCold(now, e, until, ColdReported)
		case report.Left > 0 && until.After(e.cold.until):
			e.cold.until = until
		case report.Suspect && (e.cold.until.IsZero() || e.cold.cause != ColdAnsweredAgain):
			// What the list said may be of the start before.
			s.suspectRestart(now, e, time.Time{}, Unreachable)
		}
	}
}
