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
	// leavingMemory is how long an upstream that said it leaves gets nothing. Most
	// are gone by then; one that is not says so again with its next answer.
	leavingMemory = time.Minute
	// strainedMemory bounds how long an upstream that wants rest from one gateway is
	// the last choice of the others.
	strainedMemory = time.Second
	// strainedCost is what such an upstream costs a newcomer, in prompt tokens, and
	// plainStrainedCost for a plain service, in running requests.
	strainedCost      = 20_000.0
	plainStrainedCost = 4.0
)

// ApplyOwnNotice takes what an upstream has said to the gateway that this core decides for.
// It holds until the upstream starts anew or the time is over.
func (c *Scheduler) ApplyOwnNotice(now time.Time, w Notice) {
	e := c.known(w.Upstream)
	e.leave(now, w)
	if until := now.Add(w.Backoff); w.Backoff > 0 && until.After(e.restUntil) {
		e.restUntil = until
	}
}

// ApplyPeerNotice takes what an upstream has said to some gateway. One that leaves gets nothing
// more. One that wants rest does so from that gateway, which keeps to it by itself;
// for the others it is the last choice for a short time.
func (c *Scheduler) ApplyPeerNotice(now time.Time, w Notice) {
	e := c.known(w.Upstream)
	e.leave(now, w)
	if w.Backoff > 0 {
		e.strainedUntil = now.Add(min(w.Backoff, strainedMemory))
	}
}

func (e *engine) leave(now time.Time, w Notice) {
	if w.Leaving {
		e.leavingUntil = now.Add(leavingMemory)
	}
}

// unwanted reports whether the upstream wants no requests now.
func (e *engine) unwanted(now time.Time) bool {
	return now.Before(e.leavingUntil) || now.Before(e.restUntil)
}

// Declines reports whether an upstream wants no requests now.
func (c *Scheduler) Declines(now time.Time, upstream string) bool {
	e := c.engines[upstream]
	return e != nil && e.unwanted(now)
}

// Declining returns the upstreams of a service that want no requests now.
func (c *Scheduler) Declining(now time.Time, service string) []string {
	var out []string
	for _, e := range c.services[service] {
		if e.unwanted(now) {
			out = append(out, e.ID)
		}
	}
	return out
}

// BackoffUntil returns when the first upstream of a service takes requests again, if
// all that could take them want rest now.
func (c *Scheduler) BackoffUntil(now time.Time, service string) (time.Time, bool) {
	var first time.Time
	for _, e := range c.services[service] {
		if e.Draining || now.Before(e.leavingUntil) {
			continue
		}
		if !now.Before(e.restUntil) {
			return time.Time{}, false
		}
		if first.IsZero() || e.restUntil.Before(first) {
			first = e.restUntil
		}
	}
	return first, !first.IsZero()
}

// Notices returns what upstreams have said to this core's gateway and still holds.
func (c *Scheduler) Notices(now time.Time) []Notice {
	var out []Notice
	for _, e := range c.engines {
		if !e.unwanted(now) {
			continue
		}
		out = append(out, Notice{
			Upstream: e.ID,
			Leaving:  now.Before(e.leavingUntil),
			Backoff:  max(e.restUntil.Sub(now), 0),
		})
	}
	return out
}

// known returns an upstream, which the list may name only later.
func (c *Scheduler) known(id string) *engine {
	e := c.engines[id]
	if e == nil {
		e = &engine{
			kept: &prefixes{},
		}
		e.ID = id
		c.engines[id] = e
	}
	return e
}
