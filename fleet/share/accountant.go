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
	// minLeadUnits is what a team may be ahead by in any case, in units of cost
	// per weight.
	minLeadUnits = 1000
	// DefaultMaxDebt bounds what has to be repaid, in units of cost per weight.
	DefaultMaxDebt = 200_000
	// takeoverDelay is how long a new accountant listens before it moves its
	// clock, so that it lifts no team before it has heard of all.
	takeoverDelay   = 1500 * time.Millisecond
	advanceInterval = 100 * time.Millisecond
	// rateWindow is over how long the rate of the clock is averaged.
	rateWindow = 10 * time.Second
	// minBacklogTime is how long a team must wait throughout to move the clock.
	minBacklogTime = 2 * time.Second
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

// sidecarCounter is the part of one sidecar's counter that is in a team's total.
type sidecarCounter struct {
	epoch        uint32
	localService int64
	waiting      bool
	throughout   bool
}

// reporter is one incarnation of one sidecar.
type reporter struct {
	incarnation string
	lastHeard   time.Time
	counters    map[TeamID]sidecarCounter
}

// teamAccount is one team's account.
type teamAccount struct {
	virtual            float64
	debt               float64
	sidecars           int       // sidecars where the team waits
	throughoutSidecars int       // sidecars where it waits throughout
	backloggedSince    time.Time // when backlog rose from zero
	activeUntil        time.Time // backlogged until then unless reported again
	active             bool
}

// Accountant adds up the service of each team over all sidecars of a service.
// It is soft state: a new one learns the totals from the sidecars' reports.
type Accountant struct {
	settings    AccountantSettings
	weights     func(team TeamID) float64
	reporters   map[string]*reporter
	accounts    map[TeamID]*teamAccount
	active      map[TeamID]*teamAccount
	debtors     map[TeamID]*teamAccount
	virtualTime float64
	virtualRate float64 // of the clock, in units per weight and second
	advancedAt  time.Time
	nextScan    time.Time
	nextDrop    time.Time
}

// NewAccountant returns an accountant that knows nothing yet.
func NewAccountant(settings AccountantSettings, weights func(team TeamID) float64) *Accountant {
	settings.fill()
	return &Accountant{
		settings:  settings,
		weights:   weights,
		reporters: make(map[string]*reporter),
		accounts:  make(map[TeamID]*teamAccount),
		active:    make(map[TeamID]*teamAccount),
		debtors:   make(map[TeamID]*teamAccount),
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
	s := a.reporters[sidecar]
	late := false
	switch {
	case s == nil:
		s = &reporter{
			incarnation: incarnation,
			counters:    make(map[TeamID]sidecarCounter),
		}
		a.reporters[sidecar] = s
	case s.incarnation != incarnation:
		a.clearWaiting(now, s)
		s.incarnation = incarnation
		s.counters = make(map[TeamID]sidecarCounter)
	default:
		late = now.Sub(s.lastHeard) > a.settings.LateReportAge
	}
	s.lastHeard = now
	for _, e := range r.Entries {
		a.applyEntry(now, s, e, late)
	}
	a.advance(now)
	for _, e := range r.Entries {
		if e.Waiting {
			a.activate(now, e.Team)
		}
	}
	return a.totalsFor(r)
}

// applyEntry adds what one entry tells beyond what was counted before.
func (a *Accountant) applyEntry(now time.Time, s *reporter, e ReportEntry, late bool) {
	t := a.accounts[e.Team]
	if t == nil {
		t = &teamAccount{}
		a.accounts[e.Team] = t
	}
	w := a.weight(e.Team)
	before, seen := s.counters[e.Team]
	after := sidecarCounter{
		epoch:        e.Epoch,
		localService: e.LocalService,
		waiting:      e.Waiting,
		throughout:   e.Waiting && !e.Intermittent,
	}
	s.counters[e.Team] = after
	t.updateWaiting(now, before, after)
	if !seen && e.KnownVirtual > 0 {
		// An earlier accountant counted this team: take over where it was.
		known := fromWire(e.KnownVirtual)
		t.virtual = max(t.virtual, known) + float64(e.LocalService-e.KnownLocal)/w
		return
	}
	if before.epoch != e.Epoch {
		before.localService = 0
	}
	delta := float64(e.LocalService-before.localService) / w
	if late && delta > 0 {
		t.debt = min(t.debt+delta, a.settings.MaxDebt)
		a.debtors[e.Team] = t
		return
	}
	t.virtual += delta
}

// updateWaiting counts the sidecars where the team waits, and waits throughout.
func (t *teamAccount) updateWaiting(now time.Time, before, after sidecarCounter) {
	if t.throughoutSidecars == 0 {
		t.backloggedSince = now
	}
	t.sidecars += boolToInt(after.waiting) - boolToInt(before.waiting)
	t.throughoutSidecars += boolToInt(after.throughout) - boolToInt(before.throughout)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// backlogged reports whether the team has waited throughout for long enough to
// move the clock.
func (t *teamAccount) backlogged(now time.Time) bool {
	return t.throughoutSidecars > 0 && now.Sub(t.backloggedSince) >= minBacklogTime
}

// clearWaiting forgets where a source's teams wait.
func (a *Accountant) clearWaiting(now time.Time, s *reporter) {
	for name, c := range s.counters {
		after := c
		after.waiting = false
		after.throughout = false
		a.accounts[name].updateWaiting(now, c, after)
		s.counters[name] = after
	}
}

// expireReporters forgets what sidecars said that were not heard of for long.
func (a *Accountant) expireReporters(now time.Time) {
	if now.Before(a.nextDrop) {
		return
	}
	a.nextDrop = now.Add(SidecarReportTimeout / 10)
	for _, s := range a.reporters {
		if now.Sub(s.lastHeard) > SidecarReportTimeout {
			a.clearWaiting(now, s)
		}
	}
}

// activate makes a team backlogged. One that returns from idleness has saved
// up nothing: it is lifted to the least counter among the backlogged teams.
func (a *Accountant) activate(now time.Time, team TeamID) {
	t := a.accounts[team]
	t.activeUntil = now.Add(a.settings.IdleAfter)
	if t.active {
		return
	}
	t.active = true
	t.virtual = max(t.virtual, a.virtualTime)
	a.active[team] = t
}

// totalsFor returns the totals of the teams in the report.
func (a *Accountant) totalsFor(r Report) Totals {
	out := Totals{
		Service:     r.Service,
		VirtualTime: toWire(a.virtualTime),
	}
	for _, e := range r.Entries {
		if !e.Waiting {
			continue
		}
		out.Entries = append(out.Entries, TotalEntry{
			Team:         e.Team,
			Virtual:      toWire(a.accounts[e.Team].virtual),
			Epoch:        e.Epoch,
			LocalService: e.LocalService,
			Sidecars:     a.accounts[e.Team].sidecars,
		})
	}
	return out
}

// Forget drops sidecars that were not heard of since the time, and teams that
// nobody counts any more.
func (a *Accountant) Forget(before time.Time) {
	used := make(map[TeamID]bool)
	for name, s := range a.reporters {
		if s.lastHeard.Before(before) {
			a.clearWaiting(s.lastHeard, s)
			delete(a.reporters, name)
			continue
		}
		for team := range s.counters {
			used[team] = true
		}
	}
	for name, t := range a.accounts {
		if !used[name] && !t.active && t.debt == 0 {
			delete(a.accounts, name)
		}
	}
}
