package dispatch

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// Constants of cold upstreams.
const (
	// coldWindow is the span in which a cold upstream gets no more requests than its service
	// declares for one second. What it has beyond the second covers that requests take
	// different times to the upstream and so arrive closer together than they were placed.
	coldWindow = 1100 * time.Millisecond
	// coldBurst is the number of requests that a cold upstream gets at once after a pause, if
	// it may get minColdForBurst or more in coldWindow.
	coldBurst       = 2
	minColdForBurst = 4
	// aloneColdFraction is the part of what a service declares that is left to gateways which
	// decide alone, so that the leader need not know of their requests. It is one request in
	// coldWindow at least where the service declares minColdForAlone or more.
	aloneColdFraction = 1.0 / 8
	minColdForAlone   = 2
	// listLag is the longest time by which the platform's list is behind what it describes.
	// Platforms state 0.8 s; the rest is a margin.
	listLag = 1200 * time.Millisecond
	// listedWithin is the time within which a leader has read a list that knows of the present:
	// listLag, and the pause between two readings.
	listedWithin = listLag + 800*time.Millisecond
	// reportLag is the longest time by which the reports of two gateways about one upstream
	// arrive in another order than what they report.
	reportLag = 250 * time.Millisecond
	// maxColdSpan bounds the time for which a service may declare its upstreams to be cold.
	maxColdSpan = time.Hour
)

// ColdEntry is what an entry of the platform's list says about whether its upstream is cold:
// has started a short time ago, and takes few requests until it is warm.
type ColdEntry struct {
	// Stated reports whether the entry says how long the upstream stays cold, which is Left
	// from ReadAt on, the time at which the list was requested. A Left of zero means that it
	// is warm.
	Stated bool
	Left   time.Duration
	ReadAt time.Time
}

// ColdCause is why an upstream counts as cold.
type ColdCause string

// The causes.
const (
	// ColdListed: the platform's list says so.
	ColdListed ColdCause = "listed"
	// ColdRestarted: the list shows a restart and doesn't say whether the upstream is cold.
	ColdRestarted ColdCause = "restarted"
	// ColdAnsweredAgain: it answers again after it could not be reached or broke off.
	ColdAnsweredAgain ColdCause = "answered_again"
	// ColdReturned: it is used again after a time without requests.
	ColdReturned ColdCause = "returned"
	// ColdReported: another process said so.
	ColdReported ColdCause = "reported"
)

// ColdChange is the beginning or the end of the time in which an upstream is cold.
type ColdChange struct {
	Upstream string
	Service  string
	Cause    ColdCause
	// Until is the time until which it counts as cold, or zero at the end.
	Until time.Time
	// Since is the time from which it counts as cold.
	Since time.Time
}

// coldState is what is known about whether an upstream is cold.
type coldState struct {
	// until is the time from which the upstream is warm, and since the time from which it
	// counts as cold. Both are zero while it is warm.
	until time.Time
	since time.Time
	cause ColdCause
	// suspectedAt is the last time at which a request showed that the upstream may have
	// stopped, and so will be cold when it answers again; zero if there is no suspicion.
	// With until set it has answered again since. SuspectedFrom is a time after which the first
	// of the requests was sent that showed so, zero if it is unknown, and certain reports
	// whether a host refused connections.
	suspectedAt   time.Time
	suspectedFrom time.Time
	certain       bool
	// relisted reports that the list shows a restart, and that it is not known yet whether
	// the upstream is cold.
	relisted bool
}

// suspect reports whether the upstream may have restarted and has not answered since.
func (c *coldState) suspect() bool { return !c.suspectedAt.IsZero() && c.until.IsZero() }

// unsure reports whether the upstream counts as cold although no list has said so.
func (c *coldState) unsure() bool { return c.cause == ColdAnsweredAgain || c.cause == ColdReported }

// declaredCold returns for how long an upstream of a service is cold after its start, and the
// requests a second that it takes meanwhile. Both are zero if the service declares none.
func (s *Scheduler) declaredCold(service string) (span time.Duration, perSecond float64) {
	if s.table == nil {
		return 0, 0
	}
	known := s.table.Service(service)
	if known == nil || known.ColdSeconds <= 0 || known.ColdRequestsPerSecond <= 0 || known.ColdRequestsPerSecond >= maxRateLimit {
		return 0, 0
	}
	return secondsOf(min(known.ColdSeconds, maxColdSpan.Seconds())), known.ColdRequestsPerSecond
}

