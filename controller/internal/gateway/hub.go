package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/evacuation"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
)

const (
	// eventQueueSize bounds the events, and the pings, that wait for the goroutine that
	// handles them.
	eventQueueSize = 4096
	// leadershipCheckInterval is the pause between two checks that this controller
	// still leads.
	leadershipCheckInterval = 100 * time.Millisecond
	// welcomeTimeout bounds the confirmation of leadership before a gateway's hello is
	// answered.
	welcomeTimeout = time.Second
)

// Replicas provides this controller's replica, or nil, and the leader's address.
type Replicas interface {
	Replica() *replica.Replica
	LeaderAddress() string
}

// Directory provides the addresses of all known controllers.
type Directory interface {
	Addresses() []string
}

// conn is the link to one gateway.
type conn struct {
	*link.Conn[wire.Serve]
	term    Term // in which the link was accepted
	name    string
	zone    string // availability zone
	version uint64 // of the configuration that it was sent last
	// upstreamsDigest is that of the list of upstreams that the gateway had when it connected.
	// It is zero without one, and from gateways that compute no digest.
	upstreamsDigest uint64
	traffic         traffic
}

// event is an input of the control goroutine. One of its fields is set, except
// that from and frame, and upstreams, listTerm and listAsOf, go together.
type event struct {
	opened         *conn
	closed         *conn
	from           *conn
	frame          wire.Serve
	upstreams      []dispatch.Upstream
	listTerm       Term      // with upstreams: the term in which the list was read
	listAsOf       time.Time // with upstreams: the time whose state the list shows
	confirmedPings []ping
	// confirmedContinuations are requests for which the state was read with the confirmation of a
	// majority.
	confirmedContinuations []continuation
	originResult           *originResult
	configuration          *preparedConfiguration // may come with confirmedPings
	evacuations            *evacuation.Set        // may come with confirmedPings
	recorded               *recordedQuarantine
}

// ping is a gateway's request for a proof that its configuration is the newest.
type ping struct {
	conn     *conn
	sequence uint64
}

// Hub holds the links of gateways and decides their requests for placement while
// this controller leads. At the end of a Term it closes the links and drops everything
// but the configuration and the evacuations.
type Hub struct {
	replicas  Replicas
	directory Directory
	log       *slog.Logger

	events      chan event
	pings       chan ping
	unconfirmed chan continuation
	linked      atomic.Int64
	// evacuatedZones is the number of zones in evacuations, for metrics.
	evacuatedZones atomic.Int64
	listRequests   chan struct{}
	// nextDecay is when the traffic of gateways is halved next.
	nextDecay time.Time
	// nextListRequest is when the platform's list may be requested again.
	nextListRequest time.Time

	// The following fields belong to the control goroutine, which runs Run.
	term      Term // that the links and the state belong to
	scheduler *dispatch.Scheduler
	conns     map[string]*conn             // by the gateway's name
	active    *preparedConfiguration       // nil before a configuration was read
	upstreams map[string]dispatch.Upstream // by identifier; nil before the list was read
	replies   map[*conn][]dispatch.Decision
	// origins is nil as long as there is no replica to start it from, and originsFailed
	// reports whether the last change of the history failed.
	origins       *origin.Keeper
	originsFailed bool
	// allowance counts the placements of requests that continue streams.
	allowance origin.Allowance
	// listed is the platform's list as it was read last. The published one lacks upstreams
	// whose software versions are not recorded.
	listed []dispatch.Upstream
	// listAsOf is the time whose state listed shows; zero if it is not known.
	listAsOf time.Time
	// doubted are the upstreams whose software versions were uncertain when listed was read.
	doubted []string
	sampler *metricsSampler
	// servingSince is when a gateway connected while there was no other.
	servingSince time.Time
	zones        map[string]*zoneRoom // by availability zone
	// recorded are the quarantined subjects in the replicated state; nil before they were
	// read. recording is true while a change of them is proposed.
	recorded  *recordedQuarantine
	recording bool
	// suspects are those that the gateways were sent, and nextSuspects is when they may be sent
	// again.
	suspects     []quarantine.Record
	nextSuspects time.Time
	// evacuations are the evacuated availability zones. They outlast a term.
	evacuations evacuation.Follower
	// rateLimits are the rate limits that gateways were sent, in requests a second. Changes
	// of the value of a limit are not sent before nextLimitChanges.
	rateLimits       map[string]float64
	nextLimitChanges time.Time
	// listedCold is what the platform's list said about cold upstreams when it was read last,
	// by identifier, and coldReports what the gateways were sent.
	listedCold  map[string]dispatch.ColdEntry
	coldReports map[string]sentCold
	// coldAllowance is what the platform tolerates at cold upstreams.
	coldAllowance dispatch.ColdAllowance
	// fullFrame is the encoded active configuration, and deltaFrame its encoded change
	// from version deltaBase. Each is nil before it is encoded.
	fullFrame  link.Frame
	deltaFrame link.Frame
	deltaBase  uint64

	cache configurationCache
}

