package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// modelSlots is how many slots the ledger of a fair pattern has in a second, so that the
// spans that are compared begin at each quarter.
const modelSlots = 4

// client is one team's load in a fair pattern.
type client struct {
	team string
	load []load
	// rate returns the part of the declared throughput that the team asks for in a
	// second.
	rate func(second int) float64
}

// fairPattern is a load of several teams whose shares are compared in each span of six
// seconds.
type fairPattern struct {
	seed    uint64
	seconds int
	// speed is that of all engines, in parts of what the declared throughput needs.
	speed   float64
	clients []client
	// shed is the part of a team's requests that gateways refuse without asking; nil is
	// none.
	shed map[string]float64
	// gateways is how many keep floods from asking, and through by how many of them a
	// team's requests come; zero is none, and all.
	gateways int
	through  map[string]int
	unsent   map[string]float64 // as in world
	// disturb, if set, is called before each second.
	disturb func(w *world, second int)
}

// fairOutcome is what came of a fairPattern.
type fairOutcome struct {
	*outcomeOf
	// worst is the least part of its due that a team received in a span.
	worst Shortfall
	at    time.Duration
	short int // spans and teams
}

func (p fairPattern) run() fairOutcome {
	w := newWorld(p.seed, 9)
	w.ledger = newLedger(modelSlots)
	w.gateways = make([]Quiet, p.gateways)
	w.through = p.through
	w.unsent = p.unsent
	for _, e := range w.engines {
		e.reads *= p.speed
	}
	out := fairOutcome{
		outcomeOf: &outcomeOf{
			teams:   make(map[string]*received),
			classes: make(map[string]*received),
			large:   make(map[string]*received),
		},
	}
	slot := int64(0)
	end := epoch.Add(time.Duration(p.seconds) * time.Second)
	for ; w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
		since := w.now.Sub(epoch)
		second := int(since / time.Second)
		if p.disturb != nil && since%time.Second == 0 {
			p.disturb(w, second)
		}
		for _, c := range p.clients {
			if w.random.Float64() >= c.rate(second)*fleetTokens/1000/meanCost(c.load) {
				continue
			}
			l := c.load[w.random.IntN(len(c.load))]
			if part := p.shed[c.team]; part > 0 && w.random.Float64() < part {
				w.shed(c.team, l)
				continue
			}
			w.arrive(out.outcomeOf, c.team, l)
		}
		w.advance()
		if now := w.ledger.at(w.now); now != slot && since >= fairSeconds*time.Second {
			slot = now
			out.compare(w, since)
		}
	}
	return out
}

// shed has a gateway refuse a request without asking.
func (w *world) shed(team string, l load) {
	r := w.request(team, l)
	refused := Refused{
		Team: team,
	}
	refused.Add(r.Prompt)
	w.core.RefusedElsewhere(w.now, []Refused{refused})
	w.ledger.asked(w.now, team, cost(r.Prompt))
	w.ledger.refused(w.now, team, Refusals{
		ByGateway: 1,
	})
}

// newLeader replaces the core by a new one that hears from the gateways what a new
// leader hears.
func (w *world) newLeader() {
	old := w.core
	engines := make([]Upstream, 0, len(old.engines))
	for _, e := range old.engines {
		engines = append(engines, e.Upstream)
	}
	w.core = New(Settings{}, rand.New(rand.NewPCG(3, 4)))
	w.core.SetConfiguration(table())
	w.core.SetUpstreams(engines)
	w.core.AddAccounts(w.now, old.Accounts(w.now))
	for _, p := range old.Placements() {
		w.core.Sent(w.now, p, true)
	}
}

// compare notes how short teams are in the span that ends now.
func (o *fairOutcome) compare(w *world, since time.Duration) {
	wanting := w.ledger.wanting(w.now)
	if len(wanting) == 0 {
		return
	}
	if o.worst.Team == "" || wanting[0].Part() < o.worst.Part() {
		o.worst, o.at = wanting[0], since
	}
	o.short += len(w.ledger.shortfalls(w.now))
}

// meanCost returns what a request of some loads counts for its team on average.
func meanCost(loads []load) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += float64(l.shared+l.tokens) + 2*float64(l.output)
	}
	return sum / float64(len(loads))
}

func constant(part float64) func(int) float64 { return func(int) float64 { return part } }

// inTurn returns rates of teams that ask for a base, and each in its turn of so many
// seconds for more.
func inTurn(base, more float64, turn, teams, team int) func(int) float64 {
	return func(second int) float64 {
		if second/turn%teams == team {
			return base + more
		}
		return base
	}
}

// sixTeams are teams with long drafts, chats, labels and all of them, and one that sends
// few chats. Together they ask for twice the declared throughput; one in turn asks for
// more.
func sixTeams(more float64) []client {
	all := []load{drafts, chats, labels}
	clients := []client{
		{
			team: "drafts",
			load: []load{drafts},
		},
		{
			team: "chats",
			load: []load{chats},
		},
		{
			team: "labels",
			load: []load{labels},
		},
		{
			team: "all",
			load: all,
		},
		{
			team: "all too",
			load: all,
		},
		{
			team: "few chats",
			load: []load{chats},
		},
	}
	for i := range clients {
		base := 0.4
		if clients[i].team == "few chats" {
			base = 0.12
		}
		clients[i].rate = inTurn(base, more, 6, len(clients), i)
	}
	return clients
}