// coldPace returns the interval between two requests that this Scheduler sends to a cold
// upstream, and the time by which a request may be early. The interval is zero if it sends
// none. In coldWindow the leader and the gateways that decide alone send perSecond requests at
// most together: each upstream has one gateway that may send it requests on its own.
func (s *Scheduler) coldPace(perSecond float64) (interval, tolerance time.Duration) {
	alone := aloneRequests(perSecond)
	requests := alone
	if !s.decidesAlone() {
		requests = math.Floor(perSecond) - alone
		if perSecond < 1 {
			requests = perSecond
		}
	}
	burst := 1.0
	if requests >= minColdForBurst {
		burst = coldBurst
	}
	if requests <= 0 {
		return 0, 0
	}
	interval = time.Duration(float64(coldWindow) / (requests - burst + 1))
	return interval, time.Duration(burst-1) * interval
}

// aloneRequests returns the number of requests in coldWindow that are left to gateways which decide
// alone.
func aloneRequests(perSecond float64) float64 {
	if perSecond < minColdForAlone {
		return 0
	}
	return max(1, math.Floor(perSecond*aloneColdFraction))
}

// SetRank sets the rank, from 1 to gateways, of the gateway that this Scheduler decides for
// while there is no leader. The gateways that the leader knows have different ranks.
func (s *Scheduler) SetRank(rank, gateways int) { s.rank, s.ranks = rank, gateways }

// decidesAlone reports whether this Scheduler is that of a gateway, which decides alone.
func (s *Scheduler) decidesAlone() bool { return s.ranks > 0 || s.settings.TrafficFraction < 1 }

// unwatched reports whether cold upstreams may restart without being noticed: few requests go there.
func (s *Scheduler) unwatched() bool { return s.decidesAlone() && !s.following }

// barred reports whether a cold upstream gets no requests from this Scheduler: of the gateways
// that decide alone only one sends it some. The others learn from the leader that it is warm.
func (s *Scheduler) barred(e *engine) bool {
	if e.pacer.coldPerSecond <= 0 || !s.decidesAlone() {
		return false
	}
	interval, _ := s.coldPace(e.pacer.coldPerSecond)
	if interval == 0 || s.ranks <= 0 {
		return true
	}
	h := fnv.New32a()
	h.Write([]byte(e.ID))
	return int(h.Sum32()%uint32(s.ranks)) != s.rank-1
}

// startCold has an upstream count as cold from now on, for as long as its service declares. It
// is for upstreams that may have restarted while they got no requests.
func (s *Scheduler) startCold(now time.Time, e *engine) {
	if span, _ := s.declaredCold(e.Service); span > 0 && !e.cold.suspect() {
		s.turnCold(now, e, now.Add(span), ColdReturned)
	}
}

// turnCold has an upstream count as cold until a time. Its cache counts as empty and its speed
// as unknown, unless it is not certain that it restarted.
func (s *Scheduler) turnCold(now time.Time, e *engine, until time.Time, cause ColdCause) {
	if !until.After(now) {
		return
	}
	if e.cold.certain || cause != ColdAnsweredAgain && cause != ColdReported {
		e.speed = speed{}
		e.cache = &prefixCache{
			capacity: s.cacheCapacity(e.Service),
		}
	}
	e.cold.until, e.cold.since, e.cold.cause = until, now, cause
	e.cold.certain = false
	if cause != ColdAnsweredAgain {
		e.cold.suspectedAt = time.Time{}
	}
	s.setColdPace(now, e)
	if e.pacer.coldPerSecond > 0 {
		s.noteCold(e)
	}
}

// endCold has an upstream count as warm.
func (s *Scheduler) endCold(now time.Time, e *engine) {
	if e.pacer.coldPerSecond > 0 && !e.cold.until.IsZero() {
		s.noteCold(e)
		s.coldChanges[len(s.coldChanges)-1].Until = time.Time{}
	}
	e.cold = coldState{}
	s.setColdPace(now, e)
}

