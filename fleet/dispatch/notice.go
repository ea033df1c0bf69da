package dispatch

import "time"

// Notice is what an upstream has said of itself in an answer.
type Notice struct {
	Upstream string `cbor:"1,keyasint"`
	// Leaving tells that it stops soon and wants no new requests.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Backoff is for how long it wants no requests from the gateway that it told;
	// zero is none. It counts from when the word is taken.
	Backoff time.Duration `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the upstream has said nothing.
func (w Notice) Empty() bool { return !w.Leaving && w.Backoff <= 0 }

// Figures of words.
const (
	// leavingTimeout is how long an upstream that said it leaves gets nothing. Most
	// are gone by then; one that is not says so again with its next answer.
	leavingTimeout = time.Minute
	// maxLastChoice bounds how long an upstream that wants rest from one gateway is
	// the last choice of the others.
	maxLastChoice = time.Second
	// lastChoiceCost is what such an upstream costs a newcomer, in prompt tokens, and
	// plainStrainedCost for a plain service, in running requests.
	lastChoiceCost      = 20_000.0
	plainLastChoiceCost = 4.0
)

// ApplyOwnNotice takes what an upstream has said to the gateway that this core decides for.
// It holds until the upstream starts anew or the time is over.
func (s *Scheduler) ApplyOwnNotice(now time.Time, w Notice) {
	e := s.engine(w.Upstream)
	e.applyLeaving(now, w)
	if until := now.Add(w.Backoff); w.Backoff > 0 && until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
}

// ApplyPeerNotice takes what an upstream has said to some gateway. One that leaves gets nothing
// more. One that wants rest does so from that gateway, which keeps to it by itself;
// for the others it is the last choice for a short time.
func (s *Scheduler) ApplyPeerNotice(now time.Time, w Notice) {
	e := s.engine(w.Upstream)
	e.applyLeaving(now, w)
	if w.Backoff > 0 {
		e.lastChoiceUntil = now.Add(min(w.Backoff, maxLastChoice))
	}
}

func (e *engine) applyLeaving(now time.Time, w Notice) {
	if w.Leaving {
		e.leavingUntil = now.Add(leavingTimeout)
	}
}

// declines reports whether the upstream wants no requests now.
func (e *engine) declines(now time.Time) bool {
	return now.Before(e.leavingUntil) || now.Before(e.backoffUntil)
}

// Declines reports whether an upstream wants no requests now.
func (s *Scheduler) Declines(now time.Time, upstream string) bool {
	e := s.engines[upstream]
	return e != nil && e.declines(now)
}

// Declining returns the upstreams of a service that want no requests now.
func (s *Scheduler) Declining(now time.Time, service string) []string {
	var out []string
	for _, e := range s.services[service] {
		if e.declines(now) {
			out = append(out, e.ID)
		}
	}
	return out
}

// BackoffUntil returns when the first upstream of a service takes requests again, if
// all that could take them want rest now.
func (s *Scheduler) BackoffUntil(now time.Time, service string) (time.Time, bool) {
	var first time.Time
	for _, e := range s.services[service] {
		if e.Draining || now.Before(e.leavingUntil) {
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

// Notices returns what upstreams have said to this core's gateway and still holds.
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

// engine returns an upstream, which the list may name only later.
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
