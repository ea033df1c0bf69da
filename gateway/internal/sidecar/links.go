package sidecar

import (
	"context"
	"time"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
)

// syncPeers opens links to the wanted sidecars and closes all others. It does so when the
// configuration has changed, and otherwise once per syncPeersInterval.
func (c *Coordinator) syncPeers(ctx context.Context, now time.Time) {
	view := c.config.View()
	if view == c.syncedView && now.Before(c.nextSync) {
		return
	}
	c.syncedView = view
	c.nextSync = now.Add(syncPeersInterval)
	wanted := c.wantedSidecars(now, view)
	for address := range wanted {
		if c.peers[address] == nil {
			peerCtx, stop := context.WithCancel(ctx)
			p := &peer{
				stop:        stop,
				services:    make(map[share.ServiceID]bool),
				sentWeights: make(map[share.TeamID]uint64),
			}
			c.peers[address] = p
			dialer := c.dialer
			dialer.Heartbeat = heartbeatInterval(len(wanted))
			go c.maintainLink(peerCtx, dialer, address, p)
		}
	}
	for address, p := range c.peers {
		if !wanted[address] {
			p.stop()
			c.clearPeer(address)
			delete(c.peers, address)
		}
	}
}

// heartbeatInterval returns the interval between heartbeats on each of the given number
// of links. It grows with their number, which keeps the total rate of heartbeats constant,
// from link.DefaultHeartbeatInterval to maxHeartbeatInterval.
func heartbeatInterval(links int) time.Duration {
	return min(max(link.DefaultHeartbeatInterval, time.Duration(links)*heartbeatPerLink), maxHeartbeatInterval)
}

// wantedSidecars returns the addresses of the sidecars to link. For each service these are
// the first of a ranking by the gateway's name, which spreads gateways over sidecars; their
// number grows while requests wait.
func (c *Coordinator) wantedSidecars(now time.Time, view *controller.View) map[string]bool {
	wanted := make(map[string]bool)
	for _, service := range view.Services {
		count := c.linkCounts[service.ID]
		if count == nil {
			count = &linkCount{
				links: minLinks,
			}
			c.linkCounts[service.ID] = count
		}
		p := c.placers[service.ID]
		count.update(now, p != nil && p.Waiting() > 0)
		for i, address := range share.Ranked(c.name+service.Name, view.Sidecars(service.Name)) {
			if i >= count.links {
				break
			}
			wanted[address] = true
		}
	}
	return wanted
}

// linkCount controls how many sidecars of one service are linked.
type linkCount struct {
	links    int
	widenAt  time.Time // when links doubles next; zero while no requests wait
	narrowAt time.Time // when links returns to minLinks unless requests wait
}

// update doubles the number of links each time requests have waited for
// share.DefaultWidenAfter, and resets it to minLinks when none have waited for narrowAfter.
func (c *linkCount) update(now time.Time, waiting bool) {
	if waiting {
		c.narrowAt = now.Add(narrowAfter)
		if c.widenAt.IsZero() {
			c.widenAt = now.Add(share.DefaultWidenAfter)
		}
		if now.After(c.widenAt) && c.links < maxLinks {
			c.links *= 2
			c.widenAt = now.Add(share.DefaultWidenAfter)
		}
		return
	}
	c.widenAt = time.Time{}
	if now.After(c.narrowAt) {
		c.links = minLinks
	}
}
