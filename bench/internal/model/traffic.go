package model

import (
	"fmt"
	"math"
	"sort"
	"time"

	"baobabpaddle/fleet/share"
)

const (
	maxWait      = 20 * time.Minute
	homeShare    = 0.8 // of a team's traffic comes to its own gateway
	secondsOfDay = float64(time.Second)
)

// traffic starts every team's arrivals. Backlogs arrive at once and mixed, as
// callers do on a Monday morning.
func (w *world) traffic() {
	for depth := range w.plan.BacklogDepth {
		for i, t := range w.plan.Teams {
			if t.ArrivalRate < 0 {
				w.clock.after(0, func() { w.backlog(i, depth) })
			}
		}
	}
	for i, t := range w.plan.Teams {
		if t.ArrivalRate >= 0 {
			w.nextArrival(i)
		}
		if t.ArrivalRate >= 0 || t.IdleTo == 0 {
			continue
		}
		for depth := range w.plan.BacklogDepth {
			w.clock.after(t.IdleTo, func() { w.backlog(i, depth) })
		}
	}
}

func (w *world) idle(i int) bool {
	t := w.plan.Teams[i]
	at := w.clock.now.Sub(epoch)
	return at >= t.IdleFrom && at < t.IdleTo
}

// backlog adds to a team's queue at its gateways: each time at its own, and
// every fourth time at the next one.
func (w *world) backlog(i, depth int) {
	home := w.plan.Teams[i].HomeGateway % len(w.gateways)
	w.arrive(i, home)
	if depth%4 == 0 {
		w.arrive(i, (home+1)%len(w.gateways))
	}
}

// refill keeps a backlogged team backlogged where a request has just left.
func (w *world) refill(r *request) {
	if r.started {
		return
	}
	r.started = true
	if w.plan.Teams[r.team].ArrivalRate < 0 && !w.idle(r.team) {
		w.clock.after(0, func() { w.arrive(r.team, r.gateway) })
	}
}

func (w *world) nextArrival(i int) {
	rate := w.plan.Teams[i].ArrivalRate
	if rate == 0 {
		return
	}
	wait := time.Duration(w.random.ExpFloat64() / rate * secondsOfDay)
	w.clock.after(wait, func() {
		if !w.idle(i) {
			gateway := w.plan.Teams[i].HomeGateway % len(w.gateways)
			if w.random.Float64() > homeShare {
				gateway = w.random.IntN(len(w.gateways))
			}
			w.arrive(i, gateway)
		}
		w.nextArrival(i)
	})
}

// arrive brings one request of a team to a gateway.
func (w *world) arrive(i, gateway int) {
	t := w.plan.Teams[i]
	w.nextID++
	cost := math.Exp(math.Log(t.MeanCost) - t.Sigma*t.Sigma/2 + t.Sigma*w.random.NormFloat64())
	cost = min(max(cost, 1), w.plan.MaxCost)
	r := &request{
		id:      w.nextID,
		team:    i,
		gateway: gateway,
		cost:    math.Round(cost),
		arrived: w.clock.now,
	}
	if t.Prefixes > 0 {
		r.prefix = share.HashKey(fmt.Sprintf("team %d prompt %d", i, w.random.IntN(t.Prefixes)))
	}
	r.inside = share.Request{
		ID:         r.id,
		Team:       teamID(i),
		Deadline:   w.clock.now.Add(maxWait),
		Prefix:     r.prefix,
		Idempotent: true,
	}
	w.requests[r.id] = r
	g := w.gateways[gateway]
	if g.cut {
		// Nobody hears the caller; it comes back when the cut is over.
		w.clock.after(faultFor, func() {
			g.placer.Arrive(w.clock.now, r.inside)
			w.carryOut(g)
		})
		return
	}
	g.placer.Arrive(w.clock.now, r.inside)
	w.carryOut(g)
}

func sortRequests(requests []*request) {
	sort.Slice(requests, func(a, b int) bool { return requests[a].id < requests[b].id })
}
