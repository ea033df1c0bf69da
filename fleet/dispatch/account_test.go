package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// prompted returns a request of the team that the tests watch.
func prompted(id uint64) Request {
	return Request{
		ID:      id,
		Service: "desk",
		Team:    "north",
		Prompt: Prompt{
			Tokens: 1000,
		},
		Objective: time.Second,
	}
}

func tokensOf(c *Scheduler) float64 { return c.shares.team("north").admitted.total }

// TestWhatNeverBeganIsGivenBack ends requests in each way before and after their
// answers began: only what began counts as received by the team.
func TestWhatNeverBeganIsGivenBack(t *testing.T) {
	for ending := Answered; ending <= Unsent; ending++ {
		is := is.New(t)
		c := newCore(upstreamAt("a"))
		for id := range uint64(2) {
			is.Equal(c.Place(begin, "g", prompted(id)).Upstream, "a")
		}
		is.Equal(tokensOf(c), 2000.0)
		key := Key{
			Gateway: "g",
		}
		c.RecordStart(begin, key)
		c.RecordEnd(begin, key, ending)
		is.Equal(tokensOf(c), 2000.0)
		key.ID = 1
		c.RecordEnd(begin, key, ending)
		want := 1000.0
		if ending == Answered {
			want = 2000
		}
		is.Equal(tokensOf(c), want)
	}
}

// TestGivenBackAfterTheWindow ends a request when its tokens have left the window.
func TestGivenBackAfterTheWindow(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"))
	c.Place(begin, "g", prompted(1))
	later := begin.Add(2 * DefaultShareWindow)
	c.shares.team("north").admitted.advance(c.shares.slot(later))
	c.RecordEnd(later, Key{
		Gateway: "g",
		ID:      1,
	}, Broken)
	is.Equal(tokensOf(c), 0.0)
}

// TestDecisionOfAGatewayCounts has a gateway decide for itself, since the leader was
// late: what the leader had placed is replaced, and counts once for the team.
func TestDecisionOfAGatewayCounts(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"), upstreamAt("b"))
	c.Place(begin, "g", prompted(1))
	for id := range uint64(2) {
		c.RecordPlacement(begin, Placement{
			Key: Key{
				Gateway: "g",
				ID:      1 + id,
			},
			Upstream: "b",
			Team:     "north",
			Prompt:   prompted(1).Prompt,
		}, false)
	}
	is.Equal(tokensOf(c), 2000.0)
	is.Equal(c.engines["a"].running, 0)
	is.Equal(c.engines["b"].running, 2)
}

// TestRefusedByAGatewayIsAskedFor: a team most of whose requests a gateway refuses without
// asking still asks for its share, and counts as one that wants more: the others' shares
// are no larger than with its whole demand, and those who are ahead of it are held back.
func TestRefusedByAGatewayIsAskedFor(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 9)
	c := w.core
	const window = fleetTokens * 4.5 // seconds of DefaultShareWindow
	ahead := w.request("ahead", drafts)
	c.Place(w.now, gateway, ahead)
	c.shares.team("ahead").asked.add(c.shares.slot(w.now), window)
	c.RecordGatewayRefusals(w.now, []GatewayRefusals{
		{
			Team:     "north",
			Requests: 400,
			Tokens:   window,
			Largest:  4000,
		},
	})
	now := w.now.Add(time.Second)
	c.Place(now, gateway, w.request("ahead", chats))
	is.True(c.shares.level < 0.51*window)
	is.True(c.shares.team("north").wants(c.shares.slot(now)))
}
