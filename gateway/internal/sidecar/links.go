package sidecar

import (
	"context"
	"time"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
)

// matchPeers makes the links match the sidecars that are wanted now. It looks
// again when the configuration changed and a few times a second.
func (c *Coordinator) matchPeers(ctx context.Context, now time.Time) {
	view := c.config.View()
	if view == c.matched && now.Before(c.nextMatch) {
		return
	}
	c.matched = view
	c.nextMatch = now.Add(matchInterval)
	wanted := c.wanted(now, view)
	for address := range wanted {
		if c.peers[address] == nil {
			peerCtx, stop := context.WithCancel(ctx)
			c.peers[address] = &peer{
				stop:     stop,
				services: make(map[share.ServiceID]bool),
				told:     make(map[share.TeamID]uint64),
			}
			dialer := c.dialer
			dialer.Heartbeat = heartbeatFor(len(wanted))
			go c.keep(peerCtx, dialer, address)
		}
	}
	for address, p := range c.peers {
		if !wanted[address] {
			p.stop()
			c.lose(address)
			delete(c.peers, address)
		}
	}
}

// heartbeatFor returns how often links send heartbeats when there are so many,
// so that all of them together cost the same however many there are.
func heartbeatFor(links int) time.Duration {
	return min(max(link.DefaultHeartbeatInterval, time.Duration(links)*heartbeatPerLink), maxHeartbeat)
}

// wanted returns the sidecars to be linked: some of each service, chosen by the
// gateway's name so that gateways spread, and more while requests wait.
func (c *Coordinator) wanted(now time.Time, view *controller.View) map[string]bool {
	wanted := make(map[string]bool)
	for _, service := range view.Services {
		r := c.reach[service.ID]
		if r == nil {
			r = &reach{
				links: leastLinks,
			}
			c.reach[service.ID] = r
		}
		p := c.placers[service.ID]
		r.update(now, p != nil && p.Waiting() > 0)
		for i, address := range share.Ranked(c.name+service.Name, view.Sidecars(service.Name)) {
			if i >= r.links {
				break
			}
			wanted[address] = true
		}
	}
	return wanted
}

// reach is how many sidecars of one service are linked.
type reach struct {
	links   int
	widenAt time.Time // deadline, when requests wait
	calmAt  time.Time // deadline, when none do
}

// update doubles the links while requests wait, and takes them back when none
// have waited for long.
func (r *reach) update(now time.Time, waiting bool) {
	if waiting {
		r.calmAt = now.Add(calmTime)
		if r.widenAt.IsZero() {
			r.widenAt = now.Add(share.DefaultWidenAfter)
		}
		if now.After(r.widenAt) && r.links < mostLinks {
			r.links *= 2
			r.widenAt = now.Add(share.DefaultWidenAfter)
		}
		return
	}
	r.widenAt = time.Time{}
	if now.After(r.calmAt) {
		r.links = leastLinks
	}
}
