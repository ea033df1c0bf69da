package gateway

import (
	"maps"
	"slices"
	"time"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// UpstreamConfig is one upstream that the sidecar serves now.
type UpstreamConfig struct {
	ID         share.UpstreamID
	Service    share.ServiceID
	MaxRunning int
	// Leaving upstreams get no new work.
	Leaving bool
}

// SetUpstreams replaces the upstreams that the sidecar serves.
func (c *Scheduler) SetUpstreams(upstreams []UpstreamConfig) {
	c.post(func(time.Time) {
		next := make(map[share.UpstreamID]UpstreamConfig, len(upstreams))
		for _, u := range upstreams {
			u.Leaving = u.Leaving || c.draining
			next[u.ID] = u
			c.queue(u.Service).SetUpstream(u.ID, u.MaxRunning, u.Leaving)
		}
		for name, old := range c.config {
			if now, ok := next[name]; !ok || now.Service != old.Service {
				c.queue(old.Service).RemoveUpstream(name)
			}
		}
		if maps.Equal(next, c.config) {
			return
		}
		c.config = next
		c.offerAll()
	})
}

// Drain ends all new work.
func (c *Scheduler) Drain() {
	ask(c, func(time.Time) bool {
		c.draining = true
		for name, u := range c.config {
			u.Leaving = true
			c.config[name] = u
			c.queue(u.Service).SetUpstream(name, u.MaxRunning, true)
		}
		c.offerAll()
		return true
	})
}

// offer returns what the sidecar serves to gateways.
func (c *Scheduler) offer() *wire.Offer {
	byService := make(map[share.ServiceID][]share.UpstreamID)
	for name, u := range c.config {
		if !u.Leaving {
			byService[u.Service] = append(byService[u.Service], name)
		}
	}
	out := &wire.Offer{
		Incarnation: c.incarnation,
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

func (c *Scheduler) offerAll() {
	offer := c.offer()
	for _, s := range c.gateways {
		_ = s.Send(wire.Work{
			Offer: offer,
		})
	}
}
