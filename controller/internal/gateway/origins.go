package gateway

import (
	"context"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/state"
)

// recordDelay is the time for which streams are gathered before they are recorded together.
// Those of the last moments before a loss of power can't be resumed.
const recordDelay = 20 * time.Millisecond

// originResult is the end of a proposed change of the history of streams.
type originResult struct {
	term   Term // in which the change was proposed
	change origin.Change
	err    error
}

// continuation is a gateway's request that continues a stream which is not recorded.
type continuation struct {
	conn    *conn
	request dispatch.Request
	// single is the only version of the service in the history that was read with the
	// confirmation of a majority, or empty.
	single string
}

// replica returns this controller's replica, or nil. Hubs of tests may have no replicas.
func (h *Hub) replica() *replica.Replica {
	if h.replicas == nil {
		return nil
	}
	return h.replicas.Replica()
}

// viewHistory calls f with the replicated history, if there is a replica.
func (h *Hub) viewHistory(f func(*origin.History)) {
	if r := h.replica(); r != nil {
		r.View(func(s *state.State) { f(&s.Origins) })
	}
}

// recordedStreams returns the number of streams in the replicated history.
func (h *Hub) recordedStreams() (n int) {
	h.viewHistory(func(history *origin.History) { n = history.Len() })
	return n
}

// loadOrigins starts the record of a new leader from the replicated history.
func (h *Hub) loadOrigins() {
	h.viewHistory(func(history *origin.History) { h.origins = origin.NewKeeper(time.Now(), history) })
}

// refreshOrigins reads the replicated history again, after a majority has confirmed the term.
// What waits to be recorded is kept: a list may have come before the first link.
func (h *Hub) refreshOrigins() {
	if h.origins == nil {
		h.loadOrigins()
		return
	}
	h.viewHistory(h.origins.Refresh)
}

// publishable returns the listed upstreams whose software versions are in the replicated
// history. The versions of the others are added to it.
func (h *Hub) publishable(now time.Time) []dispatch.Upstream {
	if h.origins == nil {
		h.loadOrigins()
	}
	if h.origins == nil {
		return nil
	}
	out := make([]dispatch.Upstream, 0, len(h.listed))
	for _, u := range h.listed {
		if h.origins.List(now, origin.Version{
			Service: u.Service,
			Name:    u.Version,
		}) {
			out = append(out, u)
		}
	}
	return out
}

// receiveBegun takes over the streams that a gateway reports.
func (h *Hub) receiveBegun(now time.Time, batches []origin.Batch) {
	if h.origins == nil || len(batches) == 0 {
		return
	}
	h.viewHistory(func(history *origin.History) {
		h.origins.Report(now, batches, func(s origin.Stream, o origin.Origin) bool {
			recorded, ok := history.Find(s)
			return ok && recorded == o
		})
	})
}

// continueStream decides on a request that continues a stream, unless the replicated history
// has to be read with the confirmation of a majority first.
func (h *Hub) continueStream(c *conn, r dispatch.Request) {
	if h.origins == nil {
		return // the gateway refuses the request for now
	}
	began, answer := h.findOrigin(r)
	if answer != origin.Unconfirmed {
		h.placeContinuation(c, r, began)
		return
	}
	select {
	case h.unconfirmed <- continuation{
		conn:    c,
		request: r,
	}:
	default: // the gateway refuses the request for now
	}
}

// findOrigin returns what is known of the stream that a request continues.
func (h *Hub) findOrigin(r dispatch.Request) (began origin.Origin, answer origin.Answer) {
	h.viewHistory(func(history *origin.History) {
		recorded, ok := history.Find(r.Stream)
		began, answer = h.origins.Find(r.Stream, r.Service, r.Allows, recorded, ok)
	})
	return began, answer
}

// continueConfirmed decides on a request after the read. The history is not read again, since
// this controller may have another replica by now, which lacks changes.
func (h *Hub) continueConfirmed(t continuation) {
	if h.origins == nil || h.conns[t.conn.name] != t.conn {
		return
	}
	began, answer := h.findOrigin(t.request)
	if answer == origin.Unconfirmed {
		began = origin.Origin{
			Service: t.request.Service,
			Version: t.single,
		}
	}
	h.placeContinuation(t.conn, t.request, began)
}

