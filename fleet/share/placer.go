package share

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Defaults and limits of a Placer.
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
	// prefetchMemory is how long after a prefetched grant more of them are expected.
	prefetchMemory = 10 * time.Second
	// fastFirstGrant is the mean time to the first grant below which a team's demand is
	// sent to no more sidecars than it has requests.
	fastFirstGrant = 50 * time.Millisecond
	minRetryAfter  = time.Second
	maxRetryAfter  = 10 * time.Minute
)

// PlacerSettings configures a Placer. Zero fields take the defaults above.
type PlacerSettings struct {
	Service ServiceID
	// Window is the largest count in a demand.
	Window int
	// Fanout is how many sidecars a team's demand is sent to at first.
	Fanout int
	// MaxWaiting bounds the waiting requests of one team at this gateway.
	MaxWaiting int
	// WidenAfter is how long a team waits without a grant before the fan-out of its
	// demand doubles.
	WidenAfter time.Duration
	// AffinityLookahead is how many of a team's first requests are searched for the
	// one whose prefix best fits the granting upstream; 1 turns this off.
	AffinityLookahead int
	// LinkGrace is how long requests wait while no sidecar is linked before they are
	// rejected.
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

// Request is one caller's request.
type Request struct {
	ID   uint64
	Team TeamID
	// Deadline is the time by which the request must be started.
	Deadline time.Time
	// Prefix is the hash of the prompt's prefix; zero means none.
	Prefix uint64
	// Idempotent requests may be sent without a grant and may wait at a sidecar.
	Idempotent bool
	// MaxWaiting bounds the team's waiting requests; zero means the bound in
	// PlacerSettings.
	MaxWaiting int
}

// Reasons for which a request that was not run is rejected.
const (
	// RejectDeadline means that the deadline passed before a slot was granted.
	RejectDeadline RejectReason = iota + 1
	// RejectQueueFull means that MaxWaiting requests of the team wait already.
	RejectQueueFull
	// RejectNoUpstream means that no sidecar has been linked for LinkGrace.
	RejectNoUpstream
)

// waitingTeam is the waiting requests of one team, oldest first.
type waitingTeam struct {
	id        TeamID
	queue     []Request
	fanout    int
	widenAt   time.Time
	since     time.Time // when the team began to wait; zero after the first grant
	sidecars  []string  // sidecars to which the demand is sent
	headSkips int       // consecutive grants for which the head was skipped
}

// sidecarState is what the Placer knows of one sidecar.
type sidecarState struct {
	up         bool
	available  bool // believed to have free slots and no team waiting
	upstreams  []UpstreamID
	sentDemand map[TeamID]int // count in the last demand sent to the sidecar, less what it granted
}

// Placer holds the waiting requests of one service at one gateway. It decides which
// sidecars get a demand for them and which request runs on a granted slot. Call TakeActions
// after every other method.
type Placer struct {
	settings  PlacerSettings
	random    *rand.Rand
	teams     map[TeamID]*waitingTeam
	list      []*waitingTeam // the same teams, in order of arrival
	sidecars  map[string]*sidecarState
	names     []string // linked sidecars, sorted
	sidecarOf map[UpstreamID]string
	upstreams []UpstreamID // upstreams of all linked sidecars, sorted
	actions   []Action
	starts    int
	startRate float64 // starts per second, moving average
	rateAt    time.Time
	// firstGrant is the moving average of the seconds from when a team begins to wait
	// to its first grant; zero until there was one.
	firstGrant float64

	unlinkedSince time.Time // since when no sidecar is linked; zero while one is
	prefetchUntil time.Time // when prefetched grants are no longer expected
	prefetching   bool
}

// NewPlacer returns a Placer without sidecars.
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

// TakeActions returns the actions since the last call, in the order in which they are to
// be done.
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

// Arrive takes a new request and adds it to its team's queue. An idempotent request is sent
// directly if no team waits and a sidecar has free slots. The request is rejected if the
// queue is full or no sidecar has been linked for LinkGrace.
func (p *Placer) Arrive(now time.Time, r Request) {
	t := p.teams[r.Team]
	bound := r.MaxWaiting
	if bound == 0 {
		bound = p.settings.MaxWaiting
	}
	switch {
	case p.unreachable(now):
		p.reject(t, r, RejectNoUpstream)
		return
	case t != nil && len(t.queue) >= bound:
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

// Requeue puts a request that a sidecar refused to run at the head of its team's queue.
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
	if fanout := p.initialFanout(len(t.queue)); t.fanout < fanout {
		t.fanout = fanout
		p.widenDemand(t)
	}
	p.syncDemand(t)
}

// initialFanout returns how many sidecars a team's demand is sent to at first. Where first
// grants come fast it is no more than the team's requests.
func (p *Placer) initialFanout(requests int) int {
	if p.firstGrant > 0 && p.firstGrant < fastFirstGrant.Seconds() {
		return min(p.settings.Fanout, requests)
	}
	return p.settings.Fanout
}

// recordStart records a start for the estimates of the start rate and of the time to the
// first grant.
func (p *Placer) recordStart(now time.Time, t *waitingTeam) {
	p.starts++
	t.widenAt = now.Add(p.settings.WidenAfter)
	if !t.since.IsZero() {
		p.firstGrant = ewma(p.firstGrant, max(now.Sub(t.since).Seconds(), 1e-9))
		t.since = time.Time{}
	}
}

// queueShrank updates the sidecars after requests left the team's queue and removes a team
// whose queue is empty.
func (p *Placer) queueShrank(t *waitingTeam) {
	p.syncDemand(t)
	if len(t.queue) == 0 {
		delete(p.teams, t.id)
		p.list = slices.DeleteFunc(p.list, func(x *waitingTeam) bool { return x == t })
	}
}

// Cancel removes a waiting request whose caller has disconnected. It returns false if the
// request does not wait here.
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

// Tick rejects requests whose deadline has passed and widens the demand of teams that have
// waited for WidenAfter.
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
