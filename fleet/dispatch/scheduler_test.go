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

func newScheduler(upstreams ...Upstream) *Scheduler {
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

// TestPlacementsRecordedBeforeUpstreamList records requests at upstreams in a new
// Scheduler before it has the list: they count once the list is set.
func TestPlacementsRecordedBeforeUpstreamList(t *testing.T) {
	is := is.New(t)
	c := newScheduler()
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

// TestCrashCountsAsOneFailure has an upstream break all its requests at once, as in a crash.
// Counted one by one they would suspend it for long, although it may be back soon: they are
// one failure, so it is probed after the shortest suspension. If the probe fails, the
// suspension doubles.
func TestCrashCountsAsOneFailure(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"), upstreamAt("b"))
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
	is.Equal(ask(100, begin.Add(minSuspension-1)), "")
	is.Equal(ask(101, begin.Add(minSuspension)), "a")
	at := begin.Add(minSuspension)
	c.RecordEnd(at, Key{
		Gateway: "gateway",
		ID:      101,
	}, Unreachable)
	is.Equal(ask(102, at.Add(2*minSuspension-1)), "")
	is.Equal(ask(103, at.Add(2*minSuspension)), "a")
}

// TestAccountsCarrySharesToNewLeader has a team receive far more than its share, and
// another Scheduler take over the accounts: the team is still over its share there, but no
// longer than a window.
func TestAccountsCarrySharesToNewLeader(t *testing.T) {
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
	gateway, leader := newScheduler(), newScheduler()
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
	now := begin.Add(DefaultShareWindow / windowBuckets)
	is.True(leader.checkShare(now, request(101, "large")))
	is.True(!leader.checkShare(now, request(102, "small")))
	is.True(!leader.checkShare(begin.Add(DefaultShareWindow), request(103, "large")))
}

// TestRecordedDemandIsPruned records the demand of ten new teams in each bucket, as a
// gateway does whose requests the leader places: only teams within the window are kept, so
// that memory does not grow with the number of teams ever seen.
func TestRecordedDemandIsPruned(t *testing.T) {
	is := is.New(t)
	c := newScheduler()
	for i := range 100 * windowBuckets {
		now := begin.Add(time.Duration(i) * DefaultShareWindow / windowBuckets)
		for team := range 10 {
			c.RecordDemand(now, Request{
				Team: fmt.Sprint(i, "-", team),
				Prompt: Prompt{
					Tokens: 1,
				},
			})
		}
	}
	is.True(len(c.shares.teams) <= 2*10*(windowBuckets+1))
}

// TestOnlyUpstreamGetsShortSuspensions has the only upstream of a service fail repeatedly:
// each suspension is the shortest one, since nothing else can run the requests. With another
// usable upstream the suspensions grow.
func TestOnlyUpstreamGetsShortSuspensions(t *testing.T) {
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
	is.Equal(failing(newScheduler(upstreamAt("a"))), minSuspension)
	is.Equal(failing(newScheduler(upstreamAt("a"), upstreamAt("b"))), maxSuspension)
}

// TestSuspendedUpstreamIsProbedByAnyRequest: an upstream of a service whose requests are
// not idempotent failed and was suspended. Once no idempotent request has probed it for a
// while, one other request does, and no second one before it ends; then it is used again.
func TestSuspendedUpstreamIsProbedByAnyRequest(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"), upstreamAt("b"))
	ask := func(id uint64, at time.Time) string {
		return c.Place(at, "gateway", Request{
			ID:       id,
			Service:  "desk",
			Excluded: []string{"b"},
		}).Upstream
	}
	end := func(id uint64, at time.Time, outcome Outcome) {
		c.RecordEnd(at, Key{
			Gateway: "gateway",
			ID:      id,
		}, outcome)
	}
	is.Equal(ask(1, begin), "a")
	end(1, begin, Unreachable)
	free := begin.Add(minSuspension)
	is.Equal(ask(2, free), "") // only idempotent ones may probe it yet
	is.Equal(ask(3, free.Add(idempotentProbeWait-1)), "")
	is.Equal(ask(4, free.Add(idempotentProbeWait)), "a")
	is.Equal(ask(5, free.Add(idempotentProbeWait)), "") // one probe at a time
	end(4, free.Add(idempotentProbeWait), Answered)
	is.Equal(ask(6, free.Add(idempotentProbeWait)), "a")
	is.Equal(ask(7, free.Add(idempotentProbeWait)), "a")
}
