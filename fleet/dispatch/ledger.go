package dispatch

import (
	"slices"
	"time"
)

// Figures of a ledger.
const (
	// fairSeconds is the span over which teams are compared, second by second.
	fairSeconds = 6
	// shortPart is the part of what is due to a team below which it is short.
	shortPart = 0.5
	// sparedRequests is how many of a team's largest requests are taken off what is due
	// to it, since a request is served whole or not at all.
	sparedRequests = 3
	// coreSlots is how many slots a Core's ledger has in a second.
	coreSlots = 1
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
	asked    float64 // tokens
	received float64
	largest  float64 // request asked for
	refused  Refusals
	// waited tells that a request had not begun at its objective.
	waited bool
}

func (e *entry) wanted() bool { return e.waited || e.refused != Refusals{} }

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

func (l *ledger) at(now time.Time) int64 { return now.UnixNano() / int64(l.slot) }

// kept is for how many slots entries are kept: the span and a second in progress.
func (l *ledger) kept() int64 { return (fairSeconds + 1) * l.slots }

// entry returns a team's entry of a slot, to be added to.
func (l *ledger) entry(team string, slot int64) *entry {
	entries := l.teams[team]
	if entries == nil {
		entries = make([]entry, l.kept())
		l.teams[team] = entries
	}
	e := &entries[slot%l.kept()]
	if e.slot != slot {
		*e = entry{
			slot: slot,
		}
	}
	return e
}

func (l *ledger) asked(now time.Time, team string, tokens float64) {
	if l == nil {
		return
	}
	e := l.entry(team, l.at(now))
	e.asked += tokens
	e.largest = max(e.largest, tokens)
}

func (l *ledger) began(now time.Time, team string, tokens float64) {
	if l == nil {
		return
	}
	l.entry(team, l.at(now)).received += tokens
}

func (l *ledger) refused(now time.Time, team string, r Refusals) {
	if l == nil {
		return
	}
	l.entry(team, l.at(now)).refused.add(r)
}

func (l *ledger) refusedElsewhere(now time.Time, r GatewayRefusals) {
	if l == nil {
		return
	}
	e := l.entry(r.Team, l.at(now))
	e.asked += r.Tokens
	e.largest = max(e.largest, r.Largest)
	e.refused.ByGateway += r.Requests
}

// waited notes that a request has waited since its objective passed.
func (l *ledger) waited(since, now time.Time, team string) {
	if l == nil {
		return
	}
	last := l.at(now)
	for slot := max(l.at(since), last-l.kept()+1); slot <= last; slot++ {
		l.entry(team, slot).waited = true
	}
}

// shortfalls returns the teams that are short in the span that ended when the present
// slot began, the shortest first.
func (l *ledger) shortfalls(now time.Time) []Shortfall {
	wanting := l.wanting(now)
	i := slices.IndexFunc(wanting, func(s Shortfall) bool { return s.ServedFraction() >= shortPart })
	if i < 0 {
		return wanting
	}
	return wanting[:i]
}

// wanting returns the teams that wanted more in each second of the span that ended when
// the present slot began, those that received the least part of their due first, and
// forgets teams without a request in it.
func (l *ledger) wanting(now time.Time) []Shortfall {
	end := l.at(now)
	begin := end - fairSeconds*l.slots
	var best [fairSeconds]float64
	for team, entries := range l.teams {
		last := int64(0)
		var received [fairSeconds]float64
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
func (l *ledger) sum(entries []entry, begin, end int64, best *[fairSeconds]float64) (Shortfall, bool) {
	var s Shortfall
	var asked [fairSeconds]float64
	var wanted [fairSeconds]bool
	var sizes []float64
	for i := range entries {
		e := &entries[i]
		if e.slot < begin || e.slot >= end {
			continue
		}
		second := (e.slot - begin) / l.slots
		asked[second] += e.asked
		wanted[second] = wanted[second] || e.wanted()
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
	for _, size := range sizes[max(len(sizes)-sparedRequests, 0):] {
		s.Due -= size
	}
	return s, s.Due > 0
}

// Shortfalls returns the teams that received far less than others lately, the shortest
// first; none without Settings.Compare. It is meant to be called once a second.
func (c *Scheduler) Shortfalls(now time.Time) []Shortfall {
	if c.ledger == nil {
		return nil
	}
	return c.ledger.shortfalls(now)
}
