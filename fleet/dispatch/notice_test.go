package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func ask(id uint64) Request {
	return Request{
		ID:      id,
		Service: "desk",
	}
}

// TestLeavingUpstreamGetsNothing has an upstream say that it leaves, and the list
// still show it as ready: it gets nothing until the mark is old, or until the list
// shows that it has started anew.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"))
	c.ApplyOwnNotice(begin, Notice{
		Upstream: "a",
		Leaving:  true,
	})
	is.Equal(c.Place(begin, "g", ask(1)).Reason, NoUpstream)
	c.SetUpstreams([]Upstream{upstreamAt("a")}) // the same list again changes nothing
	is.Equal(c.Place(begin, "g", ask(2)).Reason, NoUpstream)
	is.Equal(c.Place(begin.Add(leavingMemory), "g", ask(3)).Upstream, "a")

	c.ApplyOwnNotice(begin, Notice{
		Upstream: "a",
		Leaving:  true,
	})
	draining := upstreamAt("a")
	draining.Draining = true
	c.SetUpstreams([]Upstream{draining})
	c.SetUpstreams([]Upstream{upstreamAt("a")})
	is.Equal(c.Place(begin, "g", ask(4)).Upstream, "a") // started anew under its identifier
}

// TestWordsComeBeforeTheList tells a new leader that an upstream leaves before it has
// read the list.
func TestWordsComeBeforeTheList(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.ApplyPeerNotice(begin, Notice{
		Upstream: "a",
		Leaving:  true,
	})
	c.SetUpstreams([]Upstream{upstreamAt("a"), upstreamAt("b")})
	for id := range uint64(4) {
		is.Equal(c.Place(begin, "g", ask(id)).Upstream, "b")
	}
}

// TestRestIsKept has all upstreams ask for rest: nothing is sent, and the first time
// at which one of them takes requests again is known.
func TestRestIsKept(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"), upstreamAt("b"))
	c.ApplyOwnNotice(begin, Notice{
		Upstream: "a",
		Backoff:  3 * time.Second,
	})
	_, all := c.BackoffUntil(begin, "desk")
	is.True(!all)
	is.Equal(c.Place(begin, "g", ask(1)).Upstream, "b")
	c.ApplyOwnNotice(begin, Notice{
		Upstream: "b",
		Backoff:  2 * time.Second,
	})
	c.ApplyOwnNotice(begin, Notice{
		Upstream: "b",
		Backoff:  time.Second, // a shorter time does not end the longer one
	})
	is.Equal(c.Place(begin, "g", ask(2)).Reason, NoUpstream)
	until, all := c.BackoffUntil(begin, "desk")
	is.True(all)
	is.Equal(until, begin.Add(2*time.Second))
	is.Equal(c.Place(until, "g", ask(3)).Upstream, "b")
	is.Equal(c.Notices(until), []Notice{{
		Upstream: "a",
		Backoff:  time.Second,
	}})
}

// TestOthersSpareAnUpstreamThatRests has one gateway be told to leave an upstream
// alone: the leader gives it to the others only when all else is worse.
func TestOthersSpareAnUpstreamThatRests(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"), upstreamAt("b"))
	c.ApplyPeerNotice(begin, Notice{
		Upstream: "a",
		Backoff:  time.Minute,
	})
	is.Equal(c.Place(begin, "g", ask(1)).Upstream, "b")
	is.Equal(c.Place(begin, "g", ask(2)).Upstream, "b")
	c.SetUpstreams([]Upstream{upstreamAt("a")})
	is.Equal(c.Place(begin, "g", ask(3)).Upstream, "a")
}
