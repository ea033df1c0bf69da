package gateway

import (
	"maps"
	"slices"
	"time"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// UpstreamConfig describes an upstream behind the sidecar.
type UpstreamConfig struct {
	ID         share.UpstreamID
	Service    share.ServiceID
	MaxRunning int
	// Leaving is true if the upstream is given no new grants. Requests that have
	// arrived still run.
	Leaving bool
}

// SetUpstreams replaces the set of upstreams. If it changed, all gateways receive a new
// offer.
func (s *Scheduler) SetUpstreams(upstreams []UpstreamConfig) {
	s.post(func(time.Time) {
		next := make(map[share.UpstreamID]UpstreamConfig, len(upstreams))
		for _, u := range upstreams {
			u.Leaving = u.Leaving || s.draining
			next[u.ID] = u
			s.queue(u.Service).SetUpstream(u.ID, u.MaxRunning, u.Leaving)
		}
		for id, old := range s.upstreams {
			if u, ok := next[id]; !ok || u.Service != old.Service {
				s.queue(old.Service).RemoveUpstream(id)
			}
		}
		if maps.Equal(next, s.upstreams) {
			return
		}
		s.upstreams = next
		s.sendOffers()
	})
}

// Drain marks all upstreams as leaving, also those that are set later, and tells the
// gateways. It returns when this is done.
func (s *Scheduler) Drain() {
	call(s, func(time.Time) bool {
		s.draining = true
		for id, u := range s.upstreams {
			u.Leaving = true
			s.upstreams[id] = u
			s.queue(u.Service).SetUpstream(id, u.MaxRunning, true)
		}
		s.sendOffers()
		return true
	})
}

// offer returns the upstreams that get new work, by service, sorted.
func (s *Scheduler) offer() *wire.Offer {
	byService := make(map[share.ServiceID][]share.UpstreamID)
	for id, u := range s.upstreams {
		if !u.Leaving {
			byService[u.Service] = append(byService[u.Service], id)
		}
	}
	out := &wire.Offer{
		Incarnation: s.incarnation,
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		slices.Sort(byService[service])
		out.Services = append(out.Services, wire.OfferService{
			Service:   service,
			Upstreams: byService[service],
		})
	}
	return out
}

// sendOffers sends the offer to all gateways. Failed sends are ignored: they end the link,
// and the next link begins with an offer.
func (s *Scheduler) sendOffers() {
	offer := s.offer()
	for _, link := range s.gateways {
		_ = link.Send(wire.Work{
			Offer: offer,
		})
	}
}
