package dispatch

import (
	"slices"
	"time"
)

// Constants of a ledger.
const (
	// comparedSeconds is the length of the span over which teams are compared second by
	// second.
	comparedSeconds = 6
	// shortFraction is the fraction of its due below which a team is short.
	shortFraction = 0.5
	// exemptRequests is the number of a team's largest requests that are subtracted from
	// its due, since a request is served whole or not at all. An entry has only the largest
	// request of its bucket, so at most one request of each bucket is subtracted.
	exemptRequests = 3
	// schedulerBuckets is the number of buckets per second in a Scheduler's ledger.
	schedulerBuckets = 1
)

// Refusals counts refused requests by reason.
type Refusals struct {
	// OverShare counts refusals for OverShare and AheadOfOthers.
	OverShare  int
	Busy       int
	NoUpstream int
	// ByGateway counts requests that gateways refused without asking the leader.
	ByGateway int
}

func (r *Refusals) add(o Refusals) {
	r.OverShare += o.OverShare
	r.Busy += o.Busy
	r.NoUpstream += o.NoUpstream
	r.ByGateway += o.ByGateway
}

// refusalFor returns the count of a single refusal for a reason.
func refusalFor(reason Reason) Refusals {
	switch reason {
	case OverShare, AheadOfOthers:
		return Refusals{
			OverShare: 1,
		}
	case Busy, RateLimited, ColdUpstreams:
		return Refusals{
			Busy: 1,
		}
	default:
		return Refusals{
			NoUpstream: 1,
		}
	}
}

// Shortfall compares what a backlogged team received within six seconds with what was due
// to it. A team is backlogged if it was refused or kept waiting in each of the seconds.
type Shortfall struct {
	Team string
	// Demand, Due and Received are in tokens. Due is the sum over the seconds of the
	// team's demand or of what the best served team received, whichever is less, minus
	// the team's three largest requests, at most one of each second.
	Demand   float64
	Due      float64
	Received float64
	Refused  Refusals
}

// ServedFraction returns the fraction of its due that the team received.
func (s Shortfall) ServedFraction() float64 { return s.Received / max(s.Due, 1) }

// entry sums up a team's requests in one bucket, a short fixed span of time.
type entry struct {
	bucket   int64
	demand   float64 // tokens
	received float64 // tokens
	largest  float64 // tokens of the largest request
	refused  Refusals
	// waited reports whether a request waited beyond its objective.
	waited bool
}

// backlogged reports whether a request was refused or waited beyond its objective.
func (e *entry) backlogged() bool { return e.waited || e.refused != Refusals{} }

// ledger records what teams demanded and received, to find those that are short.
// Requests count as received when their responses begin. A nil ledger records nothing.
type ledger struct {
	bucketSpan       time.Duration // length of a bucket
	bucketsPerSecond int64
	teams            map[string][]entry
}

// newLedger returns a ledger with a number of buckets per second.
func newLedger(bucketsPerSecond int) *ledger {
	return &ledger{
		bucketSpan:       time.Second / time.Duration(bucketsPerSecond),
		bucketsPerSecond: int64(bucketsPerSecond),
		teams:            make(map[string][]entry),
	}
}

// bucketAt returns the number of the bucket at a time.
func (l *ledger) bucketAt(now time.Time) int64 { return now.UnixNano() / int64(l.bucketSpan) }

// retainedBuckets returns the number of buckets for which entries are kept: those of the
// compared span and of the second in progress.
func (l *ledger) retainedBuckets() int64 { return (comparedSeconds + 1) * l.bucketsPerSecond }

// entry returns a team's entry for a bucket, which it makes if there is none. It reuses the
// memory of the entry that has left the span.
func (l *ledger) entry(team string, bucket int64) *entry {
	entries := l.teams[team]
	if entries == nil {
		entries = make([]entry, l.retainedBuckets())
		l.teams[team] = entries
	}
	e := &entries[bucket%l.retainedBuckets()]
	if e.bucket != bucket {
		*e = entry{
			bucket: bucket,
		}
	}
	return e
}

