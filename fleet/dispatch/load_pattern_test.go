package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The kinds of requests of the scenarios: long drafts, chats and short labels.
var (
	drafts = requestKind{
		class:       "draft",
		tokens:      6600,
		output:      380,
		objective:   time.Second,
		spread:      0.8,
		shared:      4870,
		sharedCount: 65,
	}
	chats = requestKind{
		class:     "chat",
		tokens:    630,
		output:    290,
		objective: 400 * time.Millisecond,
		spread:    0.5,
	}
	labels = requestKind{
		class:     "label",
		tokens:    1800,
		output:    20,
		objective: 400 * time.Millisecond,
		spread:    0.7,
	}
	mixed = []requestKind{drafts, chats, chats, chats, chats, labels, labels}
)

func constantRate(perSecond float64) func(int, int) float64 {
	return func(int, int) float64 { return perSecond }
}

// TestLightLoadIsServedOnTime: all teams together demand half of what the fleet can
// serve. Nearly all requests are on time.
func TestLightLoadIsServedOnTime(t *testing.T) {
	is := is.New(t)
	out := run(scenario{
		seed:    1,
		seconds: 12,
		rate:    constantRate(2),
		kinds:   mixed,
		teams:   16,
	})
	for name, r := range out.classes {
		t.Logf("%s: %+v", name, *r)
		is.True(r.onTime*100 >= r.requested*97) // nearly all on time
	}
}

// TestOneTeamFloods: one team sends fifty times what each other team sends. The others
// are served on time, and the flood gets at least an even share.
func TestOneTeamFloods(t *testing.T) {
	is := is.New(t)
	out := run(scenario{
		seed:    2,
		seconds: 15,
		rate: func(team, _ int) float64 {
			if team == 0 {
				return 150
			}
			return 3
		},
		kinds: mixed,
		teams: 16,
	})
	requested, onTime := 0, 0
	for name, r := range out.teams {
		if name != "t00" {
			requested += r.requested
			onTime += r.onTime
		}
	}
	flood := out.teams["t00"]
	t.Logf("others %d of %d on time, flood %+v", onTime, requested, *flood)
	is.True(onTime*100 >= requested*95)
	is.True(flood.tokens >= 0.8*fleetTokens/16*15) // never less than an even share
}

// TestFloodingTeamsReceiveAlike: several teams are far over their share, some with
// long requests and some with short ones. No team receives less than half of what
// another one receives.
func TestFloodingTeamsReceiveAlike(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		sim := newSimulation(seed, 9)
		out := &result{
			teams:   make(map[string]*tally),
			classes: make(map[string]*tally),
			large:   make(map[string]*tally),
		}
		end := epoch.Add(20 * time.Second)
		for ; sim.now.Before(end); sim.now = sim.now.Add(time.Millisecond) {
			for team, kind := range map[string]requestKind{
				"long":  drafts,
				"short": chats,
				"label": labels,
			} {
				if sim.random.Float64() < 250_000/1000/(float64(kind.shared+kind.tokens)+2*float64(kind.output)) {
					sim.arrive(out, team, kind)
				}
			}
			sim.advance()
		}
		least, most := out.teams["long"].tokens, out.teams["long"].tokens
		for name, r := range out.teams {
			t.Logf("seed %d %s: %+v", seed, name, *r)
			least = min(least, r.tokens)
			most = max(most, r.tokens)
		}
		is.True(2*least >= most)
	}
}

// TestLargeRequestsAreNotStarved: teams far over their share send requests of
// very different sizes. The large ones of each class are admitted at least half as
// often as the class as a whole.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	is := is.New(t)
	out := run(scenario{
		seed:    3,
		seconds: 25,
		rate:    constantRate(20),
		kinds:   mixed,
		teams:   16,
	})
	for name, r := range out.classes {
		large := out.large[name]
		t.Logf("%s: all %+v, large %+v", name, *r, *large)
		is.True(2*large.started*r.requested >= large.requested*r.started)
	}
}

// TestSharedSegmentsStayCached: drafts with 65 shared segments on nine engines.
// After the first prefill of each segment hardly any is prefilled again.
func TestSharedSegmentsStayCached(t *testing.T) {
	is := is.New(t)
	out := run(scenario{
		seed:    4,
		seconds: 20,
		rate:    constantRate(1.2),
		kinds:   []requestKind{drafts},
		teams:   16,
	})
	first := float64(drafts.shared * drafts.sharedCount)
	requested := float64(out.classes["draft"].requested * drafts.shared)
	t.Logf("requested %.0f, prefilled %.0f, of these first prefills %.0f", requested, out.sharedPrefilled, first)
	is.True(out.sharedPrefilled-first <= 0.1*requested)
}

