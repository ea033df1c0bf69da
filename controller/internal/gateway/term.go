package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/raft"
)

// Term identifies a term of a replica as leader. It owns the links of gateways and all
// state of the hub but the configuration and the evacuations. The zero value means that this controller
// doesn't lead.
type Term struct {
	replica uint64
	number  uint64
}

// Leads reports whether this controller leads in the term.
func (t Term) Leads() bool { return t != Term{} }

// termOf returns the term in which a replica leads.
func termOf(r *replica.Replica) Term {
	status := r.Status()
	if status.Role != raft.Leader.String() {
		return Term{}
	}
	return Term{
		replica: status.ReplicaID,
		number:  status.Term,
	}
}

// Term returns the present term.
func (h *Hub) Term() Term {
	if r := h.replica(); r != nil {
		return termOf(r)
	}
	return Term{}
}

// confirmTerm returns the present term if a majority confirms it, and otherwise the zero
// value.
func (h *Hub) confirmTerm(ctx context.Context) Term {
	r := h.replica()
	if r == nil {
		return Term{}
	}
	term := termOf(r)
	if !term.Leads() {
		return Term{}
	}
	ctx, cancel := context.WithTimeout(ctx, welcomeTimeout)
	defer cancel()
	if r.Barrier(ctx) != nil || termOf(r) != term {
		return Term{}
	}
	return term
}

// followTerm closes the links and drops the state of a term that has ended. It is called
// before an event is handled, since another leader may have served since the last one.
func (h *Hub) followTerm() {
	next := h.Term()
	if next == h.term {
		return
	}
	if len(h.conns) > 0 {
		h.log.Info("leadership lost, links to gateways closed", "gateways", len(h.conns), "term", h.term.number)
		h.closeAll()
	}
	h.reset()
	h.term = next
}

// reset drops everything but the configuration and the evacuations, so that a next term as
// leader begins with what the gateways then report.
func (h *Hub) reset() {
	h.scheduler = dispatch.New(dispatch.Settings{
		RecordShortfalls: true,
		Trials:           true,
		ColdAllowance:    h.coldAllowance,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	h.evacuations.Restart(time.Now(), h.scheduler)
	h.conns = make(map[string]*conn)
	h.linked.Store(0)
	h.replies = make(map[*conn][]dispatch.Decision)
	h.upstreams = nil
	h.origins, h.listed = nil, nil
	h.listAsOf, h.doubted = time.Time{}, nil
	h.originsFailed = false
	h.nextListRequest = time.Time{}
	h.rateLimits = nil
	h.zones = make(map[string]*zoneRoom)
	h.listedCold, h.coldReports = nil, nil
	h.recorded, h.suspects = nil, nil
	if h.active != nil {
		h.scheduler.SetConfiguration(h.active.table)
	}
}
