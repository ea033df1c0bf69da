package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/configuration"
)

var begin = time.Unix(1000, 0)

func newCore(upstreams ...Upstream) *Scheduler {
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
	c.RecordPlacement(begin, Placement{
		Key: Key{
			Gateway: "gateway",
			ID:      1,
		},
		Upstream: "a",
		Started:  false,
	}, false)
	c.RecordPlacement(begin, Placement{
		Key: Key{
			Gateway: "gateway",
			ID:      2,
		},
		Upstream: "a",
		Started:  false,
	}, false)
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
	c := newCore(upstreamAt("a"), upstreamAt("b"))
	const running = 24
	for id := range uint64(running) {
		c.RecordPlacement(begin, Placement{
			Key: Key{
				Gateway: "gateway",
				ID:      id,
			},
			Upstream: "a",
			Started:  true,
		}, false)
	}
	for id := range uint64(running) {
		c.RecordEnd(begin, Key{
			Gateway: "gateway",
			ID:      id,
		}, Broken)
	}
	ask := func(id uint64, at time.Time) string {
		return c.Place(at, "gateway", Request{
			ID:         id,
			Service:    "desk",
			Idempotent: true,
			Excluded:   []string{"b"},
		}).Upstream
	}
	is.Equal(ask(100, begin.Add(firstSuspension-1)), "")
	is.Equal(ask(101, begin.Add(firstSuspension)), "a")
	at := begin.Add(firstSuspension)
	c.RecordEnd(at, Key{
		Gateway: "gateway",
		ID:      101,
	}, Unreachable)
	is.Equal(ask(102, at.Add(2*firstSuspension-1)), "")
	is.Equal(ask(103, at.Add(2*firstSuspension)), "a")
}

// TestNewLeaderKnowsTheShares has a team receive far more than its share, and another
// core take over with the accounts: the team is still over its share there, and for no
// longer than a window.
func TestNewLeaderKnowsTheShares(t *testing.T) {
	is := is.New(t)
	request := func(id uint64, team string) Request {
		return Request{
			ID:      id,
			Service: "llm",
			Team:    team,
			Prompt: Prompt{
				Tokens: 1000,
			},
			Objective: time.Second,
		}
	}
	table := configuration.NewTable(&configuration.Configuration{
		Services: []configuration.Service{{
			Name:   "llm",
			Engine: &configuration.Engine{},
		}},
		Limits: configuration.Limits{
			TokensPerSecond: 10_000,
		},
	})
	gateway, leader := newCore(), newCore()
	leader.SetConfiguration(table)
	for i := range uint64(60) {
		gateway.RecordDemand(begin, request(i, "large"))
		gateway.RecordPlacement(begin, Placement{
			Key: Key{
				ID: i,
			},
			Upstream: "a",
			Team:     "large",
			Prompt:   request(i, "large").Prompt,
		}, false)
	}
	gateway.RecordDemand(begin, request(100, "small"))
	accounts := gateway.Accounts(begin)
	is.Equal(len(accounts), 2)
	is.Equal(accounts[0].Team, "large")
	is.Equal(accounts[0].Admitted, 60_000.0)
	is.Equal(accounts[1].Demand, 1000.0)

	leader.AddAccounts(begin, accounts)
	now := begin.Add(DefaultShareWindow / buckets)
	is.True(leader.ask(now, request(101, "large")))
	is.True(!leader.ask(now, request(102, "small")))
	is.True(!leader.ask(begin.Add(DefaultShareWindow), request(103, "large")))
}

// TestCountedTeamsAreForgotten counts ten teams each slot, others each time, as a
// gateway does whose requests the leader places: those of the window are kept.
func TestCountedTeamsAreForgotten(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for i := range 100 * buckets {
		now := begin.Add(time.Duration(i) * DefaultShareWindow / buckets)
		for team := range 10 {
			c.RecordDemand(now, Request{
				Team: fmt.Sprint(i, "-", team),
				Prompt: Prompt{
					Tokens: 1,
				},
			})
		}
	}
	is.True(len(c.shares.teams) <= 2*10*(buckets+1))
}

// TestLastUpstreamIsTriedSoon has the only upstream of a service fail again and again:
// it is tried every time after the first suspension. With another upstream there, the
// suspensions grow.
func TestLastUpstreamIsTriedSoon(t *testing.T) {
	is := is.New(t)
	failing := func(c *Scheduler) (longest time.Duration) {
		now := begin
		for id := range uint64(8) {
			key := Key{
				ID: id,
			}
			c.RecordPlacement(now, Placement{
				Key:      key,
				Upstream: "a",
			}, false)
			c.RecordEnd(now, key, Unreachable)
			until := c.engines["a"].suspendedUntil
			longest = max(longest, until.Sub(now))
			now = until
		}
		return longest
	}
	is.Equal(failing(newCore(upstreamAt("a"))), firstSuspension)
	is.Equal(failing(newCore(upstreamAt("a"), upstreamAt("b"))), longestSuspension)
}

// TestSuspendedUpstreamIsTriedByAnyRequest: an upstream of a service whose requests may
// not be repeated failed and was suspended. Once no repeatable request has tried it for a
// while, one of them does, and no second one before its end; then it is used again.
func TestSuspendedUpstreamIsTriedByAnyRequest(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"), upstreamAt("b"))
	ask := func(id uint64, at time.Time) string {
		return c.Place(at, "gateway", Request{
			ID:       id,
			Service:  "desk",
			Excluded: []string{"b"},
		}).Upstream
	}
	end := func(id uint64, at time.Time, ending Outcome) {
		c.RecordEnd(at, Key{
			Gateway: "gateway",
			ID:      id,
		}, ending)
	}
	is.Equal(ask(1, begin), "a")
	end(1, begin, Unreachable)
	free := begin.Add(firstSuspension)
	is.Equal(ask(2, free), "") // a repeatable one may come
	is.Equal(ask(3, free.Add(trialWait-1)), "")
	is.Equal(ask(4, free.Add(trialWait)), "a")
	is.Equal(ask(5, free.Add(trialWait)), "") // one at a time
	end(4, free.Add(trialWait), Answered)
	is.Equal(ask(6, free.Add(trialWait)), "a")
	is.Equal(ask(7, free.Add(trialWait)), "a")
}
