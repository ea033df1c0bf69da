package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/steady"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/fleet/wire"
)

// Timings and limits of a Link.
const (
	// decisionTimeout is how long a leader may take to decide before the gateway
	// decides by itself: some round trips between availability zones.
	decisionTimeout = 60 * time.Millisecond
	// flushInterval bounds how late the leader hears of answers that began or
	// ended.
	flushInterval = 5 * time.Millisecond
	pingInterval  = 500 * time.Millisecond
	eventQueue    = 4096
)

// Settings configures a Link.
type Settings struct {
	// Name is the gateway's, another one at each start.
	Name string
	Zone string
	// Seeds are addresses of some controllers.
	Seeds []string
	// ProofLifetime is how long a proof that the configuration is the newest
	// lets keys be served.
	ProofLifetime time.Duration
}

// answer is where a decision is waited for.
type answer chan dispatch.Decision

type event struct {
	place  *dispatch.Request
	answer answer
	begun  uint64
	ended  *wire.Ended
	word   *dispatch.Notice
	linked *link.Conn[wire.Serve]
	leader string // the address of linked
	lost   *link.Conn[wire.Serve]
	cause  error // of lost
	frame  *wire.Serve
	from   *link.Conn[wire.Serve]
}

type waiting struct {
	request  dispatch.Request
	answer   answer
	deadline time.Time
}

// Link is the gateway's end of the link to the leader, and the gateway's own
// core for the time without one.
type Link struct {
	settings Settings
	dialer   link.Dialer
	log      *slog.Logger
	events   chan event
	view     atomic.Pointer[View]
	seeds    atomic.Pointer[[]string]

	// What follows belongs to the control goroutine.
	core    *dispatch.Scheduler
	conn    *link.Conn[wire.Serve]
	waiting map[uint64]waiting
	order   []uint64 // of waiting, by deadline
	out     wire.Serve
	pings   map[uint64]steady.Time
	ping    uint64
	version uint64
	// snapshot is the configuration in force, nil without one.
	snapshot *configuration.Snapshot
	last     string // the leader of the link before

	known   atomic.Pointer[[]string] // addresses of controllers
	refused refused
	// wantWhole tells that the next link must bring all of the newest configuration.
	wantWhole atomic.Bool
}

// New returns a link that knows nothing yet.
func New(settings Settings, dialer link.Dialer, log *slog.Logger) *Link {
	l := &Link{
		settings: settings,
		dialer:   dialer,
		log:      log,
		events:   make(chan event, eventQueue),
		core:     dispatch.New(dispatch.Settings{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting:  make(map[uint64]waiting),
		pings:    make(map[uint64]steady.Time),
	}
	l.view.Store(&View{
		Gateways: 1,
	})
	l.SetSeeds(settings.Seeds)
	return l
}

// SetSeeds replaces the seed addresses.
func (l *Link) SetSeeds(seeds []string) { l.seeds.Store(&seeds) }

// View returns what is known now.
func (l *Link) View() *View { return l.view.Load() }

// Place decides where a request goes.
func (l *Link) Place(ctx context.Context, r dispatch.Request) dispatch.Decision {
	a := make(answer, 1)
	l.events <- event{
		place:  &r,
		answer: a,
	}
	select {
	case d := <-a:
		return d
	case <-ctx.Done():
		// The decision may still come; the request then ends at once.
		go func() {
			if d := <-a; d.Upstream != "" {
				l.ReportOutcome(r.ID, dispatch.CallerLeft)
			}
		}()
		return dispatch.Decision{
			ID:     r.ID,
			Reason: dispatch.Busy,
		}
	}
}

// ReportStarted tells that the answer to a request has begun.
func (l *Link) ReportStarted(id uint64) {
	l.events <- event{
		begun: id,
	}
}

// ReportOutcome tells how an upstream's work on a request ended.
func (l *Link) ReportOutcome(id uint64, ending dispatch.Outcome) {
	l.events <- event{
		ended: &wire.Ended{
			ID:      id,
			Outcome: ending,
		},
	}
}

// ReportNotice tells what an upstream has said of itself.
func (l *Link) ReportNotice(w dispatch.Notice) {
	l.events <- event{
		word: &w,
	}
}

// Run is the control goroutine; it ends with the context.
func (l *Link) Run(ctx context.Context) {
	go l.keep(ctx)
	pings := time.NewTicker(pingInterval)
	defer pings.Stop()
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	armed := false
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.handle(e)
			l.drain()
		case now := <-pings.C:
			l.sendPing()
			l.note(now)
		case <-flush.C:
			armed = false
			l.expire(time.Now())
			l.flush()
		}
		if !armed && (len(l.waiting) > 0 || !l.out.Empty()) {
			flush.Reset(flushInterval)
			armed = true
		}
	}
}

// drain takes what else waits; requests for places leave at once.
func (l *Link) drain() {
	for {
		select {
		case e := <-l.events:
			l.handle(e)
		default:
			if len(l.out.PlacementRequests) > 0 {
				l.flush()
			}
			return
		}
	}
}

func (l *Link) flush() {
	if l.out.Empty() {
		return
	}
	if l.conn != nil {
		// A failed send closes the link; its receiver reports that.
		_ = l.conn.Send(l.out)
	}
	l.out = wire.Serve{}
}

