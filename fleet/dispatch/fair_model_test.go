package dispatch

import (
	"math/rand/v2"
	"time"
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
	w.gateways = make([]Throttle, p.gateways)
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
	refused := GatewayRefusals{
		Team: team,
	}
	refused.Add(r.Prompt)
	w.core.RecordGatewayRefusals(w.now, []GatewayRefusals{refused})
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
		w.core.RecordPlacement(w.now, p, true)
	}
}

// compare notes how short teams are in the span that ends now.
func (o *fairOutcome) compare(w *world, since time.Duration) {
	wanting := w.ledger.wanting(w.now)
	if len(wanting) == 0 {
		return
	}
	if o.worst.Team == "" || wanting[0].ServedFraction() < o.worst.ServedFraction() {
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
