package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/wire"
)

// wantInterval is the pause before the platform's list is asked for again while there
// is none.
const wantInterval = 150 * time.Millisecond

// SetUpstreams takes the platform's list.
func (h *Hub) SetUpstreams(ctx context.Context, list []dispatch.Upstream) {
	h.post(ctx, event{
		upstreams: list,
	})
}

// wantList asks for the platform's list unless there is one.
func (h *Hub) wantList(now time.Time) {
	if h.upstreams != nil || now.Before(h.wantAfter) {
		return
	}
	h.wantAfter = now.Add(wantInterval)
	select {
	case h.wanted <- struct{}{}:
	default: // asked for already
	}
}

// ListRequests receives when the platform's list is needed at once.
func (h *Hub) ListRequests() <-chan struct{} { return h.wanted }

// setUpstreams takes the platform's list and tells the gateways what changed.
func (h *Hub) setUpstreams(list []dispatch.Upstream) {
	next := wire.IndexByID(list)
	first := h.upstreams == nil
	change := wire.DiffUpstreams(h.upstreams, next)
	if first {
		change = wire.FullUpdate(next)
	}
	if change == nil {
		return
	}
	h.log.Info("list of upstreams changed", "upstreams", len(next), "before", len(h.upstreams))
	h.upstreams = next
	h.core.SetUpstreams(slices.Collect(maps.Values(next)))
	for _, c := range h.conns {
		if first && c.sum == change.Hash {
			continue // it has this list from an earlier leader
		}
		h.send(c, wire.Serve{
			Upstreams: change,
		})
	}
}
