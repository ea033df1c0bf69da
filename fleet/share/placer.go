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
	demandGrowthFactor       = 2
	startRateDecay           = 0.9
	startRateInterval        = time.Second
	// prefetchMemory is how long after a grant from a stock more are expected.
	prefetchMemory = 10 * time.Second
	// fastFirstGrant is the time to a first grant below which one sidecar will do.
	fastFirstGrant = 50 * time.Millisecond
	minRetryAfter  = time.Second
	maxRetryAfter  = 10 * time.Minute
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
	id        TeamID
	queue     []Request
	fanout    int
	widenAt   time.Time
	since     time.Time // when the team began to wait; zero after the first grant
	sidecars  []string  // sidecars where the demand stands
	headSkips int       // grants for which the head was passed over
}

// sidecarState is what the placer knows of one sidecar.
type sidecarState struct {
	up        bool
	available bool
	upstreams []UpstreamID
	told      map[TeamID]int // team to the count the sidecar knows
}

// Placer holds a service's waiting requests at one gateway and decides where
// they are asked for.
type Placer struct {
	settings  PlacerSettings
	random    *rand.Rand
	teams     map[TeamID]*waitingTeam
	list      []*waitingTeam // the same teams, in the order they came
	sidecars  map[string]*sidecarState
	names     []string // sidecars that are up, sorted
	sidecarOf map[UpstreamID]string
	upstreams []UpstreamID // upstreams of all sidecars that are up, sorted
	actions   []Action
	starts    int
	startRate float64 // starts per second, decayed
	rateAt    time.Time
	// firstGrant is the time from when a team begins to wait to its first
	// grant, in seconds, averaged; zero until there was one.
	firstGrant float64

	unlinkedSince time.Time // since when no sidecar is linked
	prefetchUntil time.Time // until when sidecars are thought to grant from a stock
	prefetching   bool
}

// NewPlacer returns a placer without sidecars.
func NewPlacer(settings PlacerSettings, random *rand.Rand) *Placer {
	settings.fill()
	return &Placer{
		settings:  settings,
		random:    random,
		teams:     make(map[TeamID]*waitingTeam),
		sidecars:  make(map[string]*sidecarState),
		sidecarOf: make(map[UpstreamID]string),
	}
}

// TakeActions returns the actions since the last call.
func (p *Placer) TakeActions() []Action {
	out := p.actions
	p.actions = nil
	return out
}

func (p *Placer) emit(a Action) { p.actions = append(p.actions, a) }

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
		p.reject(t, r, RejectNoUpstream)
		return
	case t != nil && len(t.queue) >= most:
		p.reject(t, r, RejectQueueFull)
		return
	}
	if r.Idempotent && len(p.teams) == 0 && len(p.names) > 0 {
		if name := p.availableSidecar(r); name != "" {
			p.emit(Start{
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
	if s := p.sidecars[sidecar]; s != nil {
		s.available = false
	}
	if p.unreachable(now) {
		p.reject(nil, r, RejectNoUpstream)
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
	if spread := p.initialFanout(len(t.queue)); t.fanout < spread {
		t.fanout = spread
		p.widenDemand(t)
	}
	p.syncDemand(t)
}

// initialFanout is at how many sidecars a team asks at first. Where grants come at
// once it asks at no more of them than it has requests.
func (p *Placer) initialFanout(requests int) int {
	if p.firstGrant > 0 && p.firstGrant < fastFirstGrant.Seconds() {
		return min(p.settings.Fanout, requests)
	}
	return p.settings.Fanout
}

// recordStart counts a start for the estimate of when to come back.
func (p *Placer) recordStart(now time.Time, t *waitingTeam) {
	p.starts++
	t.widenAt = now.Add(p.settings.WidenAfter)
	if !t.since.IsZero() {
		p.firstGrant = ewma(p.firstGrant, max(now.Sub(t.since).Seconds(), 1e-9))
		t.since = time.Time{}
	}
}

// queueShrank updates the sidecars after the team's queue became shorter.
func (p *Placer) queueShrank(t *waitingTeam) {
	p.syncDemand(t)
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
			p.queueShrank(t)
			return true
		}
	}
	return false
}

// Tick gives up requests whose deadline passed and widens the demand of teams
// that wait long.
func (p *Placer) Tick(now time.Time) {
	p.updateStartRate(now)
	p.prefetching = now.Before(p.prefetchUntil)
	unreachable := p.unreachable(now)
	for _, t := range slices.Clone(p.list) {
		kept := t.queue[:0]
		for _, r := range t.queue {
			switch {
			case unreachable:
				p.reject(t, r, RejectNoUpstream)
			case now.Before(r.Deadline):
				kept = append(kept, r)
			default:
				p.reject(t, r, RejectDeadline)
			}
		}
		clear(t.queue[len(kept):])
		t.queue = kept
		if len(t.queue) > 0 && !now.Before(t.widenAt) {
			t.fanout = min(2*t.fanout, max(len(p.names), 1))
			t.widenAt = now.Add(p.settings.WidenAfter)
			p.widenDemand(t)
		}
		p.queueShrank(t)
	}
}

// TeamWaiting returns how many requests of a team wait.
func (p *Placer) TeamWaiting(team TeamID) int {
	if t := p.teams[team]; t != nil {
		return len(t.queue)
	}
	return 0
}
