package share

import (
	"time"
)

// Defaults of an Accountant.
const (
	// DefaultIdleAfter is how long a team still counts as backlogged after the
	// last sidecar reported that it no longer waits.
	DefaultIdleAfter = 3 * time.Second
	// SidecarReportTimeout is how long the waiting teams that a sidecar reported
	// stay valid after its last report.
	SidecarReportTimeout = 10 * time.Second
	// DefaultLateReportAge is the interval since a sidecar's previous report above
	// which a report counts as late. Service reported late is repaid over time.
	DefaultLateReportAge = 3 * time.Second
	// DefaultRepayShare is the fraction of its fair share that an indebted team
	// gives up to repay.
	DefaultRepayShare = 0.4
	// DefaultMaxLead is the longest time that a backlogged team with a lead waits
	// for the others. A lead beyond their service of that time becomes debt, as
	// service reported late does.
	DefaultMaxLead = 5 * time.Second
	// minLeadUnits is the lead that never becomes debt, in units of cost per weight.
	minLeadUnits = 1000
	// DefaultMaxDebt bounds a team's debt, in units of cost per weight.
	DefaultMaxDebt = 200_000
	// takeoverDelay is how long a new accountant collects reports before it advances
	// virtual time, so that it raises no team's counter before all sidecars have reported.
	takeoverDelay   = 1500 * time.Millisecond
	advanceInterval = 100 * time.Millisecond
	// rateWindow is the period over which the rate of virtual time is averaged.
	rateWindow = 10 * time.Second
	// minBacklogTime is how long a team must wait throughout before virtual time
	// follows it.
	minBacklogTime = 2 * time.Second
)

// AccountantSettings configures an Accountant. Zero fields take the defaults of
// the same name.
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

// sidecarCounter is the last state of a team's counter at one sidecar that its account
// includes.
type sidecarCounter struct {
	epoch        uint32
	localService int64
	waiting      bool
	throughout   bool
}

// reporter is the state of one sidecar in its present incarnation.
type reporter struct {
	incarnation string
	lastHeard   time.Time
	counters    map[TeamID]sidecarCounter
}

// teamAccount is the service of one team over all sidecars, in units of cost per weight.
type teamAccount struct {
	virtual            float64
	debt               float64
	sidecars           int       // sidecars where the team waits
	throughoutSidecars int       // of these, where it waits throughout
	backloggedSince    time.Time // when throughoutSidecars last rose from zero
	activeUntil        time.Time // end of the backlog unless it is reported again
	active             bool
}

// Accountant adds up the service of each team over all sidecars of a service and
// answers their reports with the totals. Its state is not stored: a new accountant
// rebuilds it from the full reports of the sidecars.
type Accountant struct {
	settings    AccountantSettings
	weights     func(team TeamID) float64
	reporters   map[string]*reporter
	accounts    map[TeamID]*teamAccount
	active      map[TeamID]*teamAccount
	debtors     map[TeamID]*teamAccount
	virtualTime float64
	virtualRate float64 // of virtual time, in units of cost per weight and second
	advancedAt  time.Time
	nextAdvance time.Time
	nextExpiry  time.Time
}

// NewAccountant returns an empty Accountant. The function weights returns a team's
// weight; one that is not positive counts as 1.
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

// Debtors returns how many teams have debt.
func (a *Accountant) Debtors() int { return len(a.debtors) }

func (a *Accountant) weight(team TeamID) float64 {
	if w := a.weights(team); w > 0 {
		return w
	}
	return 1
}

// Report takes a sidecar's report and returns the totals of those teams in it that
// wait at the sidecar. A repeated report changes no total.
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

// applyEntry adds the service that an entry reports beyond what was counted before.
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
		// An earlier accountant counted this team: continue from its total.
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

// updateWaiting updates how many sidecars the team waits at, and waits at throughout.
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

// backlogged reports whether the team has waited throughout for at least minBacklogTime,
// so that virtual time follows it.
func (t *teamAccount) backlogged(now time.Time) bool {
	return t.throughoutSidecars > 0 && now.Sub(t.backloggedSince) >= minBacklogTime
}

// clearWaiting marks all teams as no longer waiting at the reporter.
func (a *Accountant) clearWaiting(now time.Time, s *reporter) {
	for name, c := range s.counters {
		after := c
		after.waiting = false
		after.throughout = false
		a.accounts[name].updateWaiting(now, c, after)
		s.counters[name] = after
	}
}

// expireReporters clears the waiting teams of sidecars that have not reported for
// SidecarReportTimeout.
func (a *Accountant) expireReporters(now time.Time) {
	if now.Before(a.nextExpiry) {
		return
	}
	a.nextExpiry = now.Add(SidecarReportTimeout / 10)
	for _, s := range a.reporters {
		if now.Sub(s.lastHeard) > SidecarReportTimeout {
			a.clearWaiting(now, s)
		}
	}
}

// activate makes a team backlogged. A team that returns from idleness has accumulated
// no credit: its counter is raised to virtual time.
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

// totalsFor returns the totals of the waiting teams in the report.
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

// Forget removes sidecars that have not reported since the given time, and idle teams
// without debt that no sidecar counts any more.
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
