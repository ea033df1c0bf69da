package dispatch

import "time"

// placedRequest is a request in flight at an upstream.
type placedRequest struct {
	engine     *engine
	start      int     // engine.starts when it was placed
	uncached   float64 // prompt tokens to be prefilled
	prefilling bool    // counted in the engine's backlog
	started    bool    // the response has begun
	startedAt  time.Time
	trial      bool // counts as a trial of quarantined subjects
	charged    bool // counted against the engine's rate limit
	// backlogAtPlacement is the engine's prefill backlog in tokens, this request's
	// included, at the time placedAt.
	backlogAtPlacement float64
	elsewhere          bool // placed by another Scheduler, maybe a while before placedAt
	// runningAtPlacement is the number of requests at the upstream of a plain service, this
	// one included, when it was placed, or zero if it is not known.
	runningAtPlacement float64
	class              string
	placedAt           time.Time
	prompt             Prompt
	digest             uint64
	// objectiveAt is the time at which the objective passes, or zero if unknown.
	objectiveAt time.Time
	// cache is the prefix cache of the engine when it got the request, which a restart
	// replaces; segments are the entries that the request holds there.
	cache    *prefixCache
	segments []*cacheSegment
	team     string
	// bucket is the window bucket in which the request was counted as admitted to its team,
	// or zero if it was not counted.
	bucket int64
}

// markPrefilled marks the request's segments as present in the engine's cache.
func (p *placedRequest) markPrefilled() {
	for _, segment := range p.segments {
		segment.prefilled = true
	}
}

// admit counts a request's tokens as admitted to its team. They are refunded if the
// request ends before its response has begun.
func (s *Scheduler) admit(now time.Time, p *placedRequest) {
	if p.team == "" || p.prompt.Tokens == 0 {
		return
	}
	p.bucket = s.shares.bucketAt(now)
	t := s.shares.team(p.team)
	t.admitted.add(p.bucket, tokenCost(p.prompt))
	s.shares.charge(t, tokenCost(p.prompt))
}

// refund takes a request's tokens off its team's admitted ones, unless its response has
// begun.
func (s *Scheduler) refund(p *placedRequest) {
	if p.prefilling {
		s.refundAll(p)
	}
}

// refundAll takes a request's tokens off its team's admitted ones.
func (s *Scheduler) refundAll(p *placedRequest) {
	if p.bucket == 0 {
		return
	}
	if t := s.shares.teams[p.team]; t != nil {
		t.admitted.remove(p.bucket, tokenCost(p.prompt))
		t.startTag -= tokenCost(p.prompt)
	}
}

// place adds a request to an upstream's load. It replaces an earlier placement under the
// same key, which was not sent, and refunds that one's tokens.
func (s *Scheduler) place(now time.Time, placement Placement, uncached float64) *placedRequest {
	e := s.engine(placement.Upstream)
	if old := s.remove(placement.Key); old != nil {
		s.refund(old)
		s.refundStart(now, old)
		s.abortTrial(now, old)
	}
	e.prefillBacklog += uncached
	e.running++
	e.placedAt = now
	if !e.suspendedUntil.IsZero() {
		e.probing = true
	}
	p := &placedRequest{
		engine:             e,
		start:              e.starts,
		uncached:           uncached,
		prefilling:         uncached > 0,
		backlogAtPlacement: e.prefillBacklog,
		placedAt:           now,
		prompt:             placement.Prompt,
		digest:             placement.Digest,
		class:              placement.Class,
		cache:              e.cache,
		segments:           e.cache.acquire(placement.Prompt),
		team:               placement.Team,
	}
	s.placed[placement.Key] = p
	s.addDigest(p)
	return p
}

// RecordPlacement adds a placement that another Scheduler decided on. Counted reports
// whether the accounts of teams include it already.
func (s *Scheduler) RecordPlacement(now time.Time, placement Placement, counted bool) {
	e := s.engine(placement.Upstream)
	uncached := 0.0
	if !placement.Started && placement.Prompt.Tokens > 0 {
		uncached, _ = e.cache.uncachedTokens(placement.Prompt)
	}
	p := s.place(now, placement, uncached)
	p.elsewhere = counted || !s.decidesAlone()
	if !counted {
		s.charge(now, p)
	}
	if placement.Started {
		p.started = true
		p.startedAt = now
		p.markPrefilled()
	}
	if !counted {
		s.admit(now, p)
	}
}