// TestLongPromptGoesToIdleEngine: a prompt that can't be prefilled within its
// objective is not refused while an engine is idle.
func TestLongPromptGoesToIdleEngine(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(5, 9)
	huge := drafts
	huge.tokens = 60_000
	huge.spread = 0
	d := sim.scheduler.Place(sim.now, gateway, sim.request("t", huge))
	is.True(d.Upstream != "")
	is.True(d.Inputs.QueueDelay+d.Inputs.PrefillTime > huge.objective)
}

// TestFloodsOfShortRequests: all teams are far over their shares with chats, and the
// engines can serve more than the declared throughput. Chats that an engine could start
// within a fraction of their objective are not refused while it is nearly idle, and what
// starts is on time.
func TestFloodsOfShortRequests(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		out := run(scenario{
			seed:    seed,
			seconds: 12,
			rate:    constantRate(40),
			kinds:   []requestKind{chats, chats, drafts},
			teams:   8,
		})
		chat, draft := out.classes["chat"], out.classes["draft"]
		t.Logf("seed %d: chats %+v, drafts %+v", seed, *chat, *draft)
		is.True(chat.started*100 >= chat.requested*90)
		is.True(chat.onTime*100 >= chat.started*99)
		is.True(draft.onTime*100 >= draft.started*90)
	}
}

// TestAllEnginesSlowerThanDeclared: all teams demand more than the fleet can serve, and
// every engine prefills at a third of the expected speed, so that the declared throughput
// can't be reached. Still most admitted requests are on time, and no team receives less
// than half of what another one receives.
func TestAllEnginesSlowerThanDeclared(t *testing.T) {
	is := is.New(t)
	fixed := drafts
	fixed.spread = 0
	for seed := range uint64(3) {
		out := run(scenario{
			seed:         seed,
			seconds:      20,
			rate:         constantRate(10),
			kinds:        []requestKind{fixed},
			teams:        16,
			prefillSpeed: func(int) float64 { return enginePrefillSpeed / 3 },
		})
		all := out.classes["draft"]
		t.Logf("seed %d: %+v, shared prefilled %.0f", seed, *all, out.sharedPrefilled)
		is.True(all.onTime*100 >= all.started*85)
		least, most := all.tokens, 0.0
		for _, r := range out.teams {
			least, most = min(least, r.tokens), max(most, r.tokens)
		}
		is.True(2*least >= most)
	}
}

// TestSomeEnginesAreSlow: a third of the engines prefill at a sixth of the speed of the
// others, which could serve the whole demand. The slow ones get no more than they can
// serve, so that nearly all requests are on time.
func TestSomeEnginesAreSlow(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		out := run(scenario{
			seed:    seed,
			seconds: 15,
			rate:    constantRate(2),
			kinds:   mixed,
			teams:   16,
			prefillSpeed: func(engine int) float64 {
				if engine%3 == 0 {
					return enginePrefillSpeed / 6
				}
				return enginePrefillSpeed
			},
		})
		requested, onTime := 0, 0
		for _, r := range out.classes {
			requested += r.requested
			onTime += r.onTime
		}
		t.Logf("seed %d: %d of %d on time", seed, onTime, requested)
		is.True(onTime*100 >= requested*97)
	}
}

// TestFloodUsesIdleEngineByZone: a team is over its share, and an engine in its own or in
// another availability zone is idle. A request whose prefill takes a twentieth of its
// objective is placed in its own zone, but not in the other one; a request that takes a
// hundredth is placed in either.
func TestFloodUsesIdleEngineByZone(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		zone     string
		fraction float64 // of the objective that the prefill takes
		placed   bool
	}{
		{zoneA, 0.05, true},
		{"zone-b", 0.05, false},
		{"zone-b", 0.01, true},
	} {
		sim := newSimulation(1, 1)
		for i := range 2 {
			sim.scheduler.RecordDemand(epoch, sim.request(fmt.Sprint("other", i), drafts))
		}
		flood := Request{
			Service:   "llm",
			Team:      "flood",
			Zone:      c.zone,
			Objective: time.Second,
			Prompt: Prompt{
				Tokens: int(c.fraction * 1000 * priorTokensPerMilli),
			},
		}
		team := sim.scheduler.shares.team("flood")
		team.admitted.add(sim.scheduler.shares.bucketAt(epoch), 2*fleetTokens*DefaultShareWindow.Seconds())
		d := sim.scheduler.Place(epoch, gateway, flood)
		is.Equal(d.Upstream != "", c.placed)
	}
}
