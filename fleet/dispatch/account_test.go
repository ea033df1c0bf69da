package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// teamRequest returns a request of team north.
func teamRequest(id uint64) Request {
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

func admittedTokens(c *Scheduler) float64 { return c.shares.team("north").admitted.total }

// TestUnstartedRequestsAreRefunded guards against a team that pays for tokens that it
// never received: it ends requests with each outcome before and after their responses
// began, and only those that began or were answered count as admitted.
func TestUnstartedRequestsAreRefunded(t *testing.T) {
	for outcome := Answered; outcome <= Unsent; outcome++ {
		is := is.New(t)
		c := newScheduler(upstreamAt("a"))
		for id := range uint64(2) {
			is.Equal(c.Place(begin, "g", teamRequest(id)).Upstream, "a")
		}
		is.Equal(admittedTokens(c), 2000.0)
		key := Key{
			Gateway: "g",
		}
		c.RecordStart(begin, key)
		c.RecordEnd(begin, key, outcome)
		is.Equal(admittedTokens(c), 2000.0)
		key.ID = 1
		c.RecordEnd(begin, key, outcome)
		want := 1000.0
		if outcome == Answered {
			want = 2000
		}
		is.Equal(admittedTokens(c), want)
	}
}

// TestRefundAfterTheWindow guards against a negative total: when a request ends after its
// tokens have left the window, they are not subtracted again.
func TestRefundAfterTheWindow(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"))
	c.Place(begin, "g", teamRequest(1))
	later := begin.Add(2 * DefaultShareWindow)
	c.shares.team("north").admitted.advance(c.shares.bucketAt(later))
	c.RecordEnd(later, Key{
		Gateway: "g",
		ID:      1,
	}, Broken)
	is.Equal(admittedTokens(c), 0.0)
}

// TestGatewayDecisionReplacesPlacement has a gateway decide alone, since the leader was
// late: its placement replaces the leader's, and the request counts once for the team.
func TestGatewayDecisionReplacesPlacement(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"), upstreamAt("b"))
	c.Place(begin, "g", teamRequest(1))
	for id := range uint64(2) {
		c.RecordPlacement(begin, Placement{
			Key: Key{
				Gateway: "g",
				ID:      1 + id,
			},
			Upstream: "b",
			Team:     "north",
			Prompt:   teamRequest(1).Prompt,
		}, false)
	}
	is.Equal(admittedTokens(c), 2000.0)
	is.Equal(c.engines["a"].running, 0)
	is.Equal(c.engines["b"].running, 2)
}

// TestGatewayRefusalsCountAsDemand: requests that a gateway refuses without asking
// belong to their team's demand and make it backlogged. Otherwise the max-min level would
// rise, and teams that are ahead of this one would not be held back.
func TestGatewayRefusalsCountAsDemand(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 9)
	c := sim.scheduler
	const window = fleetTokens * 4.5 // DefaultShareWindow in seconds
	ahead := sim.request("ahead", drafts)
	c.Place(sim.now, gateway, ahead)
	c.shares.team("ahead").demand.add(c.shares.bucketAt(sim.now), window)
	c.RecordGatewayRefusals(sim.now, []GatewayRefusals{
		{
			Team:     "north",
			Requests: 400,
			Tokens:   window,
			Largest:  4000,
		},
	})
	now := sim.now.Add(time.Second)
	c.Place(now, gateway, sim.request("ahead", chats))
	is.True(c.shares.level < 0.51*window)
	is.True(c.shares.team("north").backlogged(c.shares.bucketAt(now)))
}
