package share

import (
	"slices"
)

// SetSidecar tells that a sidecar is linked and serves the upstreams.
func (p *Placer) SetSidecar(name string, upstreams []UpstreamID) {
	s := p.sidecars[name]
	if s == nil {
		s = &sidecarState{
			told: make(map[TeamID]int),
		}
		p.sidecars[name] = s
	}
	s.up = true
	s.upstreams = slices.Clone(upstreams)
	p.rebuildIndex()
	for _, t := range p.list {
		p.widenDemand(t)
	}
}

// RemoveSidecar tells that a sidecar's link was lost or that it serves nothing.
func (p *Placer) RemoveSidecar(name string) {
	if p.sidecars[name] == nil {
		return
	}
	delete(p.sidecars, name)
	p.rebuildIndex()
	for _, t := range p.list {
		t.sidecars = slices.DeleteFunc(t.sidecars, func(s string) bool { return s == name })
		p.widenDemand(t)
	}
}

// rebuildIndex rebuilds the sorted lists of what is up.
func (p *Placer) rebuildIndex() {
	p.names = p.names[:0]
	p.upstreams = p.upstreams[:0]
	clear(p.sidecarOf)
	for name, s := range p.sidecars {
		p.names = append(p.names, name)
		for _, u := range s.upstreams {
			p.upstreams = append(p.upstreams, u)
			p.sidecarOf[u] = name
		}
	}
	slices.Sort(p.names)
	slices.Sort(p.upstreams)
}

// SetSpareCapacity takes a sidecar's word on whether it has room and nothing waiting.
func (p *Placer) SetSpareCapacity(name string, free bool) {
	s := p.sidecars[name]
	if s == nil {
		return
	}
	s.available = free
	if !free {
		return
	}
	// An idle sidecar asks for work: every waiting team stands there too.
	for _, t := range p.list {
		if !slices.Contains(t.sidecars, name) {
			t.sidecars = append(t.sidecars, name)
		}
		p.syncDemand(t)
	}
}

// availableSidecar returns a sidecar that is thought to have room: the one that the
// prefix prefers, or else any.
func (p *Placer) availableSidecar(r Request) string {
	if r.Prefix != 0 {
		name := p.sidecarOf[Preferred(r.Prefix, p.upstreams)]
		if s := p.sidecars[name]; s != nil && s.available {
			return name
		}
	}
	start := p.random.IntN(len(p.names))
	for i := range p.names {
		name := p.names[(start+i)%len(p.names)]
		if p.sidecars[name].available {
			return name
		}
	}
	return ""
}

// widenDemand chooses the sidecars where a team's demand stands.
func (p *Placer) widenDemand(t *waitingTeam) {
	start := 0
	if len(p.names) > 0 {
		start = p.random.IntN(len(p.names))
	}
	for i := range p.names {
		if len(t.sidecars) >= t.fanout {
			break
		}
		name := p.names[(start+i)%len(p.names)]
		if !slices.Contains(t.sidecars, name) {
			t.sidecars = append(t.sidecars, name)
		}
	}
	p.syncDemand(t)
}

// syncDemand tells sidecars what they need to know of a team's waiting requests: that
// there are some, that there are at least refillFactor times as many as they
// believe, and that there are none left.
func (p *Placer) syncDemand(t *waitingTeam) {
	count := p.demandCount(t)
	for _, name := range t.sidecars {
		s := p.sidecars[name]
		if s == nil {
			continue
		}
		believed := s.told[t.id]
		if believed == count || (count > 0 && believed > 0 && count < demandGrowthFactor*believed) {
			continue
		}
		p.sendDemand(name, s, t, count)
	}
}

// demandCount returns how many of a team's requests sidecars should know of. Where
// they grant from a stock only one of those that may not be repeated counts.
func (p *Placer) demandCount(t *waitingTeam) int {
	if !p.prefetching {
		return min(len(t.queue), p.settings.Window)
	}
	idempotent, others := 0, 0
	for _, r := range t.queue[:min(len(t.queue), 2*p.settings.Window)] {
		if r.Idempotent {
			idempotent++
		} else {
			others = 1
		}
	}
	return min(idempotent+others, p.settings.Window)
}

func (p *Placer) sendDemand(name string, s *sidecarState, t *waitingTeam, count int) {
	if count > 0 {
		s.told[t.id] = count
	} else {
		delete(s.told, t.id)
	}
	p.emit(SendDemand{
		Sidecar: name,
		Demand: Demand{
			Service: p.settings.Service,
			Team:    t.id,
			Count:   count,
		},
	})
}
