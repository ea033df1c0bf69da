package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/wire"
)

// listRequestInterval is the pause before the platform's list is asked for again while there
// is none.
const listRequestInterval = 150 * time.Millisecond

// SetUpstreams takes the platform's list.
func (h *Hub) SetUpstreams(ctx context.Context, list []dispatch.Upstream) {
	h.post(ctx, event{
		upstreams: list,
	})
}

// requestList asks for the platform's list unless there is one.
func (h *Hub) requestList(now time.Time) {
	if h.upstreams != nil || now.Before(h.nextListRequest) {
		return
	}
	h.nextListRequest = now.Add(listRequestInterval)
	select {
	case h.listRequests <- struct{}{}:
	default: // asked for already
	}
}

// ListRequests receives when the platform's list is needed at once.
func (h *Hub) ListRequests() <-chan struct{} { return h.listRequests }

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
	h.scheduler.SetUpstreams(slices.Collect(maps.Values(next)))
	for _, c := range h.conns {
		if first && c.upstreamsHash == change.Hash {
			continue // it has this list from an earlier leader
		}
		h.send(c, wire.Serve{
			Upstreams: change,
		})
	}
}
