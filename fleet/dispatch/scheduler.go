package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/quarantine"
)

// Scheduler decides which upstream runs a request or that it is refused. It is not
// safe for concurrent use.
type Scheduler struct {
	settings Settings
	random   *rand.Rand
	table    *configuration.Table
	services map[string][]*engine
	engines  map[string]*engine
	placed   map[Key]*placedRequest
	// byDigest holds the placed requests whose digests are known.
	byDigest map[uint64][]*placedRequest
	shares   *shares
	classes  map[string]*classSizes
	speeds   map[string]*serviceSpeed
	// plain holds what is known of plain services.
	plain  map[string]*plainService
	ledger *ledger
	// meanCosts are the mean tokens of the requests placed at each service.
	meanCosts map[string]float64
	// capacity is the part of the declared throughput that rate limits and evacuations leave.
	capacity float64
	changes  []SuspensionChange
	// rank is that of the gateway among ranks gateways; both are zero at the leader.
	rank, ranks int
	coldChanges []ColdChange
	// hasList reports whether there was a list of upstreams.
	hasList bool
	// pacedRefusals counts the requests refused since all upstreams were paced, by what
	// paced them.
	pacedRefusals map[Reason]uint64
	// quarantine holds the evidence against prompt segments and requests. Started and
	// crashedTrials are requests that become evidence at a later time, in its order.
	quarantine    *quarantine.Register
	started       []startedRequest
	crashedTrials []crashedTrial
	// backoffs are those of upstreams that left the list, by identifier.
	backoffs map[string]unlistedBackoff
	// crashes is the number of crashes of upstreams, and crashTimes the times of the last.
	crashes    uint64
	crashTimes []time.Time
	// oldestAnswers are the times at which the oldest answers in flight to requests with a
	// segment began, as collected at oldestAt.
	oldestAnswers  map[quarantine.Subject]time.Time
	oldestAt       time.Time
	evidenceCounts EvidenceCounts
	// evacuatedZones are the availability zones whose upstreams get no requests.
	evacuatedZones map[string]bool
	// following reports that another Scheduler decides and keeps the evidence.
	following bool
}

// New returns a Scheduler without a configuration or upstreams. The caller must seed
// the random source and must not share it.
func New(settings Settings, random *rand.Rand) *Scheduler {
	if settings.ShareWindow == 0 {
		settings.ShareWindow = DefaultShareWindow
	}
	if settings.TrafficFraction == 0 {
		settings.TrafficFraction = 1
	}
	s := &Scheduler{
		settings: settings,
		random:   random,
		services: make(map[string][]*engine),
		engines:  make(map[string]*engine),
		placed:   make(map[Key]*placedRequest),
		byDigest: make(map[uint64][]*placedRequest),
		shares:   newShares(settings.ShareWindow),
		classes:  make(map[string]*classSizes),
		capacity: 1,
		speeds:   make(map[string]*serviceSpeed),
		plain:    make(map[string]*plainService),

		meanCosts: make(map[string]float64),
		backoffs:  make(map[string]unlistedBackoff),

		pacedRefusals: make(map[Reason]uint64),
		quarantine:    quarantine.New(),
	}
	if settings.RecordShortfalls {
		s.ledger = newLedger(schedulerBuckets)
	}
	return s
}

// SetTrafficFraction sets the fraction of the fleet's requests that this Scheduler
// sees, greater than 0 and at most 1.
func (s *Scheduler) SetTrafficFraction(fraction float64) { s.settings.TrafficFraction = fraction }

// SetConfiguration applies a configuration. It discards the size statistics of
// classes and resizes the modelled prefix caches.
func (s *Scheduler) SetConfiguration(t *configuration.Table) {
	s.table = t
	s.classes = make(map[string]*classSizes) // the configuration may have renamed them
	s.prunePlain(t)
	for _, e := range s.engines {
		e.cache.capacity = s.cacheCapacity(e.Service)
		s.setColdPace(e.cold.changedAt(), e)
		s.setAllowance(e)
	}
}

// cacheCapacity returns the tokens that an engine of a service is expected to hold in
// its KV cache, or 0 if the service is unknown or runs no model engine.
func (s *Scheduler) cacheCapacity(service string) float64 {
	if s.table == nil {
		return 0
	}
	known := s.table.Service(service)
	if known == nil || known.Engine == nil {
		return 0
	}
	return cacheFraction * float64(known.Engine.KVTokens)
}