// charge counts a placed request against its upstream's rate limit.
func (s *Scheduler) charge(now time.Time, p *placedRequest) {
	p.charged = p.engine.pacer.paced()
	p.engine.recent.add(now)
	s.chargeStart(now, p.engine)
}

// IsPlaced reports whether a request is in flight at an upstream.
func (s *Scheduler) IsPlaced(key Key) bool { return s.placed[key] != nil }

// RecordStart records that the upstream began to respond to a request, and so has
// prefilled its prompt. It does nothing if the request is unknown or its response had
// begun before.
func (s *Scheduler) RecordStart(now time.Time, key Key) {
	p := s.placed[key]
	if p == nil || p.started {
		return
	}
	p.started = true
	p.startedAt = now
	s.noteStart(now, key, p)
	s.recordReceived(now, p)
	if p.start == p.engine.starts {
		p.noteAnswer(now)
	}
	if !p.prefilling {
		return
	}
	p.prefilling = false
	p.markPrefilled()
	p.engine.prefillBacklog = max(0, p.engine.prefillBacklog-p.uncached)
	if p.start != p.engine.starts {
		return
	}
	s.weighSuspicion(now, p, false)
	s.markWorking(p.engine)
	// The backlog at placement is only known if all requests are seen.
	if s.settings.TrafficFraction >= 1 {
		s.serviceSpeed(p.engine.Service).observe(now, p.engine, p.backlogAtPlacement, now.Sub(p.placedAt))
	}
}

// recordReceived adds a request whose response begins to the ledger.
func (s *Scheduler) recordReceived(now time.Time, p *placedRequest) {
	if p.team == "" || p.prompt.Tokens == 0 {
		return
	}
	s.ledger.started(now, p.team, tokenCost(p.prompt))
	if !p.objectiveAt.IsZero() && now.After(p.objectiveAt) {
		s.ledger.waited(p.objectiveAt, now, p.team)
	}
}

// markWorking resets the failure count of an upstream that responded and ends its
// suspension.
func (s *Scheduler) markWorking(e *engine) {
	if !e.suspendedUntil.IsZero() {
		s.changes = append(s.changes, SuspensionChange{
			Upstream: e.ID,
			Service:  e.Service,
			Failures: e.failures,
		})
	}
	e.failures = 0
	e.suspendedUntil = time.Time{}
	e.probing = false
}

// remove takes a request off its upstream's load and returns it, or nil if it is unknown.
func (s *Scheduler) remove(key Key) *placedRequest {
	p := s.placed[key]
	if p == nil {
		return nil
	}
	delete(s.placed, key)
	s.removeDigest(p)
	if p.prefilling {
		p.engine.prefillBacklog = max(0, p.engine.prefillBacklog-p.uncached)
	}
	p.engine.running--
	p.cache.release(p.segments, p.prompt)
	return p
}

// RecordEnd records the outcome of a request and removes it. An upstream that could not
// be reached or lost its address is suspended at once; one that failed otherwise is
// suspended after failuresToSuspend failures in a row, or after a single failed probe,
// unless it has restarted since. RecordEnd does nothing if the request is unknown.
func (s *Scheduler) RecordEnd(now time.Time, key Key, outcome Outcome) {
	p := s.remove(key)
	if p == nil {
		return
	}
	switch outcome {
	case Answered, AnsweredError:
	case Crashed:
		s.refundAll(p) // the retry is admitted again
	default:
		s.refund(p)
	}
	s.recordEvidence(now, p, outcome)
	e := p.engine
	if p.start != e.starts {
		return
	}
	p.doubtVersion(now, outcome)
	if outcome == NotRun && e.pacer.limited() {
		e.probing = false // it enforces its limit, which is no failure
		return
	}
	switch outcome {
	case Unsent, Unreachable, ConnectionRefused:
		s.refundStart(now, p)
	}
	switch outcome {
	case Answered, AnsweredError:
		s.weighSuspicion(now, p, true)
		s.markWorking(e)
	case CallerLeft, Unsent:
		e.probing = false
	case Unreachable, AddressReassigned, Crashed, ConnectionRefused:
		s.suspend(now, e, outcome)
	case NotRun, Broken, Failed, ResponseTimeout:
		if !now.Before(e.suspendedUntil) {
			e.failures++
		}
		if e.failures >= failuresToSuspend || e.probing {
			s.suspend(now, e, outcome)
		}
	}
	s.suspectRestart(now, e, p.sentAfter(), outcome)
}