// New returns a hub without links. Its gauges are registered at metrics.
func New(replicas Replicas, directory Directory, metrics *telemetry.Metrics, log *slog.Logger) *Hub {
	h := &Hub{
		replicas:     replicas,
		directory:    directory,
		log:          log,
		events:       make(chan event, eventQueueSize),
		pings:        make(chan ping, eventQueueSize),
		unconfirmed:  make(chan continuation, eventQueueSize),
		sampler:      newMetricsSampler(metrics),
		listRequests: make(chan struct{}, 1),
	}
	h.reset()
	return h
}

// GatewayCount returns the number of connected gateways.
func (h *Hub) GatewayCount() int { return int(h.linked.Load()) }

// Run handles the events of gateways, of the list and of the configuration until the
// context ends.
func (h *Hub) Run(ctx context.Context) {
	go h.answerPings(ctx)
	go h.watchConfiguration(ctx)
	go h.confirmContinuations(ctx)
	recording := time.NewTimer(time.Hour)
	defer recording.Stop()
	armed := false
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.closeAll()
			return
		case e := <-h.events:
			h.handle(e)
			h.drain()
		case <-recording.C:
			armed = false
			h.followTerm()
			h.recordOrigins(ctx)
		case now := <-ticker.C:
			h.followTerm()
			h.reportObservations(now)
			h.maintainQuarantine(ctx, now)
			h.publishRateLimits(now)
			h.publishCold(now)
			h.decayTraffic(now)
			h.removeVersions(ctx, now)
		}
		if delay, ok := h.originsPending(); ok && !armed {
			recording.Reset(delay)
			armed = true
		}
	}
}

// drain handles all queued events, then sends each gateway its decisions in one
// frame.
func (h *Hub) drain() {
	for {
		select {
		case e := <-h.events:
			h.handle(e)
		default:
			h.publishQuarantine()
			for c, decisions := range h.replies {
				h.send(c, wire.Serve{
					Decisions: decisions,
				})
				delete(h.replies, c)
			}
			return
		}
	}
}

// closeAll closes the links of all gateways.
func (h *Hub) closeAll() {
	for _, c := range h.conns {
		c.Close()
	}
}

// handle handles one event. A newer configuration and newer evacuations are sent before the
// pongs that come with them, since a pong proves that the gateway's are the newest. What comes
// from an earlier term or from a link that is no longer in use is dropped.
func (h *Hub) handle(e event) {
	h.followTerm()
	switch {
	case e.opened != nil:
		h.open(e.opened)
	case e.closed != nil:
		h.close(e.closed)
	case e.from != nil:
		if h.conns[e.from.name] == e.from {
			h.receive(e.from, e.frame)
		}
	case e.upstreams != nil:
		if e.listTerm == h.term {
			h.setUpstreams(e.upstreams)
			h.confirmList(e.listAsOf)
		}
	case e.confirmedContinuations != nil:
		for _, t := range e.confirmedContinuations {
			h.continueConfirmed(t)
		}
	case e.originResult != nil:
		h.originsRecorded(e.originResult)
	case e.confirmedPings != nil:
		h.evacuate(e.evacuations)
		h.activate(e.configuration)
		for _, p := range e.confirmedPings {
			h.send(p.conn, wire.Serve{
				Pong:            p.sequence,
				TrafficFraction: h.trafficFraction(p.conn),
				ZoneRoom:        h.zoneView(time.Now(), p.conn),
				ListAge:         h.listAge(time.Now()),
			})
		}
	case e.configuration != nil:
		h.activate(e.configuration)
	case e.evacuations != nil:
		h.evacuate(e.evacuations)
	case e.recorded != nil:
		h.applyRecorded(e.recorded)
	}
}

