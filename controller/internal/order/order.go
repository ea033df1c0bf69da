// Package order makes model engines match their desired placements. Its entry point
// is Reconciler.
//
// Only the leading controller sends orders, each under a lease with a fencing token,
// so that an order of a former leader is distinguished from a newer one. Loads of models
// are spaced to the rate of the weight store.
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

// reconcileInterval is the pause between two comparisons of the placements with what
// was ordered.
const reconcileInterval = 200 * time.Millisecond

// Executor has a command executed by the leading controller. Hops counts how often the
// command was forwarded.
type Executor interface {
	Execute(ctx context.Context, command state.Command, hops uint32) (state.Result, error)
}

// Sender sends an order to a sidecar and returns when it was carried out.
type Sender interface {
	Order(ctx context.Context, sidecar string, order wire.Order) error
}

// Reconciler drives a fence.Planner while its controller leads: it takes a lease for
// each order that is due and sends the order to the engine's sidecar.
type Reconciler struct {
	replica        *replica.Replica
	executor       Executor
	sender         Sender
	holder         string
	bytesPerSecond int64
	log            *slog.Logger
}

// New returns a reconciler. Holder names this controller in leases; bytesPerSecond is
// the rate of the weight store, and zero means that it has no limit.
func New(r *replica.Replica, executor Executor, sender Sender, holder string, bytesPerSecond int64, log *slog.Logger) *Reconciler {
	return &Reconciler{
		replica:        r,
		executor:       executor,
		sender:         sender,
		holder:         holder,
		bytesPerSecond: bytesPerSecond,
		log:            log,
	}
}

// Run sends the orders that are due until the context ends. Each term of leadership
// has a planner of its own.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	var planner *fence.Planner
	outcomes := make(chan fence.Outcome)
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-outcomes:
			if planner != nil {
				planner.Done(time.Now(), o)
			}
		case <-ticker.C:
		}
		if !r.replica.IsLeader() {
			planner = nil
			continue
		}
		if planner == nil {
			planner = fence.NewPlanner(r.bytesPerSecond)
		}
		for _, due := range planner.Next(time.Now(), r.desiredPlacements()) {
			go r.execute(ctx, due, outcomes)
		}
	}
}

// desiredPlacements returns the placements with their engines' sidecars, in the order of
// the upstreams' names. It leaves out placements whose upstream doesn't exist and
// specifications that can't be decoded.
func (r *Reconciler) desiredPlacements() []fence.DesiredPlacement {
	var out []fence.DesiredPlacement
	r.replica.View(func(s *state.State) {
		for _, item := range s.List(resource.KindPlacement) {
			spec, err := item.Decode()
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
				Version:   item.Version,
				Placement: placement,
				Sidecar:   upstream.(*resource.Upstream).Sidecar,
				CanFence:  upstream.(*resource.Upstream).ChecksFencing,
			})
		}
	})
	slices.SortFunc(out, func(a, b fence.DesiredPlacement) int { return cmp.Compare(a.Placement.Upstream, b.Placement.Upstream) })
	return out
}

// execute takes a lease for one placement, sends the order under the lease's fencing
// token, and reports the outcome. While another holder has the lease, the next attempt
// waits for the lease's deadline and the largest clock skew.
func (r *Reconciler) execute(ctx context.Context, due fence.DesiredPlacement, outcomes chan<- fence.Outcome) {
	outcome := fence.Outcome{
		Upstream: due.Placement.Upstream,
		Version:  due.Version,
	}
	defer func() {
		select {
		case outcomes <- outcome:
		case <-ctx.Done():
		}
	}()
	deadline := time.Now().Add(fence.LeaseDuration)
	leaseCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	result, err := r.executor.Execute(leaseCtx, state.Command{
		Lease: &state.LeaseRequest{
			Upstream: due.Placement.Upstream,
			Holder:   r.holder,
			Deadline: deadline.UTC(),
			CanFence: due.CanFence,
		},
	}, 0)
	if err == nil && result.Code == state.CodeLeaseHeld {
		outcome.NotBefore = result.Lease.Deadline.Add(state.MaxClockSkew)
	}
	if err != nil || result.Code != state.CodeOK {
		return
	}
	err = r.sender.Order(leaseCtx, due.Sidecar, wire.Order{
		Upstream:     due.Placement.Upstream,
		FencingToken: result.Lease.FencingToken,
		Deadline:     result.Lease.Deadline,
		Want:         due.Placement,
	})
	if err != nil {
		r.log.Warn("order not carried out, retried after a backoff", "cause", err, "upstream", due.Placement.Upstream)
		return
	}
	outcome.OK = true
	want, _ := json.Marshal(due.Placement)
	r.log.Info("order carried out", "number", result.Lease.FencingToken, "placement", string(want))
}
