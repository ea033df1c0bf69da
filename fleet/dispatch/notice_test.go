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
