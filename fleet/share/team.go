package share

import "container/heap"

// gatewayDemand is what one gateway said of one team.
type gatewayDemand struct {
	gateway string
	count   int
}

// team is one team's place in a Queue.
type team struct {
	id     TeamID
	weight float64

	epoch           uint32
	localService    int64   // charged here, cumulative
	reportedService int64   // own when it was last reported
	knownVirtual    float64 // virtual service last heard of
	knownLocal      int64   // the part of own that known includes
	waited          bool    // waited here since the last report
	sidecars        int     // sidecars where the team waits, as last heard

	reportedWaiting bool // the last report said that the team waits
	waitTime        waitTime

	demands      []gatewayDemand
	nextDemand   int // the demand whose turn it is
	waiting      int
	running      int
	arrivalOrder uint64 // arrival order, for ties and for OrderArrival
	heapIndex    int    // index in the heap, or -1
}

// virtual returns the team's service per weight, fleet-wide as far as known. Of
// what was charged here since, it assumes that the other sidecars where the
// team waits did likewise; without that all of them would turn to the same team
// at once.
func (t *team) virtual() float64 {
	likewise := float64(max(t.sidecars, 1))
	return t.knownVirtual + likewise*float64(t.localService-t.knownLocal)/t.weight
}

// demand returns the gateway's entry, or nil.
func (t *team) demand(gateway string) *gatewayDemand {
	for i := range t.demands {
		if t.demands[i].gateway == gateway {
			return &t.demands[i]
		}
	}
	return nil
}

// setDemand replaces a gateway's entry.
func (t *team) setDemand(gateway string, count int) {
	d := t.demand(gateway)
	if d == nil {
		if count == 0 {
			return
		}
		t.demands = append(t.demands, gatewayDemand{
			gateway: gateway,
		})
		d = &t.demands[len(t.demands)-1]
	}
	t.waiting += count - d.count
	d.count = count
	if count > 0 {
		return
	}
	for i := range t.demands {
		if t.demands[i].gateway == gateway {
			t.demands = append(t.demands[:i], t.demands[i+1:]...)
			break
		}
	}
}

// takeGateway chooses the next gateway in turn and counts one request less there.
func (t *team) takeGateway() string {
	t.nextDemand %= len(t.demands)
	d := t.demands[t.nextDemand]
	gateway, more := d.gateway, d.count > 1
	t.setDemand(gateway, d.count-1)
	if more {
		t.nextDemand++
	}
	return gateway
}

// teamHeap orders the waiting teams by who is next.
type teamHeap struct {
	teams     []*team
	byArrival bool
}

// Len returns the number of waiting teams.
func (h *teamHeap) Len() int { return len(h.teams) }

// Less orders by virtual service, then by arrival.
func (h *teamHeap) Less(i, j int) bool {
	a, b := h.teams[i], h.teams[j]
	if !h.byArrival {
		if va, vb := a.virtual(), b.virtual(); va != vb {
			return va < vb
		}
	}
	return a.arrivalOrder < b.arrivalOrder
}

// Swap exchanges two teams.
func (h *teamHeap) Swap(i, j int) {
	h.teams[i], h.teams[j] = h.teams[j], h.teams[i]
	h.teams[i].heapIndex = i
	h.teams[j].heapIndex = j
}

// Push adds a team; it is called by container/heap only.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.heapIndex = len(h.teams)
	h.teams = append(h.teams, t)
}

// Pop removes the last team; it is called by container/heap only.
func (h *teamHeap) Pop() any {
	t := h.teams[len(h.teams)-1]
	h.teams[len(h.teams)-1] = nil
	h.teams = h.teams[:len(h.teams)-1]
	t.heapIndex = -1
	return t
}

// fix puts a team where its counters say, or takes it out.
func (h *teamHeap) fix(t *team) {
	switch {
	case t.waiting > 0 && t.heapIndex < 0:
		heap.Push(h, t)
	case t.waiting == 0 && t.heapIndex >= 0:
		heap.Remove(h, t.heapIndex)
	case t.heapIndex >= 0:
		heap.Fix(h, t.heapIndex)
	}
}
