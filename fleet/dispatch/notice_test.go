package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func deskRequest(id uint64) Request {
	return Request{
		ID:      id,
		Service: "desk",
	}
}

// TestLeavingUpstreamGetsNoRequests has an upstream announce that it is leaving while the
// list still shows it as ready: it gets no requests until the notice expires, or until the
// list shows that it has restarted.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"))
	c.ApplyOwnNotice(begin, Notice{
		Upstream: "a",
		Leaving:  true,
	})
	is.Equal(c.Place(begin, "g", deskRequest(1)).Reason, NoUpstream)
	c.SetUpstreams([]Upstream{upstreamAt("a")}) // an unchanged list changes nothing
	is.Equal(c.Place(begin, "g", deskRequest(2)).Reason, NoUpstream)
	is.Equal(c.Place(begin.Add(leavingTimeout), "g", deskRequest(3)).Upstream, "a")

	c.ApplyOwnNotice(begin, Notice{
		Upstream: "a",
		Leaving:  true,
	})
	draining := upstreamAt("a")
	draining.Draining = true
	c.SetUpstreams([]Upstream{draining})
	c.SetUpstreams([]Upstream{upstreamAt("a")})
	is.Equal(c.Place(begin, "g", deskRequest(4)).Upstream, "a") // restarted under its identifier
}

// TestNoticesAppliedBeforeUpstreamList tells a new leader that an upstream is leaving
// before it has the list.
func TestNoticesAppliedBeforeUpstreamList(t *testing.T) {
	is := is.New(t)
	c := newScheduler()
	c.ApplyPeerNotice(begin, Notice{
		Upstream: "a",
		Leaving:  true,
	})
	c.SetUpstreams([]Upstream{upstreamAt("a"), upstreamAt("b")})
	for id := range uint64(4) {
		is.Equal(c.Place(begin, "g", deskRequest(id)).Upstream, "b")
	}
}

// TestBackoffIsObserved has all upstreams ask for backoff: no request is placed, and the
// first time at which one of them takes requests again is known.
func TestBackoffIsObserved(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"), upstreamAt("b"))
	c.ApplyOwnNotice(begin, Notice{
		Upstream: "a",
		Backoff:  3 * time.Second,
	})
	_, all := c.BackoffUntil(begin, "desk")
	is.True(!all)
	is.Equal(c.Place(begin, "g", deskRequest(1)).Upstream, "b")
	c.ApplyOwnNotice(begin, Notice{
		Upstream: "b",
		Backoff:  2 * time.Second,
	})
	c.ApplyOwnNotice(begin, Notice{
		Upstream: "b",
		Backoff:  time.Second, // a shorter backoff does not end a longer one
	})
	is.Equal(c.Place(begin, "g", deskRequest(2)).Reason, NoUpstream)
	until, all := c.BackoffUntil(begin, "desk")
	is.True(all)
	is.Equal(until, begin.Add(2*time.Second))
	is.Equal(c.Place(until, "g", deskRequest(3)).Upstream, "b")
	is.Equal(c.Notices(until), []Notice{{
		Upstream: "a",
		Backoff:  time.Second,
	}})
}

// TestBackoffOfPeerMakesUpstreamLastChoice has an upstream ask one gateway for
// backoff: the leader chooses it for other gateways only if there is no better one.
func TestBackoffOfPeerMakesUpstreamLastChoice(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"), upstreamAt("b"))
	c.ApplyPeerNotice(begin, Notice{
		Upstream: "a",
		Backoff:  time.Minute,
	})
	is.Equal(c.Place(begin, "g", deskRequest(1)).Upstream, "b")
	is.Equal(c.Place(begin, "g", deskRequest(2)).Upstream, "b")
	c.SetUpstreams([]Upstream{upstreamAt("a")})
	is.Equal(c.Place(begin, "g", deskRequest(3)).Upstream, "a")
}

// TestMissingEntryKeepsBackoff guards against requests to an upstream that wants none yet, since its entry
// was missing in the list for a while: it counted as restarted when it was back.
func TestMissingEntryKeepsBackoff(t *testing.T) {
	for name, c := range map[string]struct {
		inFlight bool // a request is at the upstream meanwhile
		down     bool // its host refused a connection
		change   func(*Upstream)
		usable   bool
	}{
		"idle": {},
		"in flight": {
			inFlight: true,
		},
		"another address": {
			change: func(u *Upstream) { u.Address = "b:1" },
			usable: true,
		},
		"another version, in flight": {
			inFlight: true,
			change:   func(u *Upstream) { u.Version = "v2" },
			usable:   true,
		},
		"down": {
			down:   true,
			usable: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(upstreamAt("a"))
			place := func(now time.Time, id uint64) Decision { return s.Place(now, "g", deskRequest(id)) }
			is.Equal(place(begin, 1).Upstream, "a")
			if !c.inFlight {
				outcome := Answered
				if c.down {
					outcome = ConnectionRefused
				}
				s.RecordEnd(begin, Key{
					Gateway: "g",
					ID:      1,
				}, outcome)
			}
			s.ApplyOwnNotice(begin, Notice{
				Upstream: "a",
				Backoff:  time.Minute,
			})
			for range 2 {
				s.SetUpstreams([]Upstream{upstreamAt("b")})
			}
			back := upstreamAt("a")
			if c.change != nil {
				c.change(&back)
			}
			s.SetUpstreams([]Upstream{back})
			later := begin.Add(time.Minute / 2) // after a suspension
			is.Equal(s.Declines(later, "a"), !c.usable)
			is.True(!s.Declines(begin.Add(time.Minute), "a"))
		})
	}
}