// open takes a gateway's link in place of its former one, and sends what differs from
// what the gateway has. It closes a link that was accepted in an earlier term.
func (h *Hub) open(c *conn) {
	if c.term != h.term {
		c.Close()
		return
	}
	if len(h.conns) == 0 {
		h.servingSince = time.Now()
		h.loadQuarantine()
		h.refreshOrigins()
	}
	if old := h.conns[c.name]; old != nil {
		old.Close()
		h.drop(old)
	}
	h.loadEvacuations()
	h.conns[c.name] = c
	h.linked.Store(int64(len(h.conns)))
	h.requestList(time.Now())
	frame := wire.Serve{
		Welcome: &wire.Welcome{
			IsLeader:    true,
			Term:        h.term.number,
			Controllers: h.directory.Addresses(),
		},
		Evacuations: h.evacuations.Newest().Frame(time.Now()),
	}
	frame.Quarantine = h.scheduler.Quarantine().Records(time.Now())
	frame.QuarantineComplete = true
	for upstream, perSecond := range h.rateLimits {
		frame.RateLimits = append(frame.RateLimits, dispatch.NewRateLimitReport(upstream, perSecond))
	}
	frame.RateLimitsComplete = true
	frame.Suspects, frame.SuspectsComplete = h.suspects, len(h.suspects) > 0
	frame.Cold = h.scheduler.ColdReports(time.Now())
	if h.upstreams != nil && (c.upstreamsDigest == 0 || c.upstreamsDigest != wire.UpstreamsDigest(h.upstreams)) {
		frame.Upstreams = wire.FullUpdate(h.upstreams)
	}
	h.send(c, frame)
	h.sendConfiguration(c)
	h.broadcastGatewayCount()
	h.log.Info("gateway linked", "gateway", c.name, "version", c.version)
}

// close removes a gateway unless it has connected again.
func (h *Hub) close(c *conn) {
	if h.conns[c.name] != c {
		return
	}
	h.drop(c)
	h.linked.Store(int64(len(h.conns)))
	h.broadcastGatewayCount()
	h.log.Info("gateway link lost", "gateway", c.name)
}

// drop removes a link and the requests that the gateway has in flight, which it reports on
// its next one.
func (h *Hub) drop(c *conn) {
	delete(h.conns, c.name)
	delete(h.replies, c)
	h.scheduler.RemoveGateway(time.Now(), c.name)
}

// broadcastGatewayCount sends all gateways their number and to each its rank.
func (h *Hub) broadcastGatewayCount() {
	for i, name := range slices.Sorted(maps.Keys(h.conns)) {
		h.send(h.conns[name], wire.Serve{
			Gateways: len(h.conns),
			Rank:     i + 1,
		})
	}
}

func (h *Hub) send(c *conn, frame wire.Serve) {
	// A failed send closes the link; its receiver reports that.
	_ = c.Send(frame)
}

// answerPings confirms by a linearizable read that the configuration is the newest,
// one read for all queued pings, and has the pings answered.
func (h *Hub) answerPings(ctx context.Context) {
	for {
		var waiting []ping
		select {
		case <-ctx.Done():
			return
		case p := <-h.pings:
			waiting = append(waiting, p)
		}
		for len(h.pings) > 0 {
			waiting = append(waiting, <-h.pings)
		}
		r := h.replicas.Replica()
		if r == nil || r.Barrier(ctx) != nil {
			continue // the gateways' proofs expire unless a later ping is confirmed
		}
		h.post(ctx, event{
			confirmedPings: waiting,
			configuration:  h.newestConfiguration(r),
			evacuations:    readEvacuations(r),
		})
	}
}

// post queues an event for the control goroutine, and waits while the queue is full.
func (h *Hub) post(ctx context.Context, e event) {
	select {
	case h.events <- e:
	case <-ctx.Done():
	}
}
