package share

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Defaults of a Placer.
const (
	DefaultWindow            = 16
	DefaultFanout            = 3
	DefaultMaxWaiting        = 1000
	DefaultWidenAfter        = 300 * time.Millisecond
	DefaultAffinityLookahead = 8
	DefaultLinkGrace         = 3 * time.Second
	refillFactor             = 2
	drainDecay               = 0.9
	drainInterval            = time.Second
	// stockMemory is how long after a grant from a stock more are expected.
	stockMemory = 10 * time.Second
	// quickGrant is the time to a first grant below which one sidecar will do.
	quickGrant    = 50 * time.Millisecond
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Minute
)

// PlacerSettings configures a Placer. Zero fields take the defaults above.
type PlacerSettings struct {
	Service ServiceID
	// Window is the most requests of one team that one sidecar hears of.
	Window int
	// Fanout is at how many sidecars a team's demand stands at first.
	Fanout int
	// MaxWaiting bounds one team's waiting requests here.
	MaxWaiting int
	// WidenAfter is how long a team waits before its demand stands at twice
	// as many sidecars.
	WidenAfter time.Duration
	// AffinityLookahead is among how many of a team's first requests the one with
	// the best prefix for the granting upstream is chosen; 1 turns it off.
	AffinityLookahead int
	// LinkGrace is how long requests wait while no sidecar is linked.
	LinkGrace time.Duration
}

func (s *PlacerSettings) fill() {
	if s.Window == 0 {
		s.Window = DefaultWindow
	}
	if s.Fanout == 0 {
		s.Fanout = DefaultFanout
	}
	if s.MaxWaiting == 0 {
		s.MaxWaiting = DefaultMaxWaiting
	}
	if s.WidenAfter == 0 {
		s.WidenAfter = DefaultWidenAfter
	}
	if s.AffinityLookahead == 0 {
		s.AffinityLookahead = DefaultAffinityLookahead
	}
	if s.LinkGrace == 0 {
		s.LinkGrace = DefaultLinkGrace
	}
}

// Request is one caller's request as the placer sees it.
type Request struct {
	ID   uint64
	Team TeamID
	// Deadline is when the request must have been started.
	Deadline time.Time
	// Prefix is the hash of the prompt's prefix; zero means none.
	Prefix uint64
	// Idempotent requests may be sent without a grant and wait at a sidecar.
	Idempotent bool
	// MaxWaiting bounds the team's waiting requests; zero means the placer's bound.
	MaxWaiting int
}

// The reasons to give up a request that was not run.
const (
	RejectDeadline RejectReason = iota + 1
	RejectQueueFull
	RejectNoUpstream
)

// waitingTeam is one team's waiting requests, oldest first.
type waitingTeam struct {
	id      TeamID
	queue   []Request
	spread  int
	widenAt time.Time
	since   time.Time // when the team began to wait; zero after the first grant
	at      []string  // sidecars where the demand stands
	skipped int       // grants for which the head was passed over
}

// place is what the placer knows of one sidecar.
type place struct {
	up       bool
	room     bool
	upstream []UpstreamID
	believed map[TeamID]int // team to the count the sidecar knows
}

// Placer holds a service's waiting requests at one gateway and decides where
// they are asked for.
type Placer struct {
	settings PlacerSettings
	random   *rand.Rand
	teams    map[TeamID]*waitingTeam
	list     []*waitingTeam // the same teams, in the order they came
	places   map[string]*place
	names    []string // sidecars that are up, sorted
	home     map[UpstreamID]string
	engines  []UpstreamID // upstreams of all sidecars that are up, sorted
	actions  []Action
	starts   int
	rate     float64 // starts per second, decayed
	rateAt   time.Time
	// firstGrant is the time from when a team begins to wait to its first
	// grant, in seconds, averaged; zero until there was one.
	firstGrant float64

	emptySince time.Time // since when no sidecar is linked
	stockUntil time.Time // until when sidecars are thought to grant from a stock
	stocked    bool
}

// NewPlacer returns a placer without sidecars.
func NewPlacer(settings PlacerSettings, random *rand.Rand) *Placer {
	settings.fill()
	return &Placer{
		settings: settings,
		random:   random,
		teams:    make(map[TeamID]*waitingTeam),
		places:   make(map[string]*place),
		home:     make(map[UpstreamID]string),
	}
}

// TakeActions returns the actions since the last call.
func (p *Placer) TakeActions() []Action {
	out := p.actions
	p.actions = nil
	return out
}

func (p *Placer) do(a Action) { p.actions = append(p.actions, a) }