// SetUpstreams replaces the list of upstreams by the platform's. Upstreams that are no
// longer listed get no new requests. They are removed by the first call that finds them
// without requests in flight.
func (s *Scheduler) SetUpstreams(listed []Upstream) {
	present := make(map[string]bool, len(listed))
	for _, u := range listed {
		present[u.ID] = true
		e := s.engine(u.ID)
		if e.Address == "" { // listed for the first time
			e.cache.capacity = s.cacheCapacity(u.Service)
			e.cold.relisted = s.hasList
			s.restoreBackoff(e, u)
		} else if e.restarted(u) {
			s.keepBackoff(e)
			e.restart(s.cacheCapacity(u.Service))
			s.restoreBackoff(e, u)
		}
		e.Upstream = u
		e.listed = true
		e.evacuated = s.evacuatedZones[u.Zone]
		s.setColdPace(e.cold.changedAt(), e)
		s.setAllowance(e)
	}
	s.hasList = true
	for id, e := range s.engines {
		e.listed = present[id]
	}
	s.services = make(map[string][]*engine)
	for id, e := range s.engines {
		if !e.listed {
			if e.running == 0 {
				s.keepBackoff(e)
				delete(s.engines, id)
			}
			continue
		}
		s.services[e.Service] = append(s.services[e.Service], e)
	}
	for _, engines := range s.services {
		slices.SortFunc(engines, func(a, b *engine) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// Place decides on a request that arrives now. Requests with prompt tokens go to model
// engines, all others to plain services.
func (s *Scheduler) Place(now time.Time, gateway string, r Request) Decision {
	s.WeighEvidence(now)
	verdict, record := s.checkQuarantine(now, r)
	switch {
	case verdict > quarantine.Trial:
		return s.refuseQuarantined(now, r, verdict, record)
	case r.Continues && r.Version == "":
		return s.refuse(now, r, UnknownVersion, s.inputs(r, choice{}))
	}
	d := s.placeAllowed(now, gateway, r, verdict == quarantine.Trial)
	if r.Stream != 0 && !r.Continues && d.Upstream != "" {
		d.VersionUncertain = !s.engines[d.Upstream].versionCertain()
	}
	return d
}

// placeAllowed decides on a request that is not refused for what it is. Trial reports whether it is
// a trial of quarantined subjects.
func (s *Scheduler) placeAllowed(now time.Time, gateway string, r Request, trial bool) Decision {
	if r.Prompt.Tokens == 0 {
		return s.placePlain(now, gateway, r, trial)
	}
	return s.placeModel(now, gateway, r, trial)
}

// refuse returns the Decision to refuse a request. The retry delay is drawn at random
// from a range, so that refused callers don't all retry at once; for a request refused for
// its team's share or lead the range is a part of its objective, so that a retry can be on
// time.
func (s *Scheduler) refuse(now time.Time, r Request, reason Reason, in Inputs) Decision {
	if r.countsForTeam() {
		s.ledger.refused(now, r.Team, refusalFor(reason))
	}
	first, last := float64(minRetryAfter), float64(maxRetryAfter)
	refuseFor := time.Duration(0)
	switch reason {
	case OverShare:
		refuseFor = refuseForTime
		fallthrough
	case AheadOfOthers:
		first, last = MinRetryFraction*float64(r.Objective), MaxRetryFraction*float64(r.Objective)
	}
	retryAfter := time.Duration(first + s.random.Float64()*(last-first))
	if reason == VersionUnavailable {
		retryAfter = 0
	}
	return Decision{
		ID:         r.ID,
		Reason:     reason,
		RetryAfter: retryAfter,
		RefuseFor:  refuseFor,
		Inputs:     in,
	}
}

// tokenCost returns the tokens charged to a request's team: the prompt tokens and twice
// the expected output tokens.
func tokenCost(p Prompt) float64 { return float64(p.Tokens) + 2*p.ExpectedOutput() }

// placeModel decides on a request to a model engine. Trial reports whether it is a trial
// of quarantined subjects.
func (s *Scheduler) placeModel(now time.Time, gateway string, r Request, trial bool) Decision {
	if r.countsForTeam() {
		s.ledger.requested(now, r.Team, tokenCost(r.Prompt))
	}
	overShare := s.checkShare(now, r)
	best := s.bestEngine(now, r, trial, s.startReserve(r, overShare))
	in := s.inputs(r, best)
	if best.engine == nil {
		if best.paced == nil {
			return s.refuse(now, r, s.missingUpstream(r), in)
		}
		s.markRefused(now, r)
		return s.refusePaced(now, r, best, overShare, in)
	}
	delay := prefillTime(best.prefillBacklog, best.speed)
	in.QueueDelay, in.PrefillTime = delay, prefillTime(best.uncached, best.speed)
	class := s.class(r.Class)
	size := prefillTime(class.observe(now, float64(r.Prompt.Tokens), best.uncached), best.speed)
	if r.Resumed && r.Continues && delay > busyBound(r, size) {
		return s.refuse(now, r, Busy, in)
	}
	if !r.Resumed {
		if reason := s.refusalReason(r, best.engine, delay, size, overShare); reason != "" {
			s.markRefused(now, r)
			return s.refuse(now, r, reason, in)
		}
	}
	class.admit(float64(r.Prompt.Tokens))
	key := Key{
		Gateway: gateway,
		ID:      r.ID,
	}
	p := s.place(now, Placement{
		Key:      key,
		Upstream: best.engine.ID,
		Team:     r.Team,
		Prompt:   r.Prompt,
		Digest:   r.Digest,
	}, best.uncached)
	p.objectiveAt = now.Add(r.Objective)
	s.charge(now, p)
	s.observeCost(r.Service, tokenCost(r.Prompt))
	s.admit(now, p)
	if trial {
		s.startTrial(now, p)
	}
	return Decision{
		ID:       r.ID,
		Upstream: best.engine.ID,
		Inputs:   in,
	}
}

// markRefused marks the request's team as backlogged.
func (s *Scheduler) markRefused(now time.Time, r Request) {
	if r.Team != "" {
		s.shares.team(r.Team).lastRefused = s.shares.bucketAt(now)
	}
}

// refusalReason returns why a request is refused, or "" if it is placed. Delay is the
// time for which its best engine is busy with prompts placed before it. Size is the
// time that counts for the prefill of its own prompt. OverShare reports whether its
// team was admitted its share or more.
func (s *Scheduler) refusalReason(r Request, e *engine, delay, size time.Duration, overShare bool) Reason {
	objective := float64(r.Objective)
	allowed, trails := 1.0, false
	if r.Team != "" {
		t := s.shares.team(r.Team)
		allowed, trails = queueFraction(s.shares.lead(t)), s.shares.trailsAnother(t)
	}
	switch {
	case overShare && trails:
		// The prompt's own length is left out, so that an idle engine takes one of any
		// length: the engine would otherwise go to the team that is ahead.
		if delay > time.Duration(allowed*float64(s.idleBound(r, e))) {
			return OverShare
		}
	case overShare && delay+size > s.idleBound(r, e):
		return OverShare
	case allowed < 1 && delay > time.Duration(allowed*objectiveFraction*objective):
		return AheadOfOthers
	case delay > busyBound(r, size):
		return Busy
	}
	return ""
}

// busyBound returns the longest queueing delay at which a request is placed. Size is the time
// that counts for the prefill of its own prompt.
func busyBound(r Request, size time.Duration) time.Duration {
	objective := float64(r.Objective)
	return max(time.Duration(objectiveFraction*objective)-size, time.Duration(longPromptFraction*objective))
}

// idleBound returns the prefill time up to which an engine counts as idle and so takes
// the request of a team that is over its share.
func (s *Scheduler) idleBound(r Request, e *engine) time.Duration {
	fraction := idleFraction
	if e.Zone != r.Zone {
		fraction = remoteIdleFraction
	}
	return time.Duration(fraction * float64(r.Objective) * s.shares.lenience(s.shares.team(r.Team)))
}

// inputs returns the values that a decision on a request is based on.
func (s *Scheduler) inputs(r Request, best choice) Inputs {
	in := Inputs{
		Usable:    best.usable,
		Objective: r.Objective,
		Running:   int(best.running),
	}
	if r.Team != "" && s.shares.level > 0 {
		t := s.shares.team(r.Team)
		in.Admitted = int64(t.admitted.total)
		in.Share = int64(min(s.shares.level, maxShare))
		in.Lead = s.shares.lead(t)
	}
	return in
}

// checkShare adds a request to its team's demand and reports whether the team was
// already admitted its share or more within the window. Resumed requests add no demand,
// since they were counted when they were first placed.
func (s *Scheduler) checkShare(now time.Time, r Request) bool {
	if r.Team == "" || s.table == nil {
		return false
	}
	span := s.settings.ShareWindow.Seconds()
	declared := s.table.Configuration.Limits.TokensPerSecond
	if s.shares.levelBucket != s.shares.bucketAt(now) {
		s.capacity = s.capacityFraction(declared)
	}
	capacity := declared * s.capacity * span * s.settings.TrafficFraction
	s.shares.update(now, capacity)
	if capacity <= 0 {
		return false
	}
	t := s.shares.team(r.Team)
	bucket := s.shares.bucketAt(now)
	tokens := tokenCost(r.Prompt)
	if !r.Resumed {
		t.demand.add(bucket, tokens)
	}
	t.admitted.advance(bucket)
	return t.admitted.total >= s.shares.level
}

// class returns the size statistics of a class.
func (s *Scheduler) class(name string) *classSizes {
	k := s.classes[name]
	if k == nil {
		k = &classSizes{}
		s.classes[name] = k
	}
	return k
}
