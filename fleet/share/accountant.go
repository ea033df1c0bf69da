package share

import (
	"time"
)

// Defaults of an Accountant.
const (
	// DefaultIdleAfter is how long a team counts as backlogged after the last
	// sidecar reported that it no longer waits.
	DefaultIdleAfter = 3 * time.Second
	// SidecarReportTimeout is how long what a silent sidecar said of waiting teams
	// stays true.
	SidecarReportTimeout = 10 * time.Second
	// DefaultLateReportAge is the age from which a report counts as late, so that
	// its service is repaid over time.
	DefaultLateReportAge = 3 * time.Second
	// DefaultRepayShare is the share of a team's fair share that repays.
	DefaultRepayShare = 0.4
	// DefaultMaxLead is how long a backlogged team that is ahead of the others
	// waits for them at most: what it is ahead by beyond their service of that
	// time is repaid like service that was reported late.
	DefaultMaxLead = 5 * time.Second
	// leastAheadUnits is what a team may be ahead by in any case, in units of cost
	// per weight.
	leastAheadUnits = 1000
	// DefaultMaxDebt bounds what has to be repaid, in units of cost per weight.
	DefaultMaxDebt = 200_000
	// takeoverGrace is how long a new accountant listens before it moves its
	// clock, so that it lifts no team before it has heard of all.
	takeoverGrace   = 1500 * time.Millisecond
	advanceInterval = 100 * time.Millisecond
	// rateWindow is over how long the rate of the clock is averaged.
	rateWindow = 10 * time.Second
	// backlogHold is how long a team must wait throughout to move the clock.
	backlogHold = 2 * time.Second
)

// AccountantSettings configures an Accountant. Zero fields take the defaults.
type AccountantSettings struct {
	Service       ServiceID
	IdleAfter     time.Duration
	LateReportAge time.Duration
	RepayShare    float64
	MaxDebt       float64
	MaxLead       time.Duration
}

func (s *AccountantSettings) fill() {
	if s.IdleAfter == 0 {
		s.IdleAfter = DefaultIdleAfter
	}
	if s.LateReportAge == 0 {
		s.LateReportAge = DefaultLateReportAge
	}
	if s.RepayShare == 0 {
		s.RepayShare = DefaultRepayShare
	}
	if s.MaxDebt == 0 {
		s.MaxDebt = DefaultMaxDebt
	}
	if s.MaxLead == 0 {
		s.MaxLead = DefaultMaxLead
	}
}

// counted is the part of one sidecar's counter that is in a team's total.
type counted struct {
	epoch      uint32
	own        int64
	waiting    bool
	throughout bool
}

// source is one incarnation of one sidecar.
type source struct {
	incarnation string
	heard       time.Time
	counters    map[TeamID]counted
}

// total is one team's account.
type total struct {
	virtual float64
	debt    float64
	places  int       // sidecars where the team waits
	backlog int       // sidecars where it waits throughout
	since   time.Time // when backlog rose from zero
	until   time.Time // backlogged until then unless reported again
	active  bool
}

// Accountant adds up the service of each team over all sidecars of a service.
// It is soft state: a new one learns the totals from the sidecars' reports.
type Accountant struct {
	settings AccountantSettings
	weights  func(team TeamID) float64
	sources  map[string]*source
	totals   map[TeamID]*total
	active   map[TeamID]*total
	debtors  map[TeamID]*total
	clock    float64
	rate     float64 // of the clock, in units per weight and second
	movedAt  time.Time
	nextScan time.Time
	nextDrop time.Time
}

// NewAccountant returns an accountant that knows nothing yet.
func NewAccountant(settings AccountantSettings, weights func(team TeamID) float64) *Accountant {
	settings.fill()
	return &Accountant{
		settings: settings,
		weights:  weights,
		sources:  make(map[string]*source),
		totals:   make(map[TeamID]*total),
		active:   make(map[TeamID]*total),
		debtors:  make(map[TeamID]*total),
	}
}

// Backlogged returns how many teams count as backlogged.
func (a *Accountant) Backlogged() int { return len(a.active) }

// Debtors returns how many teams repay.
func (a *Accountant) Debtors() int { return len(a.debtors) }

func (a *Accountant) weight(team TeamID) float64 {
	if w := a.weights(team); w > 0 {
		return w
	}
	return 1
}

