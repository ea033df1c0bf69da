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
	tickInterval    = 50 * time.Millisecond
	maxQueuedEvents = 1024
)

// frameSender sends frames to one gateway.
type frameSender interface {
	Send(frame wire.Work) error
}

// Scheduler owns the queues of a sidecar, one for each service, and the links to its
// gateways. All of this state belongs to the goroutine of Run; other goroutines reach it
// by events, which Run executes in order. The exported methods are safe for concurrent
// use, and return zero values once Run has ended.
type Scheduler struct {
	incarnation string
	settings    share.QueueSettings
	reporter    Reporter
	events      chan func(now time.Time)
	stopped     chan struct{}

	queues       map[share.ServiceID]*share.Queue
	upstreams    map[share.UpstreamID]UpstreamConfig
	gateways     map[string]frameSender
	weights      map[share.TeamID]teamWeight
	startSignals map[startKey]chan struct{} // closed when an arrived request may start
	grantBuffer  []share.GrantTo            // reused by issueGrants
	gatewayNames []string                   // keys of gateways, sorted
	notifyBuffer []string                   // reused by advertiseCapacity
	draining     bool
}

// startKey identifies an arrived request: its service's queue, and its grant there.
type startKey struct {
	service share.ServiceID
	id      uint64
}

// NewScheduler returns a scheduler without upstreams. The settings, except for Service,
// are those of each service's queue.
func NewScheduler(incarnation string, settings share.QueueSettings, reporter Reporter) *Scheduler {
	return &Scheduler{
		incarnation:  incarnation,
		settings:     settings,
		reporter:     reporter,
		events:       make(chan func(time.Time), maxQueuedEvents),
		stopped:      make(chan struct{}),
		queues:       make(map[share.ServiceID]*share.Queue),
		upstreams:    make(map[share.UpstreamID]UpstreamConfig),
		gateways:     make(map[string]frameSender),
		weights:      make(map[share.TeamID]teamWeight),
		startSignals: make(map[startKey]chan struct{}),
	}
}

// Run executes events and ticks until the context ends. After each batch of events it
// starts requests and issues grants.
func (s *Scheduler) Run(ctx context.Context) {
	defer close(s.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.events:
			event(time.Now())
			s.runQueuedEvents()
		case <-ticker.C:
			s.tick(time.Now())
		}
		s.advance(time.Now())
	}
}

// runQueuedEvents executes the events that are queued already, at most maxQueuedEvents,
// so that grants are computed once for all of them.
func (s *Scheduler) runQueuedEvents() {
	for range maxQueuedEvents {
		select {
		case event := <-s.events:
			event(time.Now())
		default:
			return
		}
	}
}

// post queues an event for the goroutine of Run. It blocks while the queue is full, and
// drops the event if Run has ended.
func (s *Scheduler) post(event func(now time.Time)) {
	select {
	case s.events <- event:
	case <-s.stopped:
	}
}

// call runs f in the goroutine of Run and returns its result, or the zero value if Run has
// ended.
func call[T any](s *Scheduler, f func(now time.Time) T) T {
	result := make(chan T, 1)
	s.post(func(now time.Time) { result <- f(now) })
	select {
	case v := <-result:
		return v
	case <-s.stopped:
		var zero T
		return zero
	}
}

// tick advances the timers of the queues and sends the reports that are due to the
// accountant.
func (s *Scheduler) tick(now time.Time) {
	var due []share.Report
	for _, q := range s.queues {
		q.Tick(now)
		if at, ok := q.ReportDue(); ok && !now.Before(at) {
			due = append(due, q.Report(now, false))
		}
	}
	if len(due) > 0 {
		// If there is no link, nothing is lost: the next link begins with a full report.
		s.reporter.Report(due)
	}
}

// advance starts the requests that may run, issues grants, and advertises spare capacity.
func (s *Scheduler) advance(now time.Time) {
	for service, q := range s.queues {
		for {
			id, ok := q.StartNext(now)
			if !ok {
				break
			}
			key := startKey{
				service: service,
				id:      id,
			}
			if start := s.startSignals[key]; start != nil {
				close(start)
				delete(s.startSignals, key)
			}
		}
		s.issueGrants(now, q)
		s.advertiseCapacity(service, q)
	}
}