func (l *Link) handle(e event) {
	switch {
	case e.place != nil:
		l.place(*e.place, e.answer)
	case e.begun != 0:
		l.core.RecordStart(time.Now(), l.key(e.begun))
		if l.conn != nil {
			l.out.Started = append(l.out.Started, e.begun)
		}
	case e.ended != nil:
		l.core.RecordEnd(time.Now(), l.key(e.ended.ID), e.ended.Outcome)
		if l.conn != nil {
			l.out.Ended = append(l.out.Ended, *e.ended)
		}
	case e.word != nil:
		l.core.ApplyOwnNotice(time.Now(), *e.word)
		if l.conn != nil {
			l.out.UpstreamNotices = append(l.out.UpstreamNotices, *e.word)
		}
	case e.linked != nil:
		l.linked(e.linked, e.leader)
	case e.lost != nil:
		l.lost(e.lost, e.cause)
	case e.frame != nil && e.from == l.conn:
		l.receive(*e.frame)
	}
}

// note logs what the own core has learned of upstreams. While there is a leader,
// it logs what all gateways have learned.
func (l *Link) note(now time.Time) {
	changes := l.core.SuspensionChanges()
	if l.conn == nil {
		trace.LogUpstreamChanges(l.log, now, changes)
	}
}

func (l *Link) key(id uint64) dispatch.Key {
	return dispatch.Key{
		Gateway: l.settings.Name,
		ID:      id,
	}
}

func (l *Link) place(r dispatch.Request, a answer) {
	now := time.Now()
	if l.conn == nil {
		a <- l.placeAlone(now, r)
		return
	}
	r.Excluded = append(r.Excluded[:len(r.Excluded):len(r.Excluded)], l.core.Declining(now, r.Service)...)
	l.waiting[r.ID] = waiting{
		request:  r,
		answer:   a,
		deadline: now.Add(decisionTimeout),
	}
	l.order = append(l.order, r.ID)
	l.out.PlacementRequests = append(l.out.PlacementRequests, r)
}

// expire decides on requests whose decision is late.
func (l *Link) expire(now time.Time) {
	for len(l.order) > 0 {
		id := l.order[0]
		w, ok := l.waiting[id]
		if ok && now.Before(w.deadline) {
			return
		}
		l.order = l.order[1:]
		if ok {
			delete(l.waiting, id)
			l.decideAlone(now, w)
		}
	}
}

// placeAlone decides by the gateway's own knowledge.
func (l *Link) placeAlone(now time.Time, r dispatch.Request) dispatch.Decision {
	d := l.core.Place(now, l.settings.Name, r)
	d.Inputs.DecidedBy = dispatch.ByGateway
	l.untilRested(now, r.Service, &d)
	return d
}

// untilRested has a caller come back when the first upstream takes requests again, if
// it was refused since all want rest.
func (l *Link) untilRested(now time.Time, service string, d *dispatch.Decision) {
	if d.Reason != dispatch.NoUpstream {
		return
	}
	if until, ok := l.core.BackoffUntil(now, service); ok {
		d.RetryAfter = until.Sub(now)
	}
}

func (l *Link) decideAlone(now time.Time, w waiting) {
	d := l.placeAlone(now, w.request)
	if d.Upstream != "" && l.conn != nil {
		l.out.InFlight = append(l.out.InFlight, wire.InFlight{
			ID:       w.request.ID,
			Upstream: d.Upstream,
			Team:     w.request.Team,
			Prompt:   w.request.Prompt,
		})
	}
	w.answer <- d
}

func (l *Link) linked(c *link.Conn[wire.Serve], leader string) {
	if l.conn != nil {
		l.conn.Close()
	}
	l.conn = c
	l.out = wire.Serve{}
	for _, p := range l.core.Placements() {
		l.out.InFlight = append(l.out.InFlight, wire.InFlight{
			ID:       p.ID,
			Upstream: p.Upstream,
			Team:     p.Team,
			Prompt:   p.Prompt,
			Started:  p.Started,
			Counted:  true,
		})
	}
	l.out.UpstreamNotices = l.core.Notices(time.Now())
	if leader != l.last {
		l.refused.forget()
		l.out.Accounts = l.core.Accounts(time.Now())
		l.last = leader
	}
	l.flush()
	l.sendPing()
	l.setLeader(leader)
	l.log.Info("linked to the leader", "leader", leader, "configuration", l.version, "at_upstreams", len(l.core.Placements()))
}

func (l *Link) lost(c *link.Conn[wire.Serve], cause error) {
	if l.conn != c {
		return
	}
	l.conn = nil
	l.out = wire.Serve{}
	clear(l.pings)
	now := time.Now()
	for _, id := range l.order {
		if w, ok := l.waiting[id]; ok {
			delete(l.waiting, id)
			l.decideAlone(now, w)
		}
	}
	l.order = nil
	l.log.Warn("link to the leader lost", "leader", l.view.Load().Leader, "cause", cause,
		"proof_left_ms", l.view.Load().ProvenUntil.Sub(steady.Now()).Milliseconds())
	l.setLeader("")
}

func (l *Link) setLeader(address string) {
	next := *l.view.Load()
	next.Leader = address
	l.view.Store(&next)
}

func (l *Link) sendPing() {
	if l.conn == nil {
		return
	}
	l.ping++
	l.pings[l.ping] = steady.Now()
	l.out.Ping = l.ping
	l.out.Refused = l.refused.take()
	l.flush()
}
