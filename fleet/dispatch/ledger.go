package dispatch

import (
	"slices"
	"time"
)

// Figures of a ledger.
const (
	// comparedSeconds is the span over which teams are compared, second by second.
	comparedSeconds = 6
	// shortFraction is the part of what is due to a team below which it is short.
	shortFraction = 0.5
	// exemptRequests is how many of a team's largest requests are taken off what is due
	// to it, since a request is served whole or not at all.
	exemptRequests = 3
	// schedulerSlots is how many slots a Core's ledger has in a second.
	schedulerSlots = 1
)

// Refusals counts refused requests by who refused them and why.
type Refusals struct {
	// OverShare are those for the team's share or its lead.
	OverShare  int
	Busy       int
	NoUpstream int
	// ByGateway are those that gateways refused without asking.
	ByGateway int
}

func (r *Refusals) add(o Refusals) {
	r.OverShare += o.OverShare
	r.Busy += o.Busy
	r.NoUpstream += o.NoUpstream
	r.ByGateway += o.ByGateway
}

// refusalFor returns one refusal.
func refusalFor(reason Reason) Refusals {
	switch reason {
	case OverShare, AheadOfOthers:
		return Refusals{
			OverShare: 1,
		}
	case Busy:
		return Refusals{
			Busy: 1,
		}
	default:
		return Refusals{
			NoUpstream: 1,
		}
	}
}

// Shortfall compares what a team received within six seconds with what was due to it,
// though it was refused or kept waiting in each of them.
type Shortfall struct {
	Team string
	// Demand, Due and Received are tokens. Due sums, over the seconds, what the team
	// asked for or the best served team received, whichever is less.
	Demand   float64
	Due      float64
	Received float64
	Refused  Refusals
}

// ServedFraction is the part of what was due that the team received.
func (s Shortfall) ServedFraction() float64 { return s.Received / max(s.Due, 1) }

// entry is what happened to a team's requests in one slot.
type entry struct {
	slot     int64
	demand   float64 // tokens
	received float64
	largest  float64 // request asked for
	refused  Refusals
	// waited tells that a request had not begun at its objective.
	waited bool
}

func (e *entry) backlogged() bool { return e.waited || e.refused != Refusals{} }

// ledger records what teams asked for and received, to find those that are short.
// Requests count as received when their answers begin. A nil ledger records nothing.
type ledger struct {
	slot  time.Duration
	slots int64 // in a second
	teams map[string][]entry
}

// newLedger returns a ledger with so many slots in a second.
func newLedger(slotsPerSecond int) *ledger {
	return &ledger{
		slot:  time.Second / time.Duration(slotsPerSecond),
		slots: int64(slotsPerSecond),
		teams: make(map[string][]entry),
	}
}

func (l *ledger) slotAt(now time.Time) int64 { return now.UnixNano() / int64(l.slot) }

// retainedSlots is for how many slots entries are retainedSlots: the span and a second in progress.
func (l *ledger) retainedSlots() int64 { return (comparedSeconds + 1) * l.slots }

// entry returns a team's entry of a slot, to be added to.
func (l *ledger) entry(team string, slot int64) *entry {
	entries := l.teams[team]
	if entries == nil {
		entries = make([]entry, l.retainedSlots())
		l.teams[team] = entries
	}
	e := &entries[slot%l.retainedSlots()]
	if e.slot != slot {
		*e = entry{
			slot: slot,
		}
	}
	return e
}

func (l *ledger) requested(now time.Time, team string, tokens float64) {
	if l == nil {
		return
	}
	e := l.entry(team, l.slotAt(now))
	e.demand += tokens
	e.largest = max(e.largest, tokens)
}

func (l *ledger) started(now time.Time, team string, tokens float64) {
	if l == nil {
		return
	}
	l.entry(team, l.slotAt(now)).received += tokens
}

func (l *ledger) refused(now time.Time, team string, r Refusals) {
	if l == nil {
		return
	}
	l.entry(team, l.slotAt(now)).refused.add(r)
}

func (l *ledger) refusedByGateway(now time.Time, r GatewayRefusals) {
	if l == nil {
		return
	}
	e := l.entry(r.Team, l.slotAt(now))
	e.demand += r.Tokens
	e.largest = max(e.largest, r.Largest)
	e.refused.ByGateway += r.Requests
}

// waited notes that a request has waited since its objective passed.
func (l *ledger) waited(since, now time.Time, team string) {
	if l == nil {
		return
	}
	last := l.slotAt(now)
	for slot := max(l.slotAt(since), last-l.retainedSlots()+1); slot <= last; slot++ {
		l.entry(team, slot).waited = true
	}
}

// shortfalls returns the teams that are short in the span that ended when the present
// slot began, the shortest first.
func (l *ledger) shortfalls(now time.Time) []Shortfall {
	wanting := l.backloggedTeams(now)
	i := slices.IndexFunc(wanting, func(s Shortfall) bool { return s.ServedFraction() >= shortFraction })
	if i < 0 {
		return wanting
	}
	return wanting[:i]
}

// backloggedTeams returns the teams that wanted more in each second of the span that ended when
// the present slot began, those that received the least part of their due first, and
// forgets teams without a request in it.
func (l *ledger) backloggedTeams(now time.Time) []Shortfall {
	end := l.slotAt(now)
	begin := end - comparedSeconds*l.slots
	var best [comparedSeconds]float64
	for team, entries := range l.teams {
		last := int64(0)
		var received [comparedSeconds]float64
		for _, e := range entries {
			last = max(last, e.slot)
			if e.slot >= begin && e.slot < end {
				received[(e.slot-begin)/l.slots] += e.received
			}
		}
		if last < begin {
			delete(l.teams, team)
			continue
		}
		for i := range best {
			best[i] = max(best[i], received[i])
		}
	}
	var out []Shortfall
	for team, entries := range l.teams {
		if s, wanted := l.sum(entries, begin, end, &best); wanted {
			s.Team = team
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Shortfall) int {
		switch {
		case a.ServedFraction() < b.ServedFraction():
			return -1
		case a.ServedFraction() > b.ServedFraction():
			return 1
		}
		return 0
	})
	return out
}

// sum adds up a team's entries of a span and reports whether it wanted more in each
// second and something was due to it.
func (l *ledger) sum(entries []entry, begin, end int64, best *[comparedSeconds]float64) (Shortfall, bool) {
	var s Shortfall
	var asked [comparedSeconds]float64
	var wanted [comparedSeconds]bool
	var sizes []float64
	for i := range entries {
		e := &entries[i]
		if e.slot < begin || e.slot >= end {
			continue
		}
		second := (e.slot - begin) / l.slots
		asked[second] += e.demand
		wanted[second] = wanted[second] || e.backlogged()
		s.Received += e.received
		s.Refused.add(e.refused)
		sizes = append(sizes, e.largest)
	}
	for i := range asked {
		if !wanted[i] {
			return s, false
		}
		s.Demand += asked[i]
		s.Due += min(asked[i], best[i])
	}
	slices.Sort(sizes)
	for _, size := range sizes[max(len(sizes)-exemptRequests, 0):] {
		s.Due -= size
	}
	return s, s.Due > 0
}

// Shortfalls returns the teams that received far less than others lately, the shortest
// first; none without Settings.Compare. It is meant to be called once a second.
func (s *Scheduler) Shortfalls(now time.Time) []Shortfall {
	if s.ledger == nil {
		return nil
	}
	return s.ledger.shortfalls(now)
}
