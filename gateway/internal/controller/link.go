package controller

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/evacuation"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/room"
	"baobabpaddle/fleet/steady"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/fleet/wire"
)

// Timings and limits of a Link.
const (
	// decisionTimeout is how long the gateway waits for a decision of the leader before it
	// decides locally. It allows for some round trips between availability zones.
	decisionTimeout = 60 * time.Millisecond
	// originTimeout is the same for the request of a caller that resumes a stream of which only
	// the leader may know the software version. Without the leader it would be refused.
	originTimeout = 300 * time.Millisecond
	// maxReportedStreams is the number of streams that are reported to a leader when the
	// gateway links to it, apart from those that no leader has confirmed.
	maxReportedStreams = 4096
	// flushInterval bounds the delay of reports on answers that began or ended.
	flushInterval  = 5 * time.Millisecond
	pingInterval   = 500 * time.Millisecond
	eventQueueSize = 4096
)

// Settings configures a Link.
type Settings struct {
	// Name identifies the gateway and must differ at each start.
	Name string
	// Zone is the gateway's availability zone.
	Zone string
	// Host is the address of the gateway's host, without a port, or empty if it is not known.
	Host string
	// Seeds are the addresses of some controllers.
	Seeds []string
	// ProofLifetime is how long teams' keys are served after a ping that the leader has
	// confirmed, counted from when the ping was sent. The confirmation proves that the
	// configuration was the newest when the ping arrived.
	ProofLifetime time.Duration
}

// reply receives the decision on one request. Its buffer holds one.
type reply chan dispatch.Decision

// begunStream is a stream whose first event is being forwarded.
type begunStream struct {
	stream origin.Stream
	origin origin.Origin
}

// leader identifies a leader for as long as it keeps what it received. Terms are zero from
// leaders that don't state them.
type leader struct {
	address string
	term    uint64
}

// event is handled by the control goroutine. Exactly one of place, started, begun, ended,
// notice, limit, relayed, linked, lost and frame is set.
type event struct {
	place     *dispatch.Request
	reply     reply
	started   uint64
	took      time.Duration // with started
	begun     *begunStream
	ended     *wire.Ended
	notice    *dispatch.Notice
	limit     *dispatch.RateLimitReport
	relayed   *relayed
	linked    *link.Conn[wire.Serve]
	leader    leader // with linked
	lost      *link.Conn[wire.Serve]
	lostCause error // with lost
	frame     *wire.Serve
	from      *link.Conn[wire.Serve] // with frame
}

// sentPing is a ping that was sent to the leader.
type sentPing struct {
	at steady.Time
	// reported is the position in Link.unconfirmed up to which streams were reported before.
	reported uint64
}

// waiting is a request that waits for the leader's decision.
type waiting struct {
	request  dispatch.Request
	reply    reply
	deadline time.Time
}

// Link is the gateway's end of the link to the leader. It also has a scheduler of its own
// for decisions without the leader. Its methods are safe for concurrent use; they have an
// effect only while Run runs.
type Link struct {
	settings Settings
	dialer   link.Dialer
	log      *slog.Logger
	events   chan event
	view     atomic.Pointer[View]
	seeds    atomic.Pointer[[]string]

	// The fields down to lastLeader are used by the control goroutine only.
	scheduler    *dispatch.Scheduler
	conn         *link.Conn[wire.Serve]
	waiting      map[uint64]waiting
	waitingOrder []uint64 // keys of waiting, by deadline; some are no longer waiting
	// originOrder is the same for requests with originTimeout.
	originOrder []uint64
	// allowance counts the local placements of requests that continue streams.
	allowance origin.Allowance
	// begun are the origins of the streams that this gateway has forwarded, and unconfirmed
	// those of them that no leader has confirmed to have received.
	begun       *origin.Register
	unconfirmed origin.Pending
	relay       relay
	// suspects are those that the leader sent last, at suspectsAt.
	suspects   []quarantine.Record
	suspectsAt time.Time
	// evacuations are the evacuated availability zones.
	evacuations evacuation.Follower
	outgoing    wire.Serve          // the next frame, not sent yet
	pings       map[uint64]sentPing // unanswered, by number
	lastPing    uint64
	version     uint64 // of the configuration in force
	// snapshot is the configuration in force, nil without one.
	snapshot   *configuration.Snapshot
	lastLeader leader // of the last link
	// room is the gateway's own room, for the next ping; nil without one.
	room atomic.Pointer[room.Report]
	// alone reports whether the last decision was the gateway's own.
	alone bool

	learned  atomic.Pointer[[]string] // controllers' addresses, from their answers
	refusals refusals
	// needsFull is true if a change could not be applied: the next link then requests the
	// whole configuration.
	needsFull atomic.Bool
}

