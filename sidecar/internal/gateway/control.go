package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

const (
	tickInterval = 50 * time.Millisecond
	eventQueue   = 1024
)

// sender sends frames to one gateway.
type sender interface {
	Send(frame wire.Work) error
}

// Control owns the queues of a sidecar in one goroutine. Every other goroutine
// posts to it.
type Control struct {
	incarnation string
	settings    share.QueueSettings
	reporter    Reporter
	events      chan func(now time.Time)
	stopped     chan struct{}

	queues   map[share.ServiceID]*share.Queue
	config   map[share.UpstreamID]UpstreamConfig
	gateways map[string]sender
	weights  map[share.TeamID]teamWeight
	started  map[startKey]chan struct{}
	grants   []share.GrantTo
	names    []string
	told     []string
	draining bool
}

// startKey names an arrived request of a queue.
type startKey struct {
	service share.ServiceID
	id      uint64
}

// NewControl returns a control without upstreams. Settings are those of each
// service's queue.
func NewControl(incarnation string, settings share.QueueSettings, reporter Reporter) *Control {
	return &Control{
		incarnation: incarnation,
		settings:    settings,
		reporter:    reporter,
		events:      make(chan func(time.Time), eventQueue),
		stopped:     make(chan struct{}),
		queues:      make(map[share.ServiceID]*share.Queue),
		config:      make(map[share.UpstreamID]UpstreamConfig),
		gateways:    make(map[string]sender),
		weights:     make(map[share.TeamID]teamWeight),
		started:     make(map[startKey]chan struct{}),
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
			c.drainEvents()
		case <-ticker.C:
			c.tick(time.Now())
		}
		c.advance(time.Now())
	}
}

func (c *Control) drainEvents() {
	for range eventQueue {
		select {
		case event := <-c.events:
			event(time.Now())
		default:
			return
		}
	}
}

// post has the control goroutine run the event.
func (c *Control) post(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

// ask has the control goroutine run f and waits for its answer. The zero value
// is returned when the control has stopped.
func ask[T any](c *Control, f func(now time.Time) T) T {
	answer := make(chan T, 1)
	c.post(func(now time.Time) { answer <- f(now) })
	select {
	case v := <-answer:
		return v
	case <-c.stopped:
		var none T
		return none
	}
}

func (c *Control) tick(now time.Time) {
	var due []share.Report
	for _, q := range c.queues {
		q.Tick(now)
		if at, ok := q.ReportDue(); ok && !now.Before(at) {
			due = append(due, q.Report(now, false))
		}
	}
	if len(due) > 0 {
		// Without a link the counters stay; the next link begins with all of them.
		c.reporter.Report(due)
	}
}

// advance grants and starts what can be, and tells idle gateways of room.
func (c *Control) advance(now time.Time) {
	for service, q := range c.queues {
		for {
			id, ok := q.StartNext(now)
			if !ok {
				break
			}
			key := startKey{
				service: service,
				id:      id,
			}
			if start := c.started[key]; start != nil {
				close(start)
				delete(c.started, key)
			}
		}
		c.grant(now, q)
		c.tellRoom(service, q)
	}
}

func (c *Control) grant(now time.Time, q *share.Queue) {
	c.grants = q.IssueGrants(now, c.grants[:0])
	wire.GrantFrames(c.grants, func(gateway string, frame wire.Work) {
		if s := c.gateways[gateway]; s != nil {
			// A failed send ends the link, which releases the grants.
			_ = s.Send(frame)
		}
	})
}

func (c *Control) tellRoom(service share.ServiceID, q *share.Queue) {
	c.told = q.AdvertiseCapacity(c.names, c.told[:0])
	for _, name := range c.told {
		_ = c.gateways[name].Send(wire.Work{
			SpareCapacity: []share.SpareCapacity{
				{
					Service:   service,
					Available: true,
				},
			},
		})
	}
}

// queue returns a service's queue.
func (c *Control) queue(service share.ServiceID) *share.Queue {
	q := c.queues[service]
	if q == nil {
		settings := c.settings
		settings.Service = service
		q = share.NewQueue(settings, func(team share.TeamID) float64 { return c.weights[team].weight })
		c.queues[service] = q
	}
	return q
}

func (c *Control) addGateway(name string, s sender) {
	c.post(func(now time.Time) {
		if c.gateways[name] != nil { // the old link's end was not seen yet
			for _, q := range c.queues {
				q.DropGateway(now, name)
			}
		}
		c.gateways[name] = s
		c.names = slices.Sorted(maps.Keys(c.gateways))
		_ = s.Send(wire.Work{
			Offer: c.offer(),
		})
	})
}

// removeGateway forgets a gateway unless a newer link has taken its place.
func (c *Control) removeGateway(name string, s sender) {
	c.post(func(now time.Time) {
		if c.gateways[name] != s {
			return
		}
		delete(c.gateways, name)
		c.names = slices.Sorted(maps.Keys(c.gateways))
		for _, q := range c.queues {
			q.DropGateway(now, name)
		}
	})
}

// take handles a gateway's frame.
func (c *Control) take(name string, frame wire.Work) {
	c.post(func(now time.Time) {
		if c.gateways[name] == nil {
			return
		}
		for _, w := range frame.Weights {
			c.setWeight(w.Team, w.Weight, w.Version)
		}
		frame.AllDemands(func(d share.Demand) {
			if q := c.queues[d.Service]; q != nil {
				q.SetDemand(now, name, d)
			}
		})
		for _, d := range frame.Declines {
			if q := c.queues[d.Service]; q != nil {
				q.Decline(now, name, d)
			}
		}
	})
}

// Running returns how many requests run.
func (c *Control) Running() int {
	return ask(c, func(time.Time) int {
		n := 0
		for _, q := range c.queues {
			n += q.Running()
		}
		return n
	})
}

// Outstanding returns how many requests are granted, arrived or running.
func (c *Control) Outstanding() int {
	return ask(c, func(time.Time) int {
		n := 0
		for _, q := range c.queues {
			n += q.Outstanding()
		}
		return n
	})
}

// Waiting returns how many requests are known to wait.
func (c *Control) Waiting() int {
	return ask(c, func(time.Time) int {
		n := 0
		for _, q := range c.queues {
			n += q.Waiting()
		}
		return n
	})
}
