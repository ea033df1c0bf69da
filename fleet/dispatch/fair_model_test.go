package dispatch

import (
	"math/rand/v2"
	"time"
)

// modelBuckets is the number of buckets per second in the ledger of a fairScenario, so that a
// compared span begins at each quarter of a second.
const modelBuckets = 4

// client is one team's load in a fairScenario.
type client struct {
	team  string
	kinds []requestKind
	// rate returns the team's demand in a second as a fraction of the declared throughput.
	rate func(second int) float64
}

// fairScenario is a load of several teams. What they receive is compared in each span of
// six seconds.
type fairScenario struct {
	seed    uint64
	seconds int
	// speed is the speed of all engines, relative to what the declared throughput needs.
	speed   float64
	clients []client
	// shed is the fraction of a team's requests that gateways refuse without asking.
	shed map[string]float64
	// gateways is the number of gateways with a throttle, 0 for none, and through the
	// number of them through which a team's requests arrive, 0 for all.
	gateways int
	through  map[string]int
	unsent   map[string]float64 // as in simulation
	// disturb, if set, is called before each second.
	disturb func(sim *simulation, second int)
}

// fairResult is the result of a fairScenario.
type fairResult struct {
	*result
	// worst is the shortfall of the team that received the least fraction of its due in
	// any span, at is the end of that span.
	worst Shortfall
	at    time.Duration
	short int // number of short teams, summed over the spans
}

func (p fairScenario) run() fairResult {
	sim := newSimulation(p.seed, 9)
	sim.ledger = newLedger(modelBuckets)
	sim.gateways = make([]Throttle, p.gateways)
	sim.through = p.through
	sim.unsent = p.unsent
	for _, e := range sim.engines {
		e.prefillSpeed *= p.speed
	}
	out := fairResult{
		result: &result{
			teams:   make(map[string]*tally),
			classes: make(map[string]*tally),
			large:   make(map[string]*tally),
		},
	}
	bucket := int64(0)
	end := epoch.Add(time.Duration(p.seconds) * time.Second)
	for ; sim.now.Before(end); sim.now = sim.now.Add(time.Millisecond) {
		since := sim.now.Sub(epoch)
		second := int(since / time.Second)
		if p.disturb != nil && since%time.Second == 0 {
			p.disturb(sim, second)
		}
		for _, c := range p.clients {
			if sim.random.Float64() >= c.rate(second)*fleetTokens/1000/meanCost(c.kinds) {
				continue
			}
			kind := c.kinds[sim.random.IntN(len(c.kinds))]
			if part := p.shed[c.team]; part > 0 && sim.random.Float64() < part {
				sim.shed(c.team, kind)
				continue
			}
			sim.arrive(out.result, c.team, kind)
		}
		sim.advance()
		if now := sim.ledger.bucketAt(sim.now); now != bucket && since >= comparedSeconds*time.Second {
			bucket = now
			out.compare(sim, since)
		}
	}
	return out
}

// shed has a gateway refuse a request without asking.
func (sim *simulation) shed(team string, kind requestKind) {
	r := sim.request(team, kind)
	refused := GatewayRefusals{
		Team: team,
	}
	refused.Add(r.Prompt)
	sim.scheduler.RecordGatewayRefusals(sim.now, []GatewayRefusals{refused})
	sim.ledger.requested(sim.now, team, tokenCost(r.Prompt))
	sim.ledger.refused(sim.now, team, Refusals{
		ByGateway: 1,
	})
}

// newLeader replaces the Scheduler by a new one, which gets what gateways report to a new
// leader.
func (sim *simulation) newLeader() {
	old := sim.scheduler
	engines := make([]Upstream, 0, len(old.engines))
	for _, e := range old.engines {
		engines = append(engines, e.Upstream)
	}
	sim.scheduler = New(Settings{}, rand.New(rand.NewPCG(3, 4)))
	sim.scheduler.SetConfiguration(table())
	sim.scheduler.SetUpstreams(engines)
	sim.scheduler.AddAccounts(sim.now, old.Accounts(sim.now))
	for _, p := range old.Placements() {
		sim.scheduler.RecordPlacement(sim.now, p, true)
	}
}

// compare records the shortfalls of the span that ends now.
func (o *fairResult) compare(sim *simulation, since time.Duration) {
	backlogged := sim.ledger.backloggedTeams(sim.now)
	if len(backlogged) == 0 {
		return
	}
	if o.worst.Team == "" || backlogged[0].ServedFraction() < o.worst.ServedFraction() {
		o.worst, o.at = backlogged[0], since
	}
	o.short += len(sim.ledger.shortfalls(sim.now))
}

// meanCost returns the mean token cost of some kinds of requests.
func meanCost(kinds []requestKind) float64 {
	sum := 0.0
	for _, kind := range kinds {
		sum += float64(kind.shared+kind.tokens) + 2*float64(kind.output)
	}
	return sum / float64(len(kinds))
}

func constantDemand(fraction float64) func(int) float64 {
	return func(int) float64 { return fraction }
}

// rotatingDemand returns the rate of one of several teams that demand a base, and more in
// turns of a number of seconds each.
func rotatingDemand(base, more float64, turn, teams, team int) func(int) float64 {
	return func(second int) float64 {
		if second/turn%teams == team {
			return base + more
		}
		return base
	}
}
