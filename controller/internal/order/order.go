// Package order makes engines match their placements. Only the leading
// controller gives orders, each under a lease with a fencing number; loads are
// spaced to the weight store's rate.
package order

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/fence"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

const stepInterval = 200 * time.Millisecond

// Executor has commands executed by the leader.
type Executor interface {
	Execute(ctx context.Context, command state.Command, hops uint32) (state.Result, error)
}

// Sender passes an order to a sidecar and returns when it was carried out.
type Sender interface {
	Order(ctx context.Context, sidecar string, order wire.Order) error
}

// Giver drives a fence.Planner while its controller leads.
type Giver struct {
	replica *replica.Replica
	execute Executor
	sender  Sender
	holder  string
	rate    int64
	log     *slog.Logger
}

// New returns a giver. Holder names this controller; rate is the weight store's
// rate in bytes per second.
func New(r *replica.Replica, execute Executor, sender Sender, holder string, rate int64, log *slog.Logger) *Giver {
	return &Giver{
		replica: r,
		execute: execute,
		sender:  sender,
		holder:  holder,
		rate:    rate,
		log:     log,
	}
}

// Run gives orders until the context ends. A planner lives as long as the lead.
func (g *Giver) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var planner *fence.Planner
	done := make(chan fence.Outcome)
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-done:
			if planner != nil {
				planner.Done(time.Now(), o)
			}
		case <-ticker.C:
		}
		if !g.replica.IsLeader() {
			planner = nil
			continue
		}
		if planner == nil {
			planner = fence.NewPlanner(g.rate)
		}
		for _, job := range planner.Next(time.Now(), g.wanted()) {
			go g.give(ctx, job, done)
		}
	}
}

// wanted returns the placements and how to reach their engines.
func (g *Giver) wanted() []fence.DesiredPlacement {
	var out []fence.DesiredPlacement
	g.replica.View(func(s *state.State) {
		for _, r := range s.List(resource.KindPlacement) {
			spec, err := r.Decode()
			if err != nil {
				continue
			}
			placement := *spec.(*resource.Placement)
			u, ok := s.Get(resource.ID{
				Kind: resource.KindUpstream,
				Name: placement.Upstream,
			})
			if !ok {
				continue
			}
			upstream, err := u.Decode()
			if err != nil {
				continue
			}
			out = append(out, fence.DesiredPlacement{
				Version:   r.Version,
				Placement: placement,
				Sidecar:   upstream.(*resource.Upstream).Sidecar,
				CanFence:  upstream.(*resource.Upstream).ChecksFencing,
			})
		}
	})
	slices.SortFunc(out, func(a, b fence.DesiredPlacement) int { return cmp.Compare(a.Placement.Upstream, b.Placement.Upstream) })
	return out
}

// give takes a lease and passes the order on under its number.
func (g *Giver) give(ctx context.Context, job fence.DesiredPlacement, done chan<- fence.Outcome) {
	outcome := fence.Outcome{
		Upstream: job.Placement.Upstream,
		Version:  job.Version,
	}
	defer func() {
		select {
		case done <- outcome:
		case <-ctx.Done():
		}
	}()
	deadline := time.Now().Add(fence.LeaseDuration)
	leaseCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	result, err := g.execute.Execute(leaseCtx, state.Command{
		Lease: &state.LeaseRequest{
			Upstream: job.Placement.Upstream,
			Holder:   g.holder,
			Deadline: deadline.UTC(),
			CanFence: job.CanFence,
		},
	}, 0)
	if err == nil && result.Code == state.CodeLeaseHeld {
		outcome.NotBefore = result.Lease.Deadline.Add(state.MaxClockSkew)
	}
	if err != nil || result.Code != state.CodeOK {
		return
	}
	err = g.sender.Order(leaseCtx, job.Sidecar, wire.Order{
		Upstream:     job.Placement.Upstream,
		FencingToken: result.Lease.FencingToken,
		Deadline:     result.Lease.Deadline,
		Want:         job.Placement,
	})
	if err != nil {
		g.log.Warn("order not carried out", "upstream", job.Placement.Upstream, "cause", err)
		return
	}
	outcome.OK = true
	want, _ := json.Marshal(job.Placement)
	g.log.Info("order carried out", "number", result.Lease.FencingToken, "placement", string(want))
}