// suspend keeps requests from an upstream for a time that doubles with each failure in a
// row. Requests sent before a suspension that fail during it belong to the same failure
// and don't lengthen it.
func (s *Scheduler) suspend(now time.Time, e *engine, cause Outcome) {
	if now.Before(e.suspendedUntil) {
		return
	}
	e.probing = false
	e.failures = max(e.failures, failuresToSuspend)
	longest := maxSuspension
	if cause == ConnectionRefused {
		longest = maxRefusedSuspension
	}
	span := min(minSuspension<<min(e.failures-failuresToSuspend, 8), longest)
	if !s.hasAlternative(now, e) {
		// A longer suspension gains nothing while the service has no other usable
		// upstream.
		span = minSuspension
	}
	e.failures++
	e.suspendedUntil = now.Add(span)
	s.changes = append(s.changes, SuspensionChange{
		Upstream: e.ID,
		Service:  e.Service,
		Until:    e.suspendedUntil,
		Failures: e.failures,
		Cause:    cause,
	})
}

// hasAlternative reports whether the service of e has another usable upstream.
func (s *Scheduler) hasAlternative(now time.Time, e *engine) bool {
	for _, other := range s.services[e.Service] {
		if other != e && other.usable(now, false) {
			return true
		}
	}
	return false
}

// SuspensionChange is the beginning or the end of an upstream's suspension.
type SuspensionChange struct {
	Upstream string
	Service  string
	// Until is the time from which the upstream may be probed; zero if the suspension
	// ended.
	Until time.Time
	// Failures is the number of failures in a row.
	Failures int
	// Cause is the outcome that led to the suspension.
	Cause Outcome
}

// SuspensionChanges returns the changes since the last call, in order.
func (s *Scheduler) SuspensionChanges() []SuspensionChange {
	changes := s.changes
	s.changes = nil
	return changes
}

// RemoveGateway removes all requests of a gateway that is gone and refunds those whose
// responses had not begun.
func (s *Scheduler) RemoveGateway(now time.Time, gateway string) {
	for key, p := range s.placed {
		if key.Gateway == gateway {
			s.remove(key)
			s.refund(p)
			s.abortTrial(now, p)
		}
	}
}

// Placement is a request in flight at an upstream, as Schedulers report it to each other.
type Placement struct {
	Key
	Upstream string
	// Team is empty for requests that belong to no team.
	Team   string
	Prompt Prompt
	Digest uint64
	// Class is that of the Request, or empty if it is not known.
	Class string
	// Started reports whether the response has begun.
	Started bool
}

// Placements returns all requests in flight at upstreams, in no particular order.
func (s *Scheduler) Placements() []Placement {
	out := make([]Placement, 0, len(s.placed))
	for key, p := range s.placed {
		out = append(out, Placement{
			Key:      key,
			Upstream: p.engine.ID,
			Team:     p.team,
			Prompt:   p.prompt,
			Digest:   p.digest,
			Started:  !p.prefilling,
		})
	}
	return out
}

// ShareLevel returns the max-min fair level, that is the largest number of tokens that
// one team may receive within the window, at most maxShare, and the number of teams with
// an account.
func (s *Scheduler) ShareLevel() (tokens float64, teams int) {
	return min(s.shares.level, maxShare), len(s.shares.teams)
}
