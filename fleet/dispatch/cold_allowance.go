package dispatch

import (
	"math"
	"time"
)

// ColdAllowance is what a platform tolerates beyond what services declare for cold upstreams:
// Excess times the declared number of requests in a second, and Slack more. The zero value means
// that it is not known.
//
// An upstream that turns cold under its identifier gets requests like a warm one until the list
// tells. So that these are no more than the platform tolerates, the leader gives no upstream of a
// service that declares cold ones more in coldWindow, ever. It matters for single busy upstreams:
// the mean of all is below.
type ColdAllowance struct {
	Excess float64
	Slack  float64
}

// requests returns the number of requests that the leader gives an upstream in coldWindow, or zero
// if there is no limit. PerSecond is what the service declares, or zero.
func (a ColdAllowance) requests(perSecond float64) int {
	if a.Excess <= 0 || perSecond <= 0 {
		return 0
	}
	return int(max(1, math.Floor(perSecond*a.Excess+a.Slack)-aloneRequests(perSecond)))
}

// recentStarts are the times of the last requests to an upstream, as many as it may get in
// coldWindow. It is empty without a limit.
type recentStarts struct {
	times  []time.Time
	oldest int
}

// limit sets the number of times.
func (r *recentStarts) limit(n int) {
	if len(r.times) != n {
		*r = recentStarts{
			times: make([]time.Time, n),
		}
	}
}

// add records a request.
func (r *recentStarts) add(now time.Time) {
	if len(r.times) > 0 {
		r.times[r.oldest] = now
		r.oldest = (r.oldest + 1) % len(r.times)
	}
}

// wait returns the time until the upstream may get the next request.
func (r *recentStarts) wait(now time.Time) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	return max(coldWindow-now.Sub(r.times[r.oldest]), 0)
}

// setAllowance sets the limit of an upstream's recent requests. Gateways that decide alone have
// none: each sends a small part of the requests.
func (s *Scheduler) setAllowance(e *engine) {
	n := 0
	if _, perSecond := s.declaredCold(e.Service); !s.decidesAlone() {
		n = s.settings.ColdAllowance.requests(perSecond)
	}
	e.recent.limit(n)
}

// withinAllowance reports whether the upstream may get a request although it might be cold without
// that being known. If not, it is recorded in c.
func (s *Scheduler) withinAllowance(now time.Time, e *engine, c *choice) bool {
	wait := e.recent.wait(now)
	if wait > 0 && (c.paced == nil || wait < c.pacedFor) {
		c.paced, c.pacedFor = e, wait
	}
	return wait <= 0
}
