package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The kinds of requests of the patterns: long drafts, chats and short labels.
var (
	drafts = load{
		class:     "draft",
		tokens:    6600,
		output:    380,
		objective: time.Second,
		spread:    0.8,
		shared:    4870,
		pieces:    65,
	}
	chats = load{
		class:     "chat",
		tokens:    630,
		output:    290,
		objective: 400 * time.Millisecond,
		spread:    0.5,
	}
	labels = load{
		class:     "label",
		tokens:    1800,
		output:    20,
		objective: 400 * time.Millisecond,
		spread:    0.7,
	}
	mixed = []load{drafts, chats, chats, chats, chats, labels, labels}
)

func even(perSecond float64) func(int, int) float64 {
	return func(int, int) float64 { return perSecond }
}

// TestQuietFleetRefusesNobody: all teams ask for half of what the fleet can do.
func TestQuietFleetRefusesNobody(t *testing.T) {
	is := is.New(t)
	out := run(pattern{
		seed:    1,
		seconds: 12,
		rate:    even(2),
		load:    mixed,
		team:    16,
	})
	for name, r := range out.classes {
		t.Logf("%s: %+v", name, *r)
		is.True(r.onTime*100 >= r.asked*97) // nearly all on time
	}
}

// TestOneTeamFloods: one team sends nine times what it usually does. All others
// are served on time as before, and the flood gets what is left.
func TestOneTeamFloods(t *testing.T) {
	is := is.New(t)
	out := run(pattern{
		seed:    2,
		seconds: 15,
		rate: func(team, _ int) float64 {
			if team == 0 {
				return 150
			}
			return 3
		},
		load: mixed,
		team: 16,
	})
	asked, onTime := 0, 0
	for name, r := range out.teams {
		if name != "t00" {
			asked += r.asked
			onTime += r.onTime
		}
	}
	flood := out.teams["t00"]
	t.Logf("others %d of %d on time, flood %+v", onTime, asked, *flood)
	is.True(onTime*100 >= asked*95)
	is.True(flood.tokens >= 0.8*fleetTokens/16*15) // never less than an even share
}

// TestFloodsAreServedAlike: several teams are far over their share, some with
// long requests and some with short ones. None gets less than half of what
// another one gets.
func TestFloodsAreServedAlike(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		w := newWorld(seed, 9)
		out := &outcomeOf{
			teams:   make(map[string]*received),
			classes: make(map[string]*received),
			large:   make(map[string]*received),
		}
		end := epoch.Add(20 * time.Second)
		for ; w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
			for team, l := range map[string]load{
				"long":  drafts,
				"short": chats,
				"label": labels,
			} {
				if w.random.Float64() < 250_000/1000/(float64(l.shared+l.tokens)+2*float64(l.output)) {
					w.arrive(out, team, l)
				}
			}
			w.advance()
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
// very different sizes. The large ones of each kind are let in at least half as
// often as all of their kind.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	is := is.New(t)
	out := run(pattern{
		seed:    3,
		seconds: 25,
		rate:    even(20),
		load:    mixed,
		team:    16,
	})
	for name, r := range out.classes {
		large := out.large[name]
		t.Logf("%s: all %+v, large %+v", name, *r, *large)
		is.True(2*large.begun*r.asked >= large.asked*r.begun)
	}
}

// TestSharedPiecesStayWhereTheyAre: drafts with 65 shared pieces on nine engines.
// Beyond the first reading of each piece hardly any is read again.
func TestSharedPiecesStayWhereTheyAre(t *testing.T) {
	is := is.New(t)
	out := run(pattern{
		seed:    4,
		seconds: 20,
		rate:    even(1.2),
		load:    []load{drafts},
		team:    16,
	})
	first := float64(drafts.shared * drafts.pieces)
	asked := float64(out.classes["draft"].asked * drafts.shared)
	t.Logf("asked %.0f, read %.0f, of these first readings %.0f", asked, out.again, first)
	is.True(out.again-first <= 0.1*asked)
}