// issueGrants grants the slots that may be granted now and sends the grants.
func (s *Scheduler) issueGrants(now time.Time, q *share.Queue) {
	s.grantBuffer = q.IssueGrants(now, s.grantBuffer[:0])
	wire.GrantFrames(s.grantBuffer, func(gateway string, frame wire.Work) {
		if link := s.gateways[gateway]; link != nil {
			// A failed send ends the link, and removeGateway then releases the grants.
			_ = link.Send(frame)
		}
	})
}

// advertiseCapacity tells gateways that a service has free slots and no team waits, so
// that they may send a request without waiting for a grant.
func (s *Scheduler) advertiseCapacity(service share.ServiceID, q *share.Queue) {
	s.notifyBuffer = q.AdvertiseCapacity(s.gatewayNames, s.notifyBuffer[:0])
	for _, name := range s.notifyBuffer {
		_ = s.gateways[name].Send(wire.Work{
			SpareCapacity: []share.SpareCapacity{
				{
					Service:   service,
					Available: true,
				},
			},
		})
	}
}

// queue returns the queue of a service, which it creates if there is none.
func (s *Scheduler) queue(service share.ServiceID) *share.Queue {
	q := s.queues[service]
	if q == nil {
		settings := s.settings
		settings.Service = service
		q = share.NewQueue(settings, func(team share.TeamID) float64 { return s.weights[team].weight })
		s.queues[service] = q
	}
	return q
}

// addGateway registers the link of a gateway and sends the first offer on it.
func (s *Scheduler) addGateway(name string, link frameSender) {
	s.post(func(now time.Time) {
		if s.gateways[name] != nil { // the end of the old link has not been noticed yet
			for _, q := range s.queues {
				q.DropGateway(now, name)
			}
		}
		s.gateways[name] = link
		s.gatewayNames = slices.Sorted(maps.Keys(s.gateways))
		_ = link.Send(wire.Work{
			Offer: s.offer(),
		})
	})
}

// removeGateway removes the gateway with its demands and unused grants, unless a newer
// link has replaced this one.
func (s *Scheduler) removeGateway(name string, link frameSender) {
	s.post(func(now time.Time) {
		if s.gateways[name] != link {
			return
		}
		delete(s.gateways, name)
		s.gatewayNames = slices.Sorted(maps.Keys(s.gateways))
		for _, q := range s.queues {
			q.DropGateway(now, name)
		}
	})
}

// handleFrame applies a frame of a gateway: weights, demands and declined grants. It drops
// frames of a link that a newer one has replaced.
func (s *Scheduler) handleFrame(name string, link frameSender, frame wire.Work) {
	s.post(func(now time.Time) {
		if s.gateways[name] != link {
			return
		}
		for _, w := range frame.Weights {
			s.setWeight(w.Team, w.Weight, w.Version)
		}
		frame.AllDemands(func(d share.Demand) {
			if q := s.queues[d.Service]; q != nil {
				q.SetDemand(now, name, d)
			}
		})
		for _, d := range frame.Declines {
			if q := s.queues[d.Service]; q != nil {
				q.Decline(now, name, d)
			}
		}
	})
}

// Running returns the number of requests that run.
func (s *Scheduler) Running() int {
	return call(s, func(time.Time) int {
		n := 0
		for _, q := range s.queues {
			n += q.Running()
		}
		return n
	})
}

// Outstanding returns the number of requests that are granted, arrived or running.
func (s *Scheduler) Outstanding() int {
	return call(s, func(time.Time) int {
		n := 0
		for _, q := range s.queues {
			n += q.Outstanding()
		}
		return n
	})
}

// Waiting returns the number of requests that wait at gateways, as far as they have told
// this sidecar.
func (s *Scheduler) Waiting() int {
	return call(s, func(time.Time) int {
		n := 0
		for _, q := range s.queues {
			n += q.Waiting()
		}
		return n
	})
}