// requested adds the tokens of a request to its team's demand.
func (l *ledger) requested(now time.Time, team string, tokens float64) {
	if l == nil {
		return
	}
	e := l.entry(team, l.bucketAt(now))
	e.demand += tokens
	e.largest = max(e.largest, tokens)
}

// started adds the tokens of a request whose response begins to what its team received.
func (l *ledger) started(now time.Time, team string, tokens float64) {
	if l == nil {
		return
	}
	l.entry(team, l.bucketAt(now)).received += tokens
}

// refused adds refusals of a team's requests.
func (l *ledger) refused(now time.Time, team string, r Refusals) {
	if l == nil {
		return
	}
	l.entry(team, l.bucketAt(now)).refused.add(r)
}

// refusedByGateway adds requests that a gateway refused to their team's demand and
// refusals.
func (l *ledger) refusedByGateway(now time.Time, r GatewayRefusals) {
	if l == nil {
		return
	}
	e := l.entry(r.Team, l.bucketAt(now))
	e.demand += r.Tokens
	e.largest = max(e.largest, r.Largest)
	e.refused.ByGateway += r.Requests
}

// waited records that a request waited from since, when its objective passed, until now.
func (l *ledger) waited(since, now time.Time, team string) {
	if l == nil {
		return
	}
	last := l.bucketAt(now)
	for bucket := max(l.bucketAt(since), last-l.retainedBuckets()+1); bucket <= last; bucket++ {
		l.entry(team, bucket).waited = true
	}
}

// shortfalls returns the teams that received less than shortFraction of their due in the
// span that ended when the current bucket began, those with the least fraction first.
func (l *ledger) shortfalls(now time.Time) []Shortfall {
	backlogged := l.backloggedTeams(now)
	i := slices.IndexFunc(backlogged, func(s Shortfall) bool { return s.ServedFraction() >= shortFraction })
	if i < 0 {
		return backlogged
	}
	return backlogged[:i]
}

// backloggedTeams returns the teams that were backlogged in each second of the span that
// ended when the current bucket began, those that received the least fraction of their due
// first. It removes teams without a request in the span.
func (l *ledger) backloggedTeams(now time.Time) []Shortfall {
	end := l.bucketAt(now)
	begin := end - comparedSeconds*l.bucketsPerSecond
	var best [comparedSeconds]float64
	for team, entries := range l.teams {
		last := int64(0)
		var received [comparedSeconds]float64
		for _, e := range entries {
			last = max(last, e.bucket)
			if e.bucket >= begin && e.bucket < end {
				received[(e.bucket-begin)/l.bucketsPerSecond] += e.received
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
		if s, backlogged := l.sum(entries, begin, end, &best); backlogged {
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

// sum sums a team's entries over a span and reports whether the team was backlogged in
// each second and has a due. Best is what the best served team received in each second.
func (l *ledger) sum(entries []entry, begin, end int64, best *[comparedSeconds]float64) (Shortfall, bool) {
	var s Shortfall
	var demand [comparedSeconds]float64
	var backlogged [comparedSeconds]bool
	var sizes []float64
	for i := range entries {
		e := &entries[i]
		if e.bucket < begin || e.bucket >= end {
			continue
		}
		second := (e.bucket - begin) / l.bucketsPerSecond
		demand[second] += e.demand
		backlogged[second] = backlogged[second] || e.backlogged()
		s.Received += e.received
		s.Refused.add(e.refused)
		sizes = append(sizes, e.largest)
	}
	for i := range demand {
		if !backlogged[i] {
			return s, false
		}
		s.Demand += demand[i]
		s.Due += min(demand[i], best[i])
	}
	slices.Sort(sizes)
	for _, size := range sizes[max(len(sizes)-exemptRequests, 0):] {
		s.Due -= size
	}
	return s, s.Due > 0
}

// Shortfalls returns the backlogged teams that received less than half of their due within
// the last six seconds, those with the least fraction first. It returns none unless
// Settings.RecordShortfalls is set. It is meant to be called once a second.
func (s *Scheduler) Shortfalls(now time.Time) []Shortfall {
	if s.ledger == nil {
		return nil
	}
	return s.ledger.shortfalls(now)
}
