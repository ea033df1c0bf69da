package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1000, 0)

func newCore(upstreams ...Upstream) *Core {
	c := New(Settings{}, rand.New(rand.NewPCG(1, 2)))
	if len(upstreams) > 0 {
		c.SetUpstreams(upstreams)
	}
	return c
}

func upstreamAt(id string) Upstream {
	return Upstream{
		ID:      id,
		Service: "desk",
		Address: id + ":1",
		Slots:   4,
	}
}

// TestPlacementsComeBeforeTheList tells a new core of requests at upstreams before
// it knows any: they count once the list is there.
func TestPlacementsComeBeforeTheList(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Sent("gateway", 1, "a", Prompt{}, false)
	c.Sent("gateway", 2, "a", Prompt{}, false)
	c.SetUpstreams([]Upstream{upstreamAt("a"), upstreamAt("b")})
	for id := range uint64(2) {
		d := c.Place(begin, "gateway", Request{
			ID:      10 + id,
			Service: "desk",
		})
		is.Equal(d.Upstream, "b")
	}
}

// TestCrashWithManyRequests has an upstream break off all that it runs at once, as
// in a crash, and come back soon: that is one failure, so it is tried again after
// the first suspension. If it is still down, the suspensions grow.
func TestCrashWithManyRequests(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"))
	const running = 24
	for id := range uint64(running) {
		c.Sent("gateway", id, "a", Prompt{}, true)
	}
	for id := range uint64(running) {
		c.Ended(begin, Key{
			Gateway: "gateway",
			ID:      id,
		}, Broken)
	}
	ask := func(id uint64, at time.Time) string {
		return c.Place(at, "gateway", Request{
			ID:         id,
			Service:    "desk",
			Repeatable: true,
		}).Upstream
	}
	is.Equal(ask(100, begin.Add(firstSuspension-1)), "")
	is.Equal(ask(101, begin.Add(firstSuspension)), "a")
	at := begin.Add(firstSuspension)
	c.Ended(at, Key{
		Gateway: "gateway",
		ID:      101,
	}, Unreachable)
	is.Equal(ask(102, at.Add(2*firstSuspension-1)), "")
	is.Equal(ask(103, at.Add(2*firstSuspension)), "a")
}
