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

const (
	tickInterval = 50 * time.Millisecond
	eventQueue   = 4096
	// leastLinks is how many sidecars of each service are linked at rest.
	leastLinks       = 16
	mostLinks        = 1 << 16
	calmTime         = time.Minute
	matchInterval    = 250 * time.Millisecond
	noUpstreamRetry  = 5 * time.Second
	heartbeatPerLink = 60 * time.Millisecond
	maxHeartbeat     = 10 * time.Second
)

// Configuration tells what is in force.
type Configuration interface {
	View() *controller.View
	Teams() *controller.TeamCache
}

// peer is one sidecar.
type peer struct {
	stop        context.CancelFunc
	conn        *link.Conn[wire.Work]
	incarnation string
	services    map[share.ServiceID]bool
	told        map[share.TeamID]uint64 // the versions of weights told on this link
}

// Control owns the placers of a gateway in one goroutine.
type Control struct {
	name     string
	settings share.PlacerSettings
	config   Configuration
	dialer   link.Dialer
	log      *slog.Logger
	random   *rand.Rand
	events   chan func(now time.Time)
	stopped  chan struct{}

	placers map[share.ServiceID]*share.Placer
	waiters map[uint64]waiter
	peers   map[string]*peer
	reach   map[share.ServiceID]*reach

	matched   *controller.View // the configuration that the links match
	nextMatch time.Time
}

// NewControl returns a control without sidecars. Name is the gateway's.
func NewControl(name string, settings share.PlacerSettings, config Configuration, dialer link.Dialer, random *rand.Rand, log *slog.Logger) *Control {
	return &Control{
		name:     name,
		settings: settings,
		config:   config,
		dialer:   dialer,
		log:      log,
		random:   random,
		events:   make(chan func(time.Time), eventQueue),
		stopped:  make(chan struct{}),
		placers:  make(map[share.ServiceID]*share.Placer),
		waiters:  make(map[uint64]waiter),
		peers:    make(map[string]*peer),
		reach:    make(map[share.ServiceID]*reach),
	}
}

// Run works until the context ends.
func (c *Control) Run(ctx context.Context) {
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
			c.matchPeers(ctx, time.Now())
			for _, p := range c.placers {
				p.Tick(time.Now())
			}
		}
		c.carryOut()
	}
}

func (c *Control) post(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

func (c *Control) keep(ctx context.Context, dialer link.Dialer, address string) {
	target := func() string { return address }
	link.Maintain(ctx, dialer, target, wire.PathWork, func(conn *link.Conn[wire.Work]) {
		c.post(func(time.Time) {
			if p := c.peers[address]; p != nil {
				p.conn = conn
				p.told = make(map[share.TeamID]uint64)
			}
		})
		for {
			frame, err := conn.Receive()
			if err != nil {
				if ctx.Err() == nil {
					c.log.Info("sidecar link lost", "sidecar", address, "cause", err)
				}
				break
			}
			c.post(func(now time.Time) {
				if c.isCurrent(address, conn) {
					c.take(now, address, frame)
				}
			})
		}
		c.post(func(time.Time) {
			if c.isCurrent(address, conn) {
				c.lose(address)
			}
		})
	})
}

// isCurrent reports whether the link is the one in use; an older one to the same
// sidecar may still end.
func (c *Control) isCurrent(address string, conn *link.Conn[wire.Work]) bool {
	p := c.peers[address]
	return p != nil && p.conn == conn
}

// take handles a sidecar's frame.
func (c *Control) take(now time.Time, address string, frame wire.Work) {
	p := c.peers[address]
	if p == nil {
		return
	}
	if frame.Offer != nil {
		c.takeOffer(address, p, frame.Offer)
	}
	for _, r := range frame.SpareCapacity {
		c.placer(r.Service).SetSpareCapacity(address, r.Available)
	}
	frame.AllGrants(func(g share.Grant) { c.placer(g.Service).Grant(now, address, g) })
}

func (c *Control) takeOffer(address string, p *peer, offer *wire.Offer) {
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

// lose forgets a sidecar whose link was lost.
func (c *Control) lose(address string) {
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

func (c *Control) placer(service share.ServiceID) *share.Placer {
	p := c.placers[service]
	if p == nil {
		settings := c.settings
		settings.Service = service
		p = share.NewPlacer(settings, c.random)
		c.placers[service] = p
	}
	return p
}

// carryOut does what the placers decided.
func (c *Control) carryOut() {
	frames := make(map[string]*wire.Work)
	for _, p := range c.placers {
		for _, a := range p.TakeActions() {
			c.do(a, frames)
		}
	}
	for address, frame := range frames {
		if p := c.peers[address]; p != nil && p.conn != nil {
			// A failed send ends the link, after which demands are sent anew.
			_ = p.conn.Send(*frame)
		}
	}
}

func (c *Control) do(a share.Action, frames map[string]*wire.Work) {
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
		c.answer(a.Request.ID, Placement{
			Start:       &a,
			Incarnation: incarnation,
		})
	case share.Reject:
		c.answer(a.Request.ID, Placement{
			GiveUp: &a,
		})
	}
}

func frameFor(frames map[string]*wire.Work, sidecar string) *wire.Work {
	f := frames[sidecar]
	if f == nil {
		f = &wire.Work{}
		frames[sidecar] = f
	}
	return f
}

// addWeight adds the team's weight to the frame unless the sidecar was told.
func (c *Control) addWeight(f *wire.Work, p *peer, d share.Demand) {
	t := c.config.Teams().ByID(d.Team)
	if t == nil || p == nil || d.Count == 0 || p.told[d.Team] == t.Version {
		return
	}
	p.told[d.Team] = t.Version
	f.Weights = append(f.Weights, wire.Weight{
		Team:    d.Team,
		Weight:  t.ShareWeight(),
		Version: t.Version,
	})
}

// Waiting returns how many requests wait at this gateway.
func (c *Control) Waiting() int {
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

// Linked returns how many sidecars are linked.
func (c *Control) Linked() int {
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
