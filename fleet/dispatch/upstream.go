package dispatch

import (
	"time"
)

// engine is the state of one upstream, a model engine or a plain service.
type engine struct {
	Upstream
	// listed reports whether the platform's list has the upstream.
	listed bool
	// evacuated reports whether the upstream's availability zone is being evacuated.
	evacuated bool
	// prefillBacklog is the number of uncached prompt tokens in requests that were sent
	// to the upstream and whose responses have not begun.
	prefillBacklog float64
	// running is the number of requests in flight.
	running int
	// cache models the prompt segments that the engine holds.
	cache *prefixCache
	// speed is the observed prefill speed.
	speed speed
	// load is the observed response times, of a plain service.
	load slotLoad
	// slow reports whether SlownessChanges reported the upstream as slow.
	slow bool
	// placedAt is when the last request was placed.
	placedAt time.Time
	// failures is the number of failures since the last response.
	failures int
	// suspendedUntil is the time before which the upstream gets no requests. It is zero
	// unless the upstream is suspended or has not responded since a suspension.
	suspendedUntil time.Time
	// leavingUntil is the time before which the upstream gets no requests since it
	// announced its stop; backoffUntil the time before which it wants none from this
	// Scheduler's gateway.
	leavingUntil time.Time
	backoffUntil time.Time
	// lastChoiceUntil is the time before which lastChoiceCost applies.
	lastChoiceUntil time.Time
	// pacer spaces requests while the upstream states a rate limit or is cold.
	pacer pacer
	// cold is what is known about whether the upstream is cold.
	cold coldState
	// recent are the times of the last requests, where their number is limited.
	recent recentStarts
	// probing reports whether a request in flight probes the upstream after a suspension.
	probing bool
	// trials is the number of requests in flight that are trials of quarantined subjects.
	trials int
	// doubt is whether the upstream may run another software version than the list shows.
	doubt versionDoubt
	// starts is the number of restarts that were seen. What requests placed at an earlier
	// start report says nothing of the present one.
	starts int
	// crash identifies the last crash, and crashedAt is when it was noticed.
	crash     uint64
	crashedAt time.Time
}

// restarted reports whether the upstream has restarted according to its new list entry u:
// it was unlisted or draining and is back, or it has another address or software version.
func (e *engine) restarted(u Upstream) bool {
	return !e.listed || e.Draining && !u.Draining || e.Address != u.Address || e.Version != u.Version
}

// restart discards the notices, the rate limit, the speed, the cache, the probe and the cold
// time of an earlier start. Capacity is that of the new cache in tokens.
func (e *engine) restart(capacity float64) {
	e.starts++
	e.probing = false
	e.leavingUntil = time.Time{}
	e.backoffUntil = time.Time{}
	e.lastChoiceUntil = time.Time{}
	e.speed = speed{}
	e.load = slotLoad{}
	e.pacer = pacer{}
	e.cold = coldState{
		relisted: true,
	}
	e.cache = &prefixCache{
		capacity: capacity,
	}
}

// takes reports whether the upstream takes the request now.
func (e *engine) takes(now time.Time, r *Request) bool {
	return e.usable(now, r.Idempotent) && (r.Version == "" || e.Version == r.Version && e.versionCertain()) && r.names(e.ID)
}

// usable reports whether the upstream takes requests now. Idempotent reports whether the
// request may be sent again if it fails.
func (e *engine) usable(now time.Time, idempotent bool) bool {
	if !e.listed || e.Draining || e.evacuated || now.Before(e.suspendedUntil) || e.declines(now) {
		return false
	}
	if e.suspendedUntil.IsZero() {
		return true
	}
	// After a suspension a single request at a time probes the upstream. Idempotent ones
	// go first; others may probe it after idempotentProbeWait.
	return !e.probing && (idempotent || !now.Before(e.suspendedUntil.Add(idempotentProbeWait)))
}

// missingUpstream returns why no upstream takes a request.
func (s *Scheduler) missingUpstream(r Request) Reason {
	if r.Version == "" {
		return NoUpstream
	}
	for _, e := range s.services[r.Service] {
		if e.Version == r.Version && !e.Draining {
			return NoUpstream
		}
	}
	return VersionUnavailable
}
