package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
)

const (
	// eventQueue is how many frames may wait for the control goroutine.
	eventQueue = 4096
	// leadInterval is how often the lead is checked.
	leadInterval = 100 * time.Millisecond
	// welcomeTimeout bounds the confirmation that this controller leads.
	welcomeTimeout = time.Second
)

// Replicas gives the own replica, or nil, and knows who leads.
type Replicas interface {
	Replica() *replica.Replica
	IsLeader() bool
	LeaderAddress() string
}

// Directory knows the addresses of all controllers.
type Directory interface {
	Addresses() []string
}

// conn is the link to one gateway.
type conn struct {
	*link.Conn[wire.Serve]
	name    string
	version uint64 // of the configuration that it was told last
	sum     uint64 // of the list of upstreams that it had when it linked
	traffic traffic
}

// event is what happened, for the control goroutine; one of the fields is set.
type event struct {
	opened    *conn
	closed    *conn
	from      *conn
	frame     wire.Serve
	upstreams []dispatch.Upstream
	confirmed []ping
	accepted  *accepted // may come with confirmed
}

type ping struct {
	conn     *conn
	sequence uint64
}

// Hub owns the placing of requests while this controller leads.
type Hub struct {
	replicas  Replicas
	directory Directory
	log       *slog.Logger

	events chan event
	pings  chan ping
	linked atomic.Int64
	wanted chan struct{}
	// fadeAfter is when the traffic of gateways fades next.
	fadeAfter time.Time
	// wantAfter is when the list may be asked for again.
	wantAfter time.Time

	// What follows belongs to the control goroutine.
	core      *dispatch.Scheduler
	conns     map[string]*conn
	inForce   *accepted                    // nil before a configuration was read
	upstreams map[string]dispatch.Upstream // nil before the list was read
	replies   map[*conn][]dispatch.Decision
	measures  *measures
	// servesSince is when the first of the gateways linked.
	servesSince time.Time
	// whole and change are the frames that tell the configuration in force, to gateways
	// of any version and of changeFrom; nil before they are encoded.
	whole      link.Frame
	change     link.Frame
	changeFrom uint64

	reader reader
}

// New returns a hub without links.
func New(replicas Replicas, directory Directory, metrics *telemetry.Metrics, log *slog.Logger) *Hub {
	h := &Hub{
		replicas:  replicas,
		directory: directory,
		log:       log,
		events:    make(chan event, eventQueue),
		pings:     make(chan ping, eventQueue),
		measures:  newMeasures(metrics),
		wanted:    make(chan struct{}, 1),
	}
	h.reset()
	return h
}