// TestNoTeamIsShortOnSlowEngines: engines read at the declared speed or far below it, so
// that all teams are under their shares of what is declared and still can't all be
// served. In no six seconds a team receives less than half of what is due to it.
func TestNoTeamIsShortOnSlowEngines(t *testing.T) {
	for _, speed := range []float64{1, 0.6, 0.4, 0.25} {
		for _, more := range []float64{0.2, 0.9} {
			t.Run(fmt.Sprintf("speed %.2f, %.1f more", speed, more), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(4) {
					out := fairPattern{
						seed:    seed,
						seconds: 24,
						speed:   speed,
						clients: sixTeams(more),
					}.run()
					t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.Part(), out.at, out.worst)
					is.Equal(out.short, 0)
				}
			})
		}
	}
}

// manyTeams are thirty teams of very different sizes that together ask for a bit more
// than the declared throughput. Small ones flood for some seconds each, one after the
// other, with many times their usual, so that the floods overlap.
func manyTeams() []client {
	const teams = 30
	floods := []struct {
		team, from, to int
		times          float64
	}{
		{9, 2, 10, 10},
		{3, 8, 14, 5},
		{12, 10, 16, 15},
		{7, 12, 19, 13},
		{20, 14, 20, 15},
		{4, 16, 24, 6},
	}
	mixes := [][]load{mixed, {chats}, {labels, chats}, {drafts}, mixed}
	sum := 0.0
	for i := range teams {
		sum += 1 / float64(i+2)
	}
	var clients []client
	for i := range teams {
		size := 1.1 / float64(i+2) / sum
		clients = append(clients, client{
			team: fmt.Sprintf("t%02d", i),
			load: mixes[i%len(mixes)],
			rate: func(second int) float64 {
				for _, f := range floods {
					if f.team == i && second >= f.from && second < f.to {
						return f.times * size
					}
				}
				return size
			},
		})
	}
	return clients
}

// TestNoTeamIsShortInFloods: many teams, small ones flood one after the other, at the
// declared speed and with engines that read slower.
func TestNoTeamIsShortInFloods(t *testing.T) {
	for _, speed := range []float64{1, 0.6, 0.4} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				out := fairPattern{
					seed:    seed,
					seconds: 24,
					speed:   speed,
					clients: manyTeams(),
				}.run()
				t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.Part(), out.at, out.worst)
				is.Equal(out.short, 0)
			}
		})
	}
}

// TestNoTeamIsShortAfterANewLeader: the leader changes during the floods, twice, and the
// new ones know only what gateways tell them.
func TestNoTeamIsShortAfterANewLeader(t *testing.T) {
	for _, speed := range []float64{1, 0.5} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				out := fairPattern{
					seed:    seed,
					seconds: 24,
					speed:   speed,
					clients: sixTeams(0.9),
					disturb: func(w *world, second int) {
						if second == 9 || second == 14 {
							w.newLeader()
						}
					},
				}.run()
				t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.Part(), out.at, out.worst)
				is.Equal(out.short, 0)
			}
		})
	}
}

// TestNoTeamIsShortBehindACrowdedGateway: the gateway of one team refuses most of its
// requests without asking, and what it lets through is still more than the team's share.
func TestNoTeamIsShortBehindACrowdedGateway(t *testing.T) {
	for _, speed := range []float64{1, 0.5} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				clients := sixTeams(0.2)
				crowded := clients[1+seed%2]
				crowded.rate = constant(1)
				clients[1+seed%2] = crowded
				out := fairPattern{
					seed:    seed,
					seconds: 24,
					speed:   speed,
					clients: clients,
					shed: map[string]float64{
						crowded.team: 0.7,
					},
				}.run()
				t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.Part(), out.at, out.worst)
				is.Equal(out.short, 0)
			}
		})
	}
}

// TestNoTeamIsShortThroughOneGateway: three teams flood alike, one through a single
// gateway, which asks the leader about few of its requests, one through three, and one
// through all sixty; three others ask for their shares and not much more.
func TestNoTeamIsShortThroughOneGateway(t *testing.T) {
	for _, speed := range []float64{1, 0.6} {
		for name, load := range map[string][]load{
			"chats":  {chats},
			"labels": {labels},
			"drafts": {drafts},
			"mixed":  mixed,
		} {
			t.Run(fmt.Sprintf("%s, speed %.2f", name, speed), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(4) {
					clients := sixTeams(0.2)
					for i := range 3 {
						clients[i] = client{
							team: fmt.Sprintf("flood %d", i),
							load: load,
							rate: constant(1.5),
						}
					}
					out := fairPattern{
						seed:     seed,
						seconds:  24,
						speed:    speed,
						clients:  clients,
						gateways: 60,
						through: map[string]int{
							"flood 0": 1,
							"flood 1": 3,
						},
					}.run()
					t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.Part(), out.at, out.worst)
					is.Equal(out.short, 0)
				}
			})
		}
	}
}

// TestNoTeamIsShortWhoseRequestsAreUnsent: teams flood, and most of what the leader places
// of one of them is not sent, since its gateway is slow. What never began does not count
// as received.
func TestNoTeamIsShortWhoseRequestsAreUnsent(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		clients := sixTeams(0.2)
		slow := &clients[1+seed%2]
		slow.rate = constant(2)
		out := fairPattern{
			seed:    seed,
			seconds: 24,
			speed:   1,
			clients: clients,
			unsent: map[string]float64{
				slow.team: 0.7,
			},
		}.run()
		t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.Part(), out.at, out.worst)
		is.Equal(out.short, 0)
	}
}