// New returns a link without a configuration and upstreams. It connects when Run is called.
func New(settings Settings, dialer link.Dialer, log *slog.Logger) *Link {
	l := &Link{
		settings:  settings,
		dialer:    dialer,
		log:       log,
		events:    make(chan event, eventQueueSize),
		scheduler: dispatch.New(dispatch.Settings{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		begun:     origin.NewRegister(),
		waiting:   make(map[uint64]waiting),
		pings:     make(map[uint64]sentPing),
		relay:     newRelay(settings.Host, dialer.Credential),
	}
	l.view.Store(&View{
		Gateways: 1,
	})
	l.SetSeeds(settings.Seeds)
	return l
}

// SetRoom sets the gateway's own room, which is reported to the leader with each ping.
func (l *Link) SetRoom(r room.Report) { l.room.Store(&r) }

// SetSeeds replaces the addresses of Settings.Seeds.
func (l *Link) SetSeeds(seeds []string) { l.seeds.Store(&seeds) }

// View returns the current view.
func (l *Link) View() *View { return l.view.Load() }

// Place returns the decision where a request is sent, or why it is refused. It is the
// leader's if that comes within decisionTimeout, and the gateway's own otherwise. If the
// context ends first, the decision is a refusal with reason dispatch.Busy.
func (l *Link) Place(ctx context.Context, r dispatch.Request) dispatch.Decision {
	decision := make(reply, 1)
	l.events <- event{
		place: &r,
		reply: decision,
	}
	select {
	case d := <-decision:
		return d
	case <-ctx.Done():
		// A decision may still come. The request that it places is reported as ended.
		go func() {
			if d := <-decision; d.Upstream != "" {
				l.ReportOutcome(r.ID, dispatch.CallerLeft)
			}
		}()
		return dispatch.Decision{
			ID:     r.ID,
			Reason: dispatch.Busy,
		}
	}
}

// Run connects to the leader and handles events until the context ends. The goroutine that
// calls it is the control goroutine.
func (l *Link) Run(ctx context.Context) {
	go l.maintain(ctx)
	pings := time.NewTicker(pingInterval)
	defer pings.Stop()
	relays := time.NewTicker(relayInterval)
	defer relays.Stop()
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	armed := false
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.handle(e)
			l.handleQueued()
		case now := <-pings.C:
			l.sendPing()
			l.logObservations(now)
		case <-relays.C:
			l.relayStreams(ctx)
		case <-flush.C:
			armed = false
			l.decideExpired(time.Now())
			l.flush()
		}
		if !armed && (len(l.waiting) > 0 || !l.outgoing.Empty()) {
			flush.Reset(flushInterval)
			armed = true
		}
	}
}

// handleQueued handles all queued events and then sends placement requests, if any, without
// waiting for the flush timer.
func (l *Link) handleQueued() {
	for {
		select {
		case e := <-l.events:
			l.handle(e)
		default:
			if len(l.outgoing.PlacementRequests) > 0 {
				l.flush()
			}
			return
		}
	}
}