// TestLongPromptGoesToAFreeEngine: a prompt that can't be read within its
// objective is not refused while an engine has little to do.
func TestLongPromptGoesToAFreeEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 9)
	huge := drafts
	huge.tokens = 60_000
	huge.spread = 0
	d := w.core.Place(w.now, gateway, w.request("t", huge))
	is.True(d.Upstream != "")
	is.True(d.Inputs.QueueDelay+d.Inputs.PrefillTime > huge.objective)
}

// TestFloodsOfShortRequests: all teams are far over their shares with chats, and the
// engines can read more than the declared throughput. Chats that an engine could begin
// within a fraction of their objective are not refused while it has little to do, and
// what begins is on time.
func TestFloodsOfShortRequests(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		out := run(pattern{
			seed:    seed,
			seconds: 12,
			rate:    even(40),
			load:    []load{chats, chats, drafts},
			team:    8,
		})
		chat, draft := out.classes["chat"], out.classes["draft"]
		t.Logf("seed %d: chats %+v, drafts %+v", seed, *chat, *draft)
		is.True(chat.begun*100 >= chat.asked*90)
		is.True(chat.onTime*100 >= chat.begun*99)
		is.True(draft.onTime*100 >= draft.begun*90)
	}
}

// TestAllEnginesAtAThird: all teams ask for more than the fleet can do, and every
// engine reads at a third of the speed that is expected, so that the declared
// throughput is not to be had. Most of what is admitted is on time all the same, and no
// team gets far less than another.
func TestAllEnginesAtAThird(t *testing.T) {
	is := is.New(t)
	fixed := drafts
	fixed.spread = 0
	for seed := range uint64(3) {
		out := run(pattern{
			seed:    seed,
			seconds: 20,
			rate:    even(10),
			load:    []load{fixed},
			team:    16,
			reads:   func(int) float64 { return engineReads / 3 },
		})
		all := out.classes["draft"]
		t.Logf("seed %d: %+v, read again %.0f", seed, *all, out.again)
		is.True(all.onTime*100 >= all.begun*85)
		least, most := all.tokens, 0.0
		for _, r := range out.teams {
			least, most = min(least, r.tokens), max(most, r.tokens)
		}
		is.True(2*least >= most)
	}
}

// TestSomeEnginesAreSlow: a third of the engines read at a sixth of the speed of the
// others, which have room for all that is asked. They get what they can do.
func TestSomeEnginesAreSlow(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		out := run(pattern{
			seed:    seed,
			seconds: 15,
			rate:    even(2),
			load:    mixed,
			team:    16,
			reads: func(engine int) float64 {
				if engine%3 == 0 {
					return engineReads / 6
				}
				return engineReads
			},
		})
		asked, onTime := 0, 0
		for _, r := range out.classes {
			asked += r.asked
			onTime += r.onTime
		}
		t.Logf("seed %d: %d of %d on time", seed, onTime, asked)
		is.True(onTime*100 >= asked*97)
	}
}

// TestFloodBesideIdleZone: a team is over its share, and an engine of its own or of
// another zone has nothing to do. A request that takes a twentieth of its objective gets
// the one in its own zone, and not the one whose answer would go between zones; a
// request that takes a hundredth gets both.
func TestFloodBesideIdleZone(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		zone   string
		part   float64
		placed bool
	}{
		{zoneA, 0.05, true},
		{"zone-b", 0.05, false},
		{"zone-b", 0.01, true},
	} {
		w := newWorld(1, 1)
		for i := range 2 {
			w.core.RecordDemand(epoch, w.request(fmt.Sprint("other", i), drafts))
		}
		flood := Request{
			Service:   "llm",
			Team:      "flood",
			Zone:      c.zone,
			Objective: time.Second,
			Prompt: Prompt{
				Tokens: int(c.part * 1000 * priorTokensPerMilli),
			},
		}
		t0 := w.core.shares.team("flood")
		t0.admitted.add(w.core.shares.slot(epoch), 2*fleetTokens*DefaultShareWindow.Seconds())
		d := w.core.Place(epoch, gateway, flood)
		is.Equal(d.Upstream != "", c.placed)
	}
}
