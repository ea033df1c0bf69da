package share

import (
	"slices"
)

// SetSidecar tells that a sidecar is linked and serves the upstreams.
func (p *Placer) SetSidecar(name string, upstreams []UpstreamID) {
	s := p.places[name]
	if s == nil {
		s = &place{
			believed: make(map[TeamID]int),
		}
		p.places[name] = s
	}
	s.up = true
	s.upstream = slices.Clone(upstreams)
	p.index()
	for _, t := range p.list {
		p.spreadOut(t)
	}
}

// RemoveSidecar tells that a sidecar's link was lost or that it serves nothing.
func (p *Placer) RemoveSidecar(name string) {
	if p.places[name] == nil {
		return
	}
	delete(p.places, name)
	p.index()
	for _, t := range p.list {
		t.at = slices.DeleteFunc(t.at, func(s string) bool { return s == name })
		p.spreadOut(t)
	}
}

// index rebuilds the sorted lists of what is up.
func (p *Placer) index() {
	p.names = p.names[:0]
	p.engines = p.engines[:0]
	clear(p.home)
	for name, s := range p.places {
		p.names = append(p.names, name)
		for _, u := range s.upstream {
			p.engines = append(p.engines, u)
			p.home[u] = name
		}
	}
	slices.Sort(p.names)
	slices.Sort(p.engines)
}

// SetSpareCapacity takes a sidecar's word on whether it has room and nothing waiting.
func (p *Placer) SetSpareCapacity(name string, free bool) {
	s := p.places[name]
	if s == nil {
		return
	}
	s.room = free
	if !free {
		return
	}
	// An idle sidecar asks for work: every waiting team stands there too.
	for _, t := range p.list {
		if !slices.Contains(t.at, name) {
			t.at = append(t.at, name)
		}
		p.sync(t)
	}
}

// direct returns a sidecar that is thought to have room: the one that the
// prefix prefers, or else any.
func (p *Placer) direct(r Request) string {
	if r.Prefix != 0 {
		name := p.home[Preferred(r.Prefix, p.engines)]
		if s := p.places[name]; s != nil && s.room {
			return name
		}
	}
	start := p.random.IntN(len(p.names))
	for i := range p.names {
		name := p.names[(start+i)%len(p.names)]
		if p.places[name].room {
			return name
		}
	}
	return ""
}

// spreadOut chooses the sidecars where a team's demand stands.
func (p *Placer) spreadOut(t *waitingTeam) {
	start := 0
	if len(p.names) > 0 {
		start = p.random.IntN(len(p.names))
	}
	for i := range p.names {
		if len(t.at) >= t.spread {
			break
		}
		name := p.names[(start+i)%len(p.names)]
		if !slices.Contains(t.at, name) {
			t.at = append(t.at, name)
		}
	}
	p.sync(t)
}

// sync tells sidecars what they need to know of a team's waiting requests: that
// there are some, that there are at least refillFactor times as many as they
// believe, and that there are none left.
func (p *Placer) sync(t *waitingTeam) {
	count := p.toTell(t)
	for _, name := range t.at {
		s := p.places[name]
		if s == nil {
			continue
		}
		believed := s.believed[t.id]
		if believed == count || (count > 0 && believed > 0 && count < refillFactor*believed) {
			continue
		}
		p.tell(name, s, t, count)
	}
}

// toTell returns how many of a team's requests sidecars should know of. Where
// they grant from a stock only one of those that may not be repeated counts.
func (p *Placer) toTell(t *waitingTeam) int {
	if !p.stocked {
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

func (p *Placer) tell(name string, s *place, t *waitingTeam, count int) {
	if count > 0 {
		s.believed[t.id] = count
	} else {
		delete(s.believed, t.id)
	}
	p.do(SendDemand{
		Sidecar: name,
		Demand: Demand{
			Service: p.settings.Service,
			Team:    t.id,
			Count:   count,
		},
	})
}