// Report takes a sidecar's report and returns the totals of the teams in it
// that wait there.
func (a *Accountant) Report(now time.Time, sidecar, incarnation string, r Report) Totals {
	s := a.sources[sidecar]
	late := false
	switch {
	case s == nil:
		s = &source{
			incarnation: incarnation,
			counters:    make(map[TeamID]counted),
		}
		a.sources[sidecar] = s
	case s.incarnation != incarnation:
		a.leave(now, s)
		s.incarnation = incarnation
		s.counters = make(map[TeamID]counted)
	default:
		late = now.Sub(s.heard) > a.settings.LateReportAge
	}
	s.heard = now
	for _, e := range r.Entries {
		a.count(now, s, e, late)
	}
	a.advance(now)
	for _, e := range r.Entries {
		if e.Waiting {
			a.activate(now, e.Team)
		}
	}
	return a.answer(r)
}

// count adds what one entry tells beyond what was counted before.
func (a *Accountant) count(now time.Time, s *source, e ReportEntry, late bool) {
	t := a.totals[e.Team]
	if t == nil {
		t = &total{}
		a.totals[e.Team] = t
	}
	w := a.weight(e.Team)
	before, seen := s.counters[e.Team]
	after := counted{
		epoch:      e.Epoch,
		own:        e.LocalService,
		waiting:    e.Waiting,
		throughout: e.Waiting && !e.Intermittent,
	}
	s.counters[e.Team] = after
	t.countWaits(now, before, after)
	if !seen && e.KnownVirtual > 0 {
		// An earlier accountant counted this team: take over where it was.
		known := fromWire(e.KnownVirtual)
		t.virtual = max(t.virtual, known) + float64(e.LocalService-e.KnownLocal)/w
		return
	}
	if before.epoch != e.Epoch {
		before.own = 0
	}
	delta := float64(e.LocalService-before.own) / w
	if late && delta > 0 {
		t.debt = min(t.debt+delta, a.settings.MaxDebt)
		a.debtors[e.Team] = t
		return
	}
	t.virtual += delta
}

// countWaits counts the sidecars where the team waits, and waits throughout.
func (t *total) countWaits(now time.Time, before, after counted) {
	if t.backlog == 0 {
		t.since = now
	}
	t.places += one(after.waiting) - one(before.waiting)
	t.backlog += one(after.throughout) - one(before.throughout)
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// backlogged reports whether the team has waited throughout for long enough to
// move the clock.
func (t *total) backlogged(now time.Time) bool {
	return t.backlog > 0 && now.Sub(t.since) >= backlogHold
}

// leave forgets where a source's teams wait.
func (a *Accountant) leave(now time.Time, s *source) {
	for name, c := range s.counters {
		after := c
		after.waiting = false
		after.throughout = false
		a.totals[name].countWaits(now, c, after)
		s.counters[name] = after
	}
}

// dropSilent forgets what sidecars said that were not heard of for long.
func (a *Accountant) dropSilent(now time.Time) {
	if now.Before(a.nextDrop) {
		return
	}
	a.nextDrop = now.Add(SidecarReportTimeout / 10)
	for _, s := range a.sources {
		if now.Sub(s.heard) > SidecarReportTimeout {
			a.leave(now, s)
		}
	}
}

// activate makes a team backlogged. One that returns from idleness has saved
// up nothing: it is lifted to the least counter among the backlogged teams.
func (a *Accountant) activate(now time.Time, team TeamID) {
	t := a.totals[team]
	t.until = now.Add(a.settings.IdleAfter)
	if t.active {
		return
	}
	t.active = true
	t.virtual = max(t.virtual, a.clock)
	a.active[team] = t
}

// answer returns the totals of the teams in the report.
func (a *Accountant) answer(r Report) Totals {
	out := Totals{
		Service:     r.Service,
		VirtualTime: toWire(a.clock),
	}
	for _, e := range r.Entries {
		if !e.Waiting {
			continue
		}
		out.Entries = append(out.Entries, TotalEntry{
			Team:         e.Team,
			Virtual:      toWire(a.totals[e.Team].virtual),
			Epoch:        e.Epoch,
			LocalService: e.LocalService,
			Sidecars:     a.totals[e.Team].places,
		})
	}
	return out
}

// Forget drops sidecars that were not heard of since the time, and teams that
// nobody counts any more.
func (a *Accountant) Forget(before time.Time) {
	used := make(map[TeamID]bool)
	for name, s := range a.sources {
		if s.heard.Before(before) {
			a.leave(s.heard, s)
			delete(a.sources, name)
			continue
		}
		for team := range s.counters {
			used[team] = true
		}
	}
	for name, t := range a.totals {
		if !used[name] && !t.active && t.debt == 0 {
			delete(a.totals, name)
		}
	}
}
