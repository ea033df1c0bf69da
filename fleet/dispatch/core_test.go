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