// noteCold records the upstream's present state as a change.
func (s *Scheduler) noteCold(e *engine) {
	s.coldChanges = append(s.coldChanges, ColdChange{
		Upstream: e.ID,
		Service:  e.Service,
		Cause:    e.cold.cause,
		Until:    e.cold.until,
		Since:    e.cold.since,
	})
}

// ColdChanges returns the changes since the last call, in order.
func (s *Scheduler) ColdChanges() []ColdChange {
	changes := s.coldChanges
	s.coldChanges = nil
	return changes
}

// changedAt returns the last time at which the upstream turned cold or suspect.
func (c *coldState) changedAt() time.Time {
	if c.suspectedAt.After(c.since) {
		return c.suspectedAt
	}
	return c.since
}

// setColdPace begins or ends the spacing of requests to an upstream that is cold or may be. At
// the beginning the upstream counts as if it had got a burst just now: those of a former leader
// may still be on their way. So do the requests in flight there, unless they ended with a
// former start.
func (s *Scheduler) setColdPace(now time.Time, e *engine) {
	perSecond := 0.0
	if !e.cold.until.IsZero() || e.cold.suspect() {
		_, perSecond = s.declaredCold(e.Service)
	}
	p := &e.pacer
	if before := p.coldPerSecond; before == perSecond {
		return
	} else if p.coldPerSecond = perSecond; before > 0 || perSecond == 0 {
		return
	}
	interval, tolerance := s.coldPace(perSecond)
	lately := 1
	if !e.cold.suspect() {
		lately += e.running
	}
	p.theoretical = now.Add(tolerance + min(time.Duration(lately)*interval, coldWindow))
}

// ObserveList applies what the platform's list says about cold upstreams, by identifier. It
// follows each SetUpstreams, and is called for each list that was read, also for an unchanged
// one: the list may show only after listLag that an upstream is warm, or cold again.
func (s *Scheduler) ObserveList(now time.Time, entries map[string]ColdEntry) {
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		e, entry := s.engines[id], entries[id]
		if e == nil || !e.listed {
			continue
		}
		relisted := e.cold.relisted
		e.cold.relisted = false
		until := entry.ReadAt.Add(entry.Left)
		current := !entry.ReadAt.Before(e.cold.since.Add(listLag)) // the list knows of the event
		switch {
		case e.cold.suspect(): // the entry may be of the former start
		case !entry.Stated:
			if span, _ := s.declaredCold(e.Service); relisted && span > 0 {
				s.turnCold(now, e, now.Add(span), ColdRestarted)
			}
		case entry.Left > 0 && (e.cold.until.IsZero() || relisted || current && e.cold.unsure()):
			s.turnCold(now, e, until, ColdListed)
		case entry.Left > 0 && (current || until.After(e.cold.until)):
			e.cold.until = until
		case entry.Left <= 0 && !e.cold.until.IsZero() && current:
			s.endCold(now, e)
		}
	}
	s.ExpireCold(now)
}

// ExpireCold ends the cold time of upstreams for which it has passed. It must be called
// several times a second.
func (s *Scheduler) ExpireCold(now time.Time) {
	for _, e := range s.engines {
		s.expireCold(now, e)
	}
}

// expireCold ends the upstream's cold time if it has passed. A gateway that has no leader sends the
// upstream few requests or none, doesn't notice if it restarts once more, and so waits for a leader.
func (s *Scheduler) expireCold(now time.Time, e *engine) {
	if e.cold.until.IsZero() || now.Before(e.cold.until) || s.unwatched() {
		return
	}
	s.endCold(now, e)
}

// ColdUpstreams returns the number of upstreams that count as cold now.
func (s *Scheduler) ColdUpstreams(now time.Time) int {
	n := 0
	for _, e := range s.engines {
		if e.pacer.coldPerSecond > 0 && now.Before(e.cold.until) {
			n++
		}
	}
	return n
}

// PacedRefusals returns the number of requests that were refused since all upstreams were
// paced: by their cold starts if cold is true, and otherwise by the limits that they state.
func (s *Scheduler) PacedRefusals(cold bool) uint64 {
	if cold {
		return s.pacedRefusals[ColdUpstreams]
	}
	return s.pacedRefusals[RateLimited]
}
