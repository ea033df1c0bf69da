package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Timings and limits of a Coordinator.
const (
	// tickInterval is how often links are matched to the configuration and the placers'
	// timers are checked.
	tickInterval   = 50 * time.Millisecond
	eventQueueSize = 4096
	// minLinks is how many sidecars of each service are linked while no requests wait.
	minLinks = 16
	maxLinks = 1 << 16
	// narrowAfter is how long no requests must have waited before the number of links
	// returns to minLinks.
	narrowAfter       = time.Minute
	syncPeersInterval = 250 * time.Millisecond
	// noUpstreamRetry is the Retry-After of a request for a service without sidecars.
	noUpstreamRetry = 5 * time.Second
	// heartbeatPerLink is how much each link adds to the interval between heartbeats.
	heartbeatPerLink     = 60 * time.Millisecond
	maxHeartbeatInterval = 10 * time.Second
)

// Configuration provides the configuration in force and the known teams.
type Configuration interface {
	View() *controller.View
	Teams() *controller.TeamCache
}

// peer is one sidecar that is linked or being linked.
type peer struct {
	stop        context.CancelFunc
	conn        *link.Conn[wire.Work]    // nil while there is no link
	incarnation string                   // of the sidecar's process, from its last offer
	services    map[share.ServiceID]bool // from its last offer
	sentWeights map[share.TeamID]uint64  // versions of the weights sent on this link, by team
}

// Coordinator queues a gateway's waiting requests and exchanges demands and grants with
// sidecars. The goroutine of Run owns the placers and peers; all other methods post events
// to it.
type Coordinator struct {
	name     string
	settings share.PlacerSettings
	config   Configuration
	dialer   link.Dialer
	log      *slog.Logger
	random   *rand.Rand
	events   chan func(now time.Time)
	stopped  chan struct{}

	placers    map[share.ServiceID]*share.Placer
	waiters    map[uint64]waiter
	peers      map[string]*peer
	linkCounts map[share.ServiceID]*linkCount

	syncedView *controller.View // the view that the links were last matched to
	nextSync   time.Time
}

// NewCoordinator returns a coordinator without links. The name is the gateway's. The
// coordinator does nothing until Run is called.
func NewCoordinator(name string, settings share.PlacerSettings, config Configuration, dialer link.Dialer, random *rand.Rand, log *slog.Logger) *Coordinator {
	return &Coordinator{
		name:       name,
		settings:   settings,
		config:     config,
		dialer:     dialer,
		log:        log,
		random:     random,
		events:     make(chan func(time.Time), eventQueueSize),
		stopped:    make(chan struct{}),
		placers:    make(map[share.ServiceID]*share.Placer),
		waiters:    make(map[uint64]waiter),
		peers:      make(map[string]*peer),
		linkCounts: make(map[share.ServiceID]*linkCount),
	}
}

// Run handles events until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event(time.Now())
		case <-ticker.C:
			c.syncPeers(ctx, time.Now())
			for _, p := range c.placers {
				p.Tick(time.Now())
			}
		}
		c.executeActions()
	}
}