// placeContinuation places a request at an upstream of the software version that began its
// stream, and refuses it for good if that is not known.
func (h *Hub) placeContinuation(c *conn, r dispatch.Request, began origin.Origin) {
	if !began.Known() {
		h.replies[c] = append(h.replies[c], dispatch.Decision{
			ID:     r.ID,
			Reason: dispatch.UnknownVersion,
		})
		return
	}
	r.Version, r.Service = began.Version, began.Service
	h.place(c, r)
}

// place has the scheduler decide on a gateway's request. One that continues a stream was
// admitted before.
func (h *Hub) place(c *conn, r dispatch.Request) {
	now := time.Now()
	if r.Continues {
		r.Resumed = h.allowance.Take(now, r.Stream)
	}
	c.traffic.add(r.Weight())
	d := h.scheduler.Place(now, c.name, r)
	d.Version = r.Version
	if r.Continues {
		d.Service = r.Service
	}
	h.replies[c] = append(h.replies[c], d)
}

// confirmContinuations has the waiting requests decided after a linearizable read, one for all that
// are queued.
func (h *Hub) confirmContinuations(ctx context.Context) {
	for {
		var waiting []continuation
		select {
		case <-ctx.Done():
			return
		case t := <-h.unconfirmed:
			waiting = append(waiting, t)
		}
		for len(h.unconfirmed) > 0 {
			waiting = append(waiting, <-h.unconfirmed)
		}
		r := h.replica()
		if r == nil || r.Barrier(ctx) != nil {
			continue // the gateways refuse the requests for now
		}
		r.View(func(s *state.State) {
			for i := range waiting {
				waiting[i].single, _ = s.Origins.Single(waiting[i].request.Service)
			}
		})
		h.post(ctx, event{
			confirmedContinuations: waiting,
		})
	}
}

// originsPending reports whether a change of the history is to be proposed, and after which
// time. New versions don't wait, since their upstreams get no requests before.
func (h *Hub) originsPending() (time.Duration, bool) {
	if h.origins == nil || !h.origins.Pending() || !h.term.Leads() {
		return 0, false
	}
	if h.origins.Adds() && !h.originsFailed {
		return 0, true
	}
	return recordDelay, true
}

// recordOrigins proposes the pending change, if there is one.
func (h *Hub) recordOrigins(ctx context.Context) {
	if h.origins != nil && h.origins.Pending() {
		h.proposeOrigins(ctx, h.origins.Next())
	}
}

// removeVersions proposes to remove software versions of which no stream can be resumed any
// more.
func (h *Hub) removeVersions(ctx context.Context, now time.Time) {
	if h.origins == nil || h.listed == nil || h.active == nil || len(h.conns) == 0 {
		return
	}
	retention := origin.MinVersionRetention
	for i := range h.active.table.Configuration.Routes {
		retention = max(retention, 2*h.active.table.Configuration.Routes[i].Timeout())
	}
	if change, ok := h.origins.Removal(now, retention); ok {
		h.proposeOrigins(ctx, change)
	}
}

// proposeOrigins proposes a change and posts the result.
func (h *Hub) proposeOrigins(ctx context.Context, change origin.Change) {
	r, term := h.replica(), h.term
	go func() {
		err := replica.ErrNotLeader
		if r != nil {
			proposal, cancel := context.WithTimeout(ctx, proposeTimeout)
			defer cancel()
			_, err = r.Propose(proposal, state.Command{
				Origins: &change,
			})
		}
		h.post(ctx, event{
			originResult: &originResult{
				term:   term,
				change: change,
				err:    err,
			},
		})
	}()
}

// originsRecorded handles the end of a proposal. What failed is proposed again. Upstreams of
// versions that are recorded now are published.
func (h *Hub) originsRecorded(result *originResult) {
	if result.term != h.term || h.origins == nil {
		return
	}
	h.originsFailed = result.err != nil
	change := result.change
	if result.err != nil {
		h.origins.Done(change, nil)
		h.log.Warn("software versions of streams not recorded, retried later", "cause", result.err, "versions", len(change.Add))
		return
	}
	h.viewHistory(func(history *origin.History) { h.origins.Done(change, history) })
	for _, v := range change.Add {
		h.log.Info("software version recorded", "service", v.Service, "version", v.Name, "versions", h.origins.Versions(v.Service))
	}
	for _, v := range change.Remove {
		h.log.Info("software version removed", "service", v.Service, "version", v.Name, "versions", h.origins.Versions(v.Service))
	}
	if len(change.Add) > 0 && h.listed != nil {
		h.publishUpstreams()
	}
}