// reset forgets everything but the configuration, for a new term as leader.
func (h *Hub) reset() {
	h.core = dispatch.New(dispatch.Settings{
		RecordShortfalls: true,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	h.conns = make(map[string]*conn)
	h.replies = make(map[*conn][]dispatch.Decision)
	h.upstreams = nil
	if h.inForce != nil {
		h.core.SetConfiguration(h.inForce.table)
	}
}

// Gateways returns how many gateways are linked.
func (h *Hub) Gateways() int { return int(h.linked.Load()) }

// Run is the control goroutine; it ends with the context.
func (h *Hub) Run(ctx context.Context) {
	go h.confirm(ctx)
	go h.watch(ctx)
	ticker := time.NewTicker(leadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.closeAll()
			return
		case e := <-h.events:
			h.handle(e)
			h.drain()
		case now := <-ticker.C:
			h.note(now)
			h.fadeTraffic(now)
			if len(h.conns) > 0 && !h.replicas.IsLeader() {
				h.log.Info("no longer leading, gateways are sent away", "gateways", len(h.conns))
				h.closeAll()
				h.reset()
			}
		}
	}
}

// drain takes what else waits, so that decisions share frames.
func (h *Hub) drain() {
	for {
		select {
		case e := <-h.events:
			h.handle(e)
		default:
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

func (h *Hub) closeAll() {
	for _, c := range h.conns {
		c.Close()
	}
}

func (h *Hub) handle(e event) {
	switch {
	case e.opened != nil:
		h.open(e.opened)
	case e.closed != nil:
		h.close(e.closed)
	case e.from != nil:
		h.receive(e.from, e.frame)
	case e.upstreams != nil:
		h.setUpstreams(e.upstreams)
	case e.confirmed != nil:
		h.putInForce(e.accepted)
		for _, p := range e.confirmed {
			h.send(p.conn, wire.Serve{
				Pong:            p.sequence,
				TrafficFraction: h.portion(p.conn),
			})
		}
	case e.accepted != nil:
		h.putInForce(e.accepted)
	}
}

func (h *Hub) open(c *conn) {
	if old := h.conns[c.name]; old != nil {
		old.Close()
	}
	if len(h.conns) == 0 {
		h.servesSince = time.Now()
	}
	h.conns[c.name] = c
	h.linked.Store(int64(len(h.conns)))
	h.wantList(time.Now())
	frame := wire.Serve{
		Welcome: &wire.Welcome{
			IsLeader:    true,
			Controllers: h.directory.Addresses(),
		},
	}
	if h.upstreams != nil && wire.UpstreamsHash(h.upstreams) != c.sum {
		frame.Upstreams = wire.FullUpdate(h.upstreams)
	}
	h.send(c, frame)
	h.tell(c)
	h.tellGateways()
	h.log.Info("gateway linked", "gateway", c.name, "version", c.version)
}

func (h *Hub) close(c *conn) {
	if h.conns[c.name] != c {
		return
	}
	delete(h.conns, c.name)
	delete(h.replies, c)
	h.linked.Store(int64(len(h.conns)))
	h.core.RemoveGateway(c.name)
	h.tellGateways()
	h.log.Info("gateway link lost", "gateway", c.name)
}

// tellGateways tells all gateways how many they are.
func (h *Hub) tellGateways() {
	for _, c := range h.conns {
		h.send(c, wire.Serve{
			Gateways: len(h.conns),
		})
	}
}

func (h *Hub) send(c *conn, frame wire.Serve) {
	// A failed send closes the link; its receiver reports that.
	_ = c.Send(frame)
}

func (h *Hub) receive(c *conn, frame wire.Serve) {
	now := time.Now()
	key := dispatch.Key{
		Gateway: c.name,
	}
	h.core.AddAccounts(now, frame.Accounts)
	h.core.RecordGatewayRefusals(now, frame.Refused)
	for _, w := range frame.UpstreamNotices {
		h.core.ApplyPeerNotice(now, w)
	}
	for _, s := range frame.InFlight {
		h.core.RecordPlacement(now, dispatch.Placement{
			Key: dispatch.Key{
				Gateway: c.name,
				ID:      s.ID,
			},
			Upstream: s.Upstream,
			Team:     s.Team,
			Prompt:   s.Prompt,
			Started:  s.Started,
		}, s.Counted)
	}
	for _, id := range frame.Started {
		key.ID = id
		h.core.RecordStart(now, key)
	}
	for _, e := range frame.Ended {
		key.ID = e.ID
		h.core.RecordEnd(now, key, e.Outcome)
	}
	if h.upstreams == nil {
		// Without the list everything would be refused; unanswered, the gateway
		// decides by the list that it has.
		frame.PlacementRequests = nil
		h.wantList(now)
	}
	for _, r := range frame.PlacementRequests {
		c.traffic.add(r.Weight())
		h.replies[c] = append(h.replies[c], h.core.Place(now, c.name, r))
	}
	if frame.Ping != 0 {
		select {
		case h.pings <- ping{
			conn:     c,
			sequence: frame.Ping,
		}:
		default: // pinged again within a second
		}
	}
}

// confirm answers pings, all that wait with one confirmed read.
func (h *Hub) confirm(ctx context.Context) {
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
			continue // the gateways' proofs run out unless a later ping is confirmed
		}
		// What is newer than the gateways' configurations goes before the answers.
		h.post(ctx, event{
			confirmed: waiting,
			accepted:  h.readNewest(r),
		})
	}
}

// watch reports changes of the configuration.
func (h *Hub) watch(ctx context.Context) {
	for ctx.Err() == nil {
		r := h.replicas.Replica()
		if r == nil {
			select {
			case <-ctx.Done():
			case <-time.After(leadInterval):
			}
			continue
		}
		changed := r.Changed()
		if a := h.readNewest(r); a != nil {
			h.post(ctx, event{
				accepted: a,
			})
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(time.Second): // the replica may have been replaced
		}
	}
}

func (h *Hub) post(ctx context.Context, e event) {
	select {
	case h.events <- e:
	case <-ctx.Done():
	}
}
