package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/fleet/wire"
)

// listRequestInterval is the least pause between two requests for the platform's list
// while there is none.
const listRequestInterval = 150 * time.Millisecond

// SetUpstreams replaces the list of upstreams by the platform's, which was read in the
// given term, as long as that term lasts. The list shows what was true at asOf; the zero time
// means that it is not known. It waits while the event queue is full.
func (h *Hub) SetUpstreams(ctx context.Context, read Term, asOf time.Time, list []dispatch.Upstream) {
	h.post(ctx, event{
		upstreams: list,
		listTerm:  read,
		listAsOf:  asOf,
	})
}

// confirmList records that the list, which was published, shows what was true at a time.
func (h *Hub) confirmList(asOf time.Time) {
	h.listAsOf = asOf
	h.scheduler.ConfirmVersions(asOf)
	doubted := h.scheduler.DoubtedVersions()
	slices.Sort(doubted)
	if !slices.Equal(doubted, h.doubted) {
		h.log.Info("upstreams with uncertain software versions changed", "count", len(doubted), "before", len(h.doubted), "upstreams", doubted)
		h.doubted = doubted
	}
}

// listAge returns how long ago the state was true that the published list shows; zero if that is
// not known.
func (h *Hub) listAge(now time.Time) time.Duration {
	if h.listAsOf.IsZero() {
		return 0
	}
	return now.Sub(h.listAsOf)
}

// requestList requests the platform's list unless there is one or a request was made
// within listRequestInterval.
func (h *Hub) requestList(now time.Time) {
	if h.upstreams != nil || now.Before(h.nextListRequest) {
		return
	}
	h.nextListRequest = now.Add(listRequestInterval)
	select {
	case h.listRequests <- struct{}{}:
	default: // a request is pending
	}
}

// ListRequests returns a channel that receives a value when the platform's list is to
// be read at once, instead of at the next poll.
func (h *Hub) ListRequests() <-chan struct{} { return h.listRequests }

// setUpstreams replaces the platform's list of upstreams.
func (h *Hub) setUpstreams(list []dispatch.Upstream) {
	h.listed = list
	h.listedCold = takeCold(list)
	h.publishUpstreams()
	h.observeCold()
}

// publishUpstreams sends the gateways the change of the list, without upstreams whose software
// versions are not recorded yet. The first list after a change of leader is sent whole, except
// to gateways that have it already. It is not published as long as no upstream is left.
func (h *Hub) publishUpstreams() {
	list := h.publishable(time.Now())
	first := h.upstreams == nil
	if first && len(list) == 0 && len(h.listed) > 0 {
		return
	}
	next := wire.IndexByID(list)
	change := wire.DiffUpstreams(h.upstreams, next)
	if first {
		change = wire.FullUpdate(next)
	}
	if change == nil {
		return
	}
	h.log.Info("list of upstreams changed", "upstreams", len(next), "before", len(h.upstreams), trace.KeyVersions, trace.Versions(next))
	h.upstreams = next
	h.scheduler.SetUpstreams(slices.Collect(maps.Values(next)))
	h.evacuations.Listed(time.Now(), h.scheduler)
	for _, c := range h.conns {
		if first && c.upstreamsDigest != 0 && c.upstreamsDigest == change.Digest {
			continue // it has this list from an earlier leader
		}
		h.send(c, wire.Serve{
			Upstreams: change,
		})
	}
	h.forgetSentCold()
	h.observeCold()
}