// Waiting returns how many requests wait.
func (p *Placer) Waiting() int {
	n := 0
	for _, t := range p.list {
		n += len(t.queue)
	}
	return n
}

// Arrive takes a new request.
func (p *Placer) Arrive(now time.Time, r Request) {
	t := p.teams[r.Team]
	most := r.MaxWaiting
	if most == 0 {
		most = p.settings.MaxWaiting
	}
	switch {
	case p.unreachable(now):
		p.giveUp(t, r, RejectNoUpstream)
		return
	case t != nil && len(t.queue) >= most:
		p.giveUp(t, r, RejectQueueFull)
		return
	}
	if r.Idempotent && len(p.teams) == 0 && len(p.names) > 0 {
		if name := p.direct(r); name != "" {
			p.do(Start{
				Request: r,
				Sidecar: name,
			})
			return
		}
	}
	p.enqueue(now, r, false)
}

// Requeue takes back a request that a sidecar refused to run; it goes first.
func (p *Placer) Requeue(now time.Time, r Request, sidecar string) {
	if s := p.places[sidecar]; s != nil {
		s.room = false
	}
	if p.unreachable(now) {
		p.giveUp(nil, r, RejectNoUpstream)
		return
	}
	p.enqueue(now, r, true)
}

func (p *Placer) enqueue(now time.Time, r Request, first bool) {
	t := p.teams[r.Team]
	if t == nil {
		t = &waitingTeam{
			id:      r.Team,
			widenAt: now.Add(p.settings.WidenAfter),
			since:   now,
		}
		p.teams[r.Team] = t
		p.list = append(p.list, t)
	}
	if first {
		t.queue = slices.Insert(t.queue, 0, r)
	} else {
		t.queue = append(t.queue, r)
	}
	if spread := p.firstSpread(len(t.queue)); t.spread < spread {
		t.spread = spread
		p.spreadOut(t)
	}
	p.sync(t)
}

// firstSpread is at how many sidecars a team asks at first. Where grants come at
// once it asks at no more of them than it has requests.
func (p *Placer) firstSpread(requests int) int {
	if p.firstGrant > 0 && p.firstGrant < quickGrant.Seconds() {
		return min(p.settings.Fanout, requests)
	}
	return p.settings.Fanout
}

// started counts a start for the estimate of when to come back.
func (p *Placer) started(now time.Time, t *waitingTeam) {
	p.starts++
	t.widenAt = now.Add(p.settings.WidenAfter)
	if !t.since.IsZero() {
		p.firstGrant = decay(p.firstGrant, max(now.Sub(t.since).Seconds(), 1e-9))
		t.since = time.Time{}
	}
}

// settle updates the sidecars after the team's queue became shorter.
func (p *Placer) settle(t *waitingTeam) {
	p.sync(t)
	if len(t.queue) == 0 {
		delete(p.teams, t.id)
		p.list = slices.DeleteFunc(p.list, func(x *waitingTeam) bool { return x == t })
	}
}

// Cancel drops a waiting request whose caller has gone. It returns false when
// the request does not wait here.
func (p *Placer) Cancel(team TeamID, id uint64) bool {
	t := p.teams[team]
	if t == nil {
		return false
	}
	for i, r := range t.queue {
		if r.ID == id {
			t.queue = slices.Delete(t.queue, i, i+1)
			p.settle(t)
			return true
		}
	}
	return false
}

// Tick gives up requests whose deadline passed and widens the demand of teams
// that wait long.
func (p *Placer) Tick(now time.Time) {
	p.measure(now)
	p.stocked = now.Before(p.stockUntil)
	unreachable := p.unreachable(now)
	for _, t := range slices.Clone(p.list) {
		kept := t.queue[:0]
		for _, r := range t.queue {
			switch {
			case unreachable:
				p.giveUp(t, r, RejectNoUpstream)
			case now.Before(r.Deadline):
				kept = append(kept, r)
			default:
				p.giveUp(t, r, RejectDeadline)
			}
		}
		clear(t.queue[len(kept):])
		t.queue = kept
		if len(t.queue) > 0 && !now.Before(t.widenAt) {
			t.spread = min(2*t.spread, max(len(p.names), 1))
			t.widenAt = now.Add(p.settings.WidenAfter)
			p.spreadOut(t)
		}
		p.settle(t)
	}
}

// TeamWaiting returns how many requests of a team wait.
func (p *Placer) TeamWaiting(team TeamID) int {
	if t := p.teams[team]; t != nil {
		return len(t.queue)
	}
	return 0
}