// post queues an event for the goroutine of Run. It drops the event after Run has returned.
func (c *Coordinator) post(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

// maintainLink keeps a link to a sidecar open for a peer until the context ends, and posts
// each frame received on it.
func (c *Coordinator) maintainLink(ctx context.Context, dialer link.Dialer, address string, owner *peer) {
	target := func() string { return address }
	link.Maintain(ctx, dialer, target, wire.PathWork, func(conn *link.Conn[wire.Work]) {
		c.post(func(time.Time) {
			if c.peers[address] == owner {
				owner.conn = conn
				owner.sentWeights = make(map[share.TeamID]uint64)
			}
		})
		for {
			frame, err := conn.Receive()
			if err != nil {
				if ctx.Err() == nil {
					c.log.Info("link to a sidecar lost, dialing it again", "sidecar", address, "cause", err)
				}
				break
			}
			c.post(func(now time.Time) {
				if c.isCurrent(address, conn) {
					c.handleFrame(now, address, frame)
				}
			})
		}
		c.post(func(time.Time) {
			if c.isCurrent(address, conn) {
				c.clearPeer(address)
			}
		})
	})
}

// isCurrent reports whether the link is the one in use. Events of an older link to the same
// sidecar may still arrive.
func (c *Coordinator) isCurrent(address string, conn *link.Conn[wire.Work]) bool {
	p := c.peers[address]
	return p != nil && p.conn == conn
}

// handleFrame applies a frame from a sidecar.
func (c *Coordinator) handleFrame(now time.Time, address string, frame wire.Work) {
	p := c.peers[address]
	if p == nil {
		return
	}
	if frame.Offer != nil {
		c.handleOffer(address, p, frame.Offer)
	}
	for _, spare := range frame.SpareCapacity {
		c.placer(spare.Service).SetSpareCapacity(address, spare.Available)
	}
	frame.AllGrants(func(g share.Grant) { c.placer(g.Service).Grant(now, address, g) })
}

// handleOffer applies the list of services that a sidecar offers, and removes the sidecar
// from the placers of services that it no longer offers.
func (c *Coordinator) handleOffer(address string, p *peer, offer *wire.Offer) {
	p.incarnation = offer.Incarnation
	offered := make(map[share.ServiceID]bool)
	for _, s := range offer.Services {
		offered[s.Service] = true
		c.placer(s.Service).SetSidecar(address, s.Upstreams)
	}
	for service := range p.services {
		if !offered[service] {
			c.placer(service).RemoveSidecar(address)
		}
	}
	p.services = offered
}

// clearPeer removes a sidecar whose link was lost from all placers.
func (c *Coordinator) clearPeer(address string) {
	p := c.peers[address]
	if p == nil {
		return
	}
	p.conn = nil
	for service := range p.services {
		c.placer(service).RemoveSidecar(address)
	}
	p.services = make(map[share.ServiceID]bool)
}

// placer returns the placer of a service and creates it if needed.
func (c *Coordinator) placer(service share.ServiceID) *share.Placer {
	p := c.placers[service]
	if p == nil {
		settings := c.settings
		settings.Service = service
		p = share.NewPlacer(settings, c.random)
		c.placers[service] = p
	}
	return p
}

// executeActions executes the actions that the placers returned, and sends at most one frame
// to each sidecar.
func (c *Coordinator) executeActions() {
	frames := make(map[string]*wire.Work)
	for _, p := range c.placers {
		for _, a := range p.TakeActions() {
			c.execute(a, frames)
		}
	}
	for address, frame := range frames {
		if p := c.peers[address]; p != nil && p.conn != nil {
			// A failed send ends the link; demands are sent again on the next one.
			_ = p.conn.Send(*frame)
		}
	}
}

// execute delivers placements, and adds demands and declines to the frames by sidecar.
func (c *Coordinator) execute(a share.Action, frames map[string]*wire.Work) {
	switch a := a.(type) {
	case share.SendDemand:
		f := frameFor(frames, a.Sidecar)
		f.AddDemand(a.Demand)
		c.addWeight(f, c.peers[a.Sidecar], a.Demand)
	case share.SendDecline:
		f := frameFor(frames, a.Sidecar)
		f.Declines = append(f.Declines, a.Decline)
	case share.Start:
		incarnation := ""
		if p := c.peers[a.Sidecar]; p != nil {
			incarnation = p.incarnation
		}
		c.deliver(a.Request.ID, Placement{
			Start:       &a,
			Incarnation: incarnation,
		})
	case share.Reject:
		c.deliver(a.Request.ID, Placement{
			Reject: &a,
		})
	}
}

// frameFor returns the frame for a sidecar and creates it if needed.
func frameFor(frames map[string]*wire.Work, sidecar string) *wire.Work {
	f := frames[sidecar]
	if f == nil {
		f = &wire.Work{}
		frames[sidecar] = f
	}
	return f
}

// addWeight adds the team's weight to the frame unless this version of it was sent on the
// link.
func (c *Coordinator) addWeight(f *wire.Work, p *peer, d share.Demand) {
	t := c.config.Teams().ByID(d.Team)
	if t == nil || p == nil || d.Count == 0 || p.sentWeights[d.Team] == t.Version {
		return
	}
	p.sentWeights[d.Team] = t.Version
	f.Weights = append(f.Weights, wire.Weight{
		Team:    d.Team,
		Weight:  t.ShareWeight(),
		Version: t.Version,
	})
}

// Waiting returns the number of requests that wait at this gateway, or zero after Run has
// returned.
func (c *Coordinator) Waiting() int {
	answer := make(chan int, 1)
	c.post(func(time.Time) {
		n := 0
		for _, p := range c.placers {
			n += p.Waiting()
		}
		answer <- n
	})
	select {
	case n := <-answer:
		return n
	case <-c.stopped:
		return 0
	}
}

// Linked returns the number of linked sidecars, or zero after Run has returned.
func (c *Coordinator) Linked() int {
	answer := make(chan int, 1)
	c.post(func(time.Time) {
		n := 0
		for _, p := range c.peers {
			if p.conn != nil {
				n++
			}
		}
		answer <- n
	})
	select {
	case n := <-answer:
		return n
	case <-c.stopped:
		return 0
	}
}