// flush sends the outgoing frame, or drops it if there is no link.
func (l *Link) flush() {
	if l.outgoing.Empty() {
		return
	}
	if l.conn != nil {
		// A failed send closes the link, which receiveFrom reports.
		_ = l.conn.Send(l.outgoing)
	}
	l.outgoing = wire.Serve{}
}

// handle applies an event to the gateway's own scheduler and adds it to the outgoing frame.
// Frames of a link that is no longer in use are dropped.
func (l *Link) handle(e event) {
	switch {
	case e.place != nil:
		l.place(*e.place, e.reply)
	case e.started != 0:
		l.scheduler.RecordServiceTime(time.Now(), l.key(e.started), e.took)
		l.scheduler.RecordStart(time.Now(), l.key(e.started))
		if l.conn != nil && e.took > 0 {
			l.outgoing.ServiceTimes = append(l.outgoing.ServiceTimes, wire.NewServiceTime(e.started, e.took))
		}
		if l.conn != nil {
			l.outgoing.Started = append(l.outgoing.Started, e.started)
		}
	case e.begun != nil:
		now := time.Now()
		l.begun.Record(now, e.begun.stream, e.begun.origin)
		l.unconfirmed.Expire(now)
		l.unconfirmed.Add(now, e.begun.stream, e.begun.origin)
		if l.conn != nil {
			l.outgoing.Begun = origin.AppendBatch(l.outgoing.Begun, e.begun.stream, e.begun.origin)
		}
	case e.ended != nil:
		l.scheduler.RecordEnd(time.Now(), l.key(e.ended.ID), e.ended.Exactly())
		if l.conn != nil {
			l.outgoing.Ended = append(l.outgoing.Ended, *e.ended)
		}
	case e.notice != nil:
		l.scheduler.ApplyOwnNotice(time.Now(), *e.notice)
		if l.conn != nil {
			l.outgoing.UpstreamNotices = append(l.outgoing.UpstreamNotices, *e.notice)
		}
	case e.limit != nil:
		l.scheduler.ApplyRateLimit(time.Now(), l.settings.Name, *e.limit)
		l.updateRateLimits()
		if l.conn != nil {
			l.outgoing.RateLimits = append(l.outgoing.RateLimits, *e.limit)
		}
	case e.relayed != nil:
		l.handleRelayed(*e.relayed)
	case e.linked != nil:
		l.handleLinked(e.linked, e.leader)
	case e.lost != nil:
		l.handleLost(e.lost, e.lostCause)
	case e.frame != nil && e.from == l.conn:
		l.receive(*e.frame)
	}
}

// key returns the identifier of a request in the gateway's own scheduler.
func (l *Link) key(id uint64) dispatch.Key {
	return dispatch.Key{
		Gateway: l.settings.Name,
		ID:      id,
	}
}

// updateRateLimits stores the scheduler's rate limits in the view if they have changed. It
// logs the changes while there is no leader, which logs those of the whole fleet.
func (l *Link) updateRateLimits() {
	next := *l.view.Load()
	limits := l.scheduler.RateLimits()
	if maps.Equal(limits, next.RateLimits) {
		return
	}
	if l.conn == nil {
		trace.LogRateLimits(l.log, next.RateLimits, limits)
	}
	next.RateLimits = limits
	l.view.Store(&next)
}

// setLeader stores the leader's address in the view; empty means that there is no link.
func (l *Link) setLeader(address string) {
	next := *l.view.Load()
	next.Leader = address
	l.view.Store(&next)
}

// sendPing sends a ping and the counts of refused requests since the last one.
func (l *Link) sendPing() {
	if l.conn == nil {
		return
	}
	l.lastPing++
	l.pings[l.lastPing] = sentPing{
		at:       steady.Now(),
		reported: l.unconfirmed.End(),
	}
	l.outgoing.Ping = l.lastPing
	l.outgoing.Refused = l.refusals.take()
	l.outgoing.Room = l.room.Load()
	l.flush()
}
