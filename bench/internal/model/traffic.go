package model

import (
	"fmt"
	"math"
	"sort"
	"time"

	"baobabpaddle/fleet/share"
)

const (
	maxWait        = 20 * time.Minute
	homeShare      = 0.8 // fraction of a team's requests that arrives at its home gateway
	nanosPerSecond = float64(time.Second)
)

// startTraffic schedules the first arrivals of all teams. Backlogs arrive at the start
// with the teams interleaved, as when the callers of all teams return from a weekend.
func (sim *simulation) startTraffic() {
	for depth := range sim.plan.BacklogDepth {
		for i, t := range sim.plan.Teams {
			if t.ArrivalRate < 0 {
				sim.clock.after(0, func() { sim.addBacklog(i, depth) })
			}
		}
	}
	for i, t := range sim.plan.Teams {
		if t.ArrivalRate >= 0 {
			sim.scheduleArrival(i)
		}
		if t.ArrivalRate >= 0 || t.IdleTo == 0 {
			continue
		}
		for depth := range sim.plan.BacklogDepth {
			sim.clock.after(t.IdleTo, func() { sim.addBacklog(i, depth) })
		}
	}
}

// idle reports whether the team is in its interval without arrivals.
func (sim *simulation) idle(i int) bool {
	t := sim.plan.Teams[i]
	at := sim.clock.now.Sub(epoch)
	return at >= t.IdleFrom && at < t.IdleTo
}

// addBacklog adds a request of a team at its home gateway and, at every fourth depth,
// one at the next gateway.
func (sim *simulation) addBacklog(i, depth int) {
	home := sim.plan.Teams[i].HomeGateway % len(sim.gateways)
	sim.arrive(i, home)
	if depth%4 == 0 {
		sim.arrive(i, (home+1)%len(sim.gateways))
	}
}

// refill replaces a request of a backlogged team by a new one at the same gateway when
// it starts for the first time.
func (sim *simulation) refill(r *request) {
	if r.started {
		return
	}
	r.started = true
	if sim.plan.Teams[r.team].ArrivalRate < 0 && !sim.idle(r.team) {
		sim.clock.after(0, func() { sim.arrive(r.team, r.gateway) })
	}
}

// scheduleArrival schedules the next arrival of a team whose gaps are exponential.
func (sim *simulation) scheduleArrival(i int) {
	rate := sim.plan.Teams[i].ArrivalRate
	if rate == 0 {
		return
	}
	wait := time.Duration(sim.random.ExpFloat64() / rate * nanosPerSecond)
	sim.clock.after(wait, func() {
		if !sim.idle(i) {
			gateway := sim.plan.Teams[i].HomeGateway % len(sim.gateways)
			if sim.random.Float64() > homeShare {
				gateway = sim.random.IntN(len(sim.gateways))
			}
			sim.arrive(i, gateway)
		}
		sim.scheduleArrival(i)
	})
}

// arrive creates a request of a team with a random cost and delivers it to a gateway.
func (sim *simulation) arrive(i, gateway int) {
	t := sim.plan.Teams[i]
	sim.nextID++
	cost := math.Exp(math.Log(t.MeanCost) - t.Sigma*t.Sigma/2 + t.Sigma*sim.random.NormFloat64())
	cost = min(max(cost, 1), sim.plan.MaxCost)
	r := &request{
		id:      sim.nextID,
		team:    i,
		gateway: gateway,
		cost:    math.Round(cost),
		arrived: sim.clock.now,
	}
	if t.Prefixes > 0 {
		r.prefix = share.HashKey(fmt.Sprintf("team %d prompt %d", i, sim.random.IntN(t.Prefixes)))
	}
	r.shareRequest = share.Request{
		ID:         r.id,
		Team:       teamID(i),
		Deadline:   sim.clock.now.Add(maxWait),
		Prefix:     r.prefix,
		Idempotent: true,
	}
	sim.requests[r.id] = r
	g := sim.gateways[gateway]
	if g.partitioned {
		// The gateway cannot be reached; the caller repeats the request after the
		// partition.
		sim.clock.after(faultDuration, func() {
			g.placer.Arrive(sim.clock.now, r.shareRequest)
			sim.applyActions(g)
		})
		return
	}
	g.placer.Arrive(sim.clock.now, r.shareRequest)
	sim.applyActions(g)
}

// sortRequests orders requests by identifier, so that runs repeat whatever the order
// of iteration over a map.
func sortRequests(requests []*request) {
	sort.Slice(requests, func(a, b int) bool { return requests[a].id < requests[b].id })
}
