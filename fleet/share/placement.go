package share

import (
	"slices"
)

// SetSidecar records that a sidecar is linked and serves the upstreams.
func (p *Placer) SetSidecar(name string, upstreams []UpstreamID) {
	s := p.sidecars[name]
	if s == nil {
		s = &sidecarState{
			sentDemand: make(map[TeamID]int),
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

// RemoveSidecar records that a sidecar's link was lost or that it serves nothing.
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

// rebuildIndex rebuilds the sorted lists of linked sidecars and their upstreams.
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

// SetSpareCapacity records whether a sidecar has free slots and no team waiting. If it has,
// the demand of every waiting team is sent there as well.
func (p *Placer) SetSpareCapacity(name string, available bool) {
	s := p.sidecars[name]
	if s == nil {
		return
	}
	s.available = available
	if !available {
		return
	}
	for _, t := range p.list {
		if !slices.Contains(t.sidecars, name) {
			t.sidecars = append(t.sidecars, name)
		}
		p.syncDemand(t)
	}
}

// availableSidecar returns a sidecar that is believed to have free slots: the one of the
// upstream that the prefix prefers, or else any. It returns "" when there is none.
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

// widenDemand adds sidecars, from a random one on, until the team's demand is sent to
// fanout of them or to all.
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

// syncDemand sends a team's demand to those of its sidecars that need to know of a change:
// that requests wait, that at least demandGrowthFactor times as many wait as the last
// demand said, or that none wait any more.
func (p *Placer) syncDemand(t *waitingTeam) {
	count := p.demandCount(t)
	for _, name := range t.sidecars {
		s := p.sidecars[name]
		if s == nil {
			continue
		}
		sent := s.sentDemand[t.id]
		if sent == count || (count > 0 && sent > 0 && count < demandGrowthFactor*sent) {
			continue
		}
		p.sendDemand(name, s, t, count)
	}
}

// demandCount returns the count for a team's demand. While sidecars prefetch, at most one
// non-idempotent request counts, because only the first slot of a prefetched grant may run
// one.
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
		s.sentDemand[t.id] = count
	} else {
		delete(s.sentDemand, t.id)
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
