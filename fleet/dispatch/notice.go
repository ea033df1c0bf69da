package dispatch

import "time"

// Notice is what an upstream announced about itself in the headers of a response.
type Notice struct {
	Upstream string `cbor:"1,keyasint"`
	// Leaving reports whether the upstream stops soon and wants no new requests.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Backoff is the time for which the upstream wants no requests from the gateway that
	// got the notice, or zero. It counts from the time at which the notice is applied.
	Backoff time.Duration `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the upstream announced nothing.
func (n Notice) Empty() bool { return !n.Leaving && n.Backoff <= 0 }

// Effects of notices.
const (
	// leavingTimeout is the time for which an upstream that is leaving gets no requests.
	// Most have stopped by then; one that has not repeats its notice with its next
	// response.
	leavingTimeout = time.Minute
	// maxLastChoice bounds the time for which an upstream that asked one gateway for
	// backoff is the last choice of the others.
	maxLastChoice = time.Second
	// lastChoiceCost is the penalty for placing a request at such an upstream, in prompt
	// tokens, and plainLastChoiceCost that for a plain service, in running requests.
	lastChoiceCost      = 20_000.0
	plainLastChoiceCost = 4.0
)

// ApplyOwnNotice applies a notice that was sent to the gateway which this Scheduler decides
// for. It holds until the upstream restarts or its time has passed.
func (s *Scheduler) ApplyOwnNotice(now time.Time, n Notice) {
	e := s.engine(n.Upstream)
	e.applyLeaving(now, n)
	if until := now.Add(n.Backoff); n.Backoff > 0 && until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
}

// ApplyPeerNotice applies a notice that was sent to some gateway of the fleet. An upstream
// that is leaving gets no more requests. A backoff concerns only the gateway that got the
// notice and is enforced there; for the others the upstream is the last choice for a short
// time.
func (s *Scheduler) ApplyPeerNotice(now time.Time, n Notice) {
	e := s.engine(n.Upstream)
	e.applyLeaving(now, n)
	if n.Backoff > 0 {
		e.lastChoiceUntil = now.Add(min(n.Backoff, maxLastChoice))
	}
}

// applyLeaving excludes the upstream for leavingTimeout if the notice says that it leaves.
func (e *engine) applyLeaving(now time.Time, n Notice) {
	if n.Leaving {
		e.leavingUntil = now.Add(leavingTimeout)
	}
}

// declines reports whether the upstream wants no requests now: it is leaving or asked for
// backoff.
func (e *engine) declines(now time.Time) bool {
	return now.Before(e.leavingUntil) || now.Before(e.backoffUntil)
}

// Declines reports whether an upstream wants no requests now or is in an evacuated
// availability zone. An unknown upstream declines none.
func (s *Scheduler) Declines(now time.Time, upstream string) bool {
	e := s.engines[upstream]
	return e != nil && (e.declines(now) || e.evacuated)
}

// Declining returns the identifiers of a service's upstreams that want no requests now.
func (s *Scheduler) Declining(now time.Time, service string) []string {
	var out []string
	for _, e := range s.services[service] {
		if e.declines(now) {
			out = append(out, e.ID)
		}
	}
	return out
}

// BackoffUntil returns the time at which the first upstream of a service takes requests
// again, and whether all upstreams that are neither draining, evacuated nor leaving want
// backoff now.
// It returns false if there are no such upstreams.
func (s *Scheduler) BackoffUntil(now time.Time, service string) (time.Time, bool) {
	var first time.Time
	for _, e := range s.services[service] {
		if e.Draining || e.evacuated || now.Before(e.leavingUntil) {
			continue
		}
		if !now.Before(e.backoffUntil) {
			return time.Time{}, false
		}
		if first.IsZero() || e.backoffUntil.Before(first) {
			first = e.backoffUntil
		}
	}
	return first, !first.IsZero()
}

// maxUnlistedBackoffs bounds the upstreams that are not listed and whose backoff is kept.
const maxUnlistedBackoffs = 1024

// unlistedBackoff is the backoff of an upstream that left the list. An entry that is missing for a
// while is no sign of a restart.
type unlistedBackoff struct {
	until    time.Time
	upstream Upstream
}

// keepBackoff keeps the backoff of an upstream that is not listed, unless it was seen to be down.
func (s *Scheduler) keepBackoff(e *engine) {
	if e.listed || e.backoffUntil.IsZero() || !e.versionCertain() {
		return
	}
	if len(s.backoffs) >= maxUnlistedBackoffs {
		clear(s.backoffs)
	}
	s.backoffs[e.ID] = unlistedBackoff{
		until:    e.backoffUntil,
		upstream: e.Upstream,
	}
}

// restoreBackoff restores the backoff of an upstream that is listed again as it was.
func (s *Scheduler) restoreBackoff(e *engine, u Upstream) {
	kept, ok := s.backoffs[u.ID]
	if !ok {
		return
	}
	delete(s.backoffs, u.ID)
	if before := kept.upstream; before.Address == u.Address && before.Version == u.Version && before.Draining == u.Draining {
		e.backoffUntil = kept.until
	}
}

// Notices returns the notices that are still in force at this Scheduler, with the remaining
// time of each.
func (s *Scheduler) Notices(now time.Time) []Notice {
	var out []Notice
	for _, e := range s.engines {
		if !e.declines(now) {
			continue
		}
		out = append(out, Notice{
			Upstream: e.ID,
			Leaving:  now.Before(e.leavingUntil),
			Backoff:  max(e.backoffUntil.Sub(now), 0),
		})
	}
	return out
}

// engine returns an upstream, which it adds if it is unknown: placements and notices may
// name an upstream before the platform's list does.
func (s *Scheduler) engine(id string) *engine {
	e := s.engines[id]
	if e == nil {
		e = &engine{
			cache: &prefixCache{},
		}
		e.ID = id
		s.engines[id] = e
	}
	return e
}
