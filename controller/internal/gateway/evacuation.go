package gateway

import (
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/evacuation"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// readEvacuations returns the evacuations in a replica's state.
func readEvacuations(r *replica.Replica) *evacuation.Set {
	var out evacuation.Set
	now := time.Now()
	r.View(func(s *state.State) { out = evacuation.FromState(now, s) })
	return &out
}

// loadEvacuations puts the evacuations of the replicated state in force. It is called before a
// gateway is welcomed: a majority has confirmed the leader's state then, so that the gateway
// learns of all orders that were acknowledged before.
func (h *Hub) loadEvacuations() {
	if r := h.replica(); r != nil {
		h.evacuate(readEvacuations(r))
	}
}

// evacuate puts evacuations in force if they are newer than those known, and sends them to the
// gateways.
func (h *Hub) evacuate(next *evacuation.Set) {
	now := time.Now()
	if next == nil || !h.evacuations.Apply(now, h.scheduler, *next) {
		return
	}
	h.evacuatedZones.Store(int64(len(next.Active)))
	h.log.Info("evacuated zones changed", "zones", next.Active, "revision", next.Revision)
	frame := next.Frame(now)
	for _, c := range h.conns {
		h.send(c, wire.Serve{
			Evacuations: frame,
		})
	}
}

// EvacuatedZones returns the number of availability zones that this controller knows to be
// evacuated.
func (h *Hub) EvacuatedZones() int { return int(h.evacuatedZones.Load()) }
