package dispatch

import "time"

// placedRequest is a request that is at an upstream.
type placedRequest struct {
	engine     *engine
	uncached   float64
	prefilling bool
	started    bool // its answer has
	// backlogAtPlacement is the tokens that the engine had to read when the request was placed, its
	// own included, and since when that was.
	backlogAtPlacement float64
	placedAt           time.Time
	prompt             Prompt
	// objectiveAt is the time at which its objective passes; zero is not known.
	objectiveAt time.Time
	// cache is the engine's memory at the start at which it got the request, and used
	// the pieces there.
	cache    *prefixCache
	segments []*cacheSegment
	team     string
	// slot is the one in which the request was counted as admitted to its team; zero
	// if it was not.
	slot int64
}

// markPrefilled notes that the engine has read the prompt.
func (p *placedRequest) markPrefilled() {
	for _, x := range p.segments {
		x.prefilled = true
	}
}

// admit counts a request as admitted to its team, until it ends without having
// begun.
func (c *Scheduler) admit(now time.Time, p *placedRequest) {
	if p.team == "" || p.prompt.Tokens == 0 {
		return
	}
	p.slot = c.shares.slot(now)
	t := c.shares.team(p.team)
	t.admitted.add(p.slot, tokenCost(p.prompt))
	c.shares.charge(t, tokenCost(p.prompt))
}

// refund takes back what a request was counted for that has not begun.
func (c *Scheduler) refund(p *placedRequest) {
	if !p.prefilling || p.slot == 0 {
		return
	}
	if t := c.shares.teams[p.team]; t != nil {
		t.admitted.remove(p.slot, tokenCost(p.prompt))
		t.startTag -= tokenCost(p.prompt)
	}
}

// place notes that a request goes to an upstream.
func (c *Scheduler) place(now time.Time, key Key, e *engine, team string, prompt Prompt, unread float64) *placedRequest {
	if old := c.remove(key); old != nil {
		c.refund(old)
	}
	e.prefillBacklog += unread
	e.running++
	if !e.suspendedUntil.IsZero() {
		e.probing = true
	}
	p := &placedRequest{
		engine:             e,
		uncached:           unread,
		prefilling:         unread > 0,
		backlogAtPlacement: e.prefillBacklog,
		placedAt:           now,
		prompt:             prompt,
		cache:              e.cache,
		segments:           e.cache.acquire(prompt),
		team:               team,
	}
	c.placed[key] = p
	return p
}

// RecordPlacement takes a placement that another core has decided on. Counted tells that the
// accounts of teams have it already.
func (c *Scheduler) RecordPlacement(now time.Time, s Placement, counted bool) {
	e := c.engine(s.Upstream)
	unread := 0.0
	if !s.Started && s.Prompt.Tokens > 0 {
		unread, _ = e.cache.uncachedTokens(s.Prompt)
	}
	p := c.place(now, s.Key, e, s.Team, s.Prompt, unread)
	if s.Started {
		p.started = true
		p.markPrefilled()
	}
	if !counted {
		c.admit(now, p)
	}
}

// IsPlaced reports whether a request is at an upstream.
func (c *Scheduler) IsPlaced(key Key) bool { return c.placed[key] != nil }

// RecordStart takes that the upstream has begun to answer.
func (c *Scheduler) RecordStart(now time.Time, key Key) {
	p := c.placed[key]
	if p == nil || p.started {
		return
	}
	p.started = true
	c.recordReceived(now, p)
	if !p.prefilling {
		return
	}
	p.prefilling = false
	p.markPrefilled()
	p.engine.prefillBacklog = max(0, p.engine.prefillBacklog-p.uncached)
	c.markWorking(p.engine)
	// A core that sees a part of the requests doesn't know what was ahead.
	if c.settings.TrafficFraction >= 1 {
		c.serviceSpeed(p.engine.Service).observe(now, p.engine, p.backlogAtPlacement, now.Sub(p.placedAt))
	}
}

// recordReceived enters a request that begins into the ledger.
func (c *Scheduler) recordReceived(now time.Time, p *placedRequest) {
	if p.team == "" || p.prompt.Tokens == 0 {
		return
	}
	c.ledger.started(now, p.team, tokenCost(p.prompt))
	if !p.objectiveAt.IsZero() && now.After(p.objectiveAt) {
		c.ledger.waited(p.objectiveAt, now, p.team)
	}
}

// markWorking notes that an upstream has answered.
func (c *Scheduler) markWorking(e *engine) {
	if !e.suspendedUntil.IsZero() {
		c.changes = append(c.changes, SuspensionChange{
			Upstream: e.ID,
			Service:  e.Service,
			Failures: e.failures,
		})
	}
	e.failures = 0
	e.suspendedUntil = time.Time{}
	e.probing = false
}

func (c *Scheduler) remove(key Key) *placedRequest {
	p := c.placed[key]
	if p == nil {
		return nil
	}
	delete(c.placed, key)
	if p.prefilling {
		p.engine.prefillBacklog = max(0, p.engine.prefillBacklog-p.uncached)
	}
	p.engine.running--
	p.cache.release(p.segments, p.prompt)
	return p
}

// RecordEnd takes how an upstream's work on a request ended.
func (c *Scheduler) RecordEnd(now time.Time, key Key, ending Outcome) {
	p := c.remove(key)
	if p == nil {
		return
	}
	if ending != Answered {
		c.refund(p)
	}
	e := p.engine
	switch ending {
	case Answered:
		c.markWorking(e)
	case CallerLeft, Unsent:
		e.probing = false
	case Unreachable, AddressReassigned:
		c.suspend(now, e, ending)
	case NotRun, Broken, Failed, ResponseTimeout:
		if !now.Before(e.suspendedUntil) {
			e.failures++
		}
		if e.failures >= failuresToSuspend || e.probing {
			c.suspend(now, e, ending)
		}
	}
}

// suspend keeps requests from an upstream for a while. What was sent before a
// suspension and fails during it is part of the same failure.
func (c *Scheduler) suspend(now time.Time, e *engine, ending Outcome) {
	if now.Before(e.suspendedUntil) {
		return
	}
	e.probing = false
	e.failures = max(e.failures, failuresToSuspend)
	span := min(minSuspension<<min(e.failures-failuresToSuspend, 8), maxSuspension)
	if !c.hasAlternative(now, e) {
		// Nobody is better off while the service has no other upstream.
		span = minSuspension
	}
	e.failures++
	e.suspendedUntil = now.Add(span)
	c.changes = append(c.changes, SuspensionChange{
		Upstream: e.ID,
		Service:  e.Service,
		Until:    e.suspendedUntil,
		Failures: e.failures,
		Cause:    ending,
	})
}

// hasAlternative reports whether the upstream's service has another one that takes
// requests.
func (c *Scheduler) hasAlternative(now time.Time, e *engine) bool {
	for _, other := range c.services[e.Service] {
		if other != e && other.usable(now, false) {
			return true
		}
	}
	return false
}

// SuspensionChange tells that an upstream gets no requests for a while, or works again.
type SuspensionChange struct {
	Upstream string
	Service  string
	// Until is when it may be tried again; zero when it works again.
	Until time.Time
	// Failures counts those in a row.
	Failures int
	// Cause is how the last request there ended.
	Cause Outcome
}

// SuspensionChanges returns what changed since the last call.
func (c *Scheduler) SuspensionChanges() []SuspensionChange {
	changes := c.changes
	c.changes = nil
	return changes
}

// RemoveGateway forgets the requests of a gateway that is gone.
func (c *Scheduler) RemoveGateway(gateway string) {
	for key, p := range c.placed {
		if key.Gateway == gateway {
			c.remove(key)
			c.refund(p)
		}
	}
}

// Placement is a request that is at an upstream.
type Placement struct {
	Key
	Upstream string
	// Team is empty for requests without one.
	Team   string
	Prompt Prompt
	// Started tells that the answer has begun.
	Started bool
}

// Placements returns all requests that are at upstreams, in no order.
func (c *Scheduler) Placements() []Placement {
	out := make([]Placement, 0, len(c.placed))
	for key, p := range c.placed {
		out = append(out, Placement{
			Key:      key,
			Upstream: p.engine.ID,
			Team:     p.team,
			Prompt:   p.prompt,
			Started:  !p.prefilling,
		})
	}
	return out
}

// ServiceLoad sums what a Core knows of one service's upstreams.
type ServiceLoad struct {
	Service string
	// Listed are the upstreams in the platform's list, Usable those that take
	// requests now.
	Listed int
	Usable int
	// Slots is how many requests the listed ones run at once, Running how many they
	// have.
	Slots   int
	Running int
	// PrefillBacklog are prompt tokens that were sent to them and not begun to be answered.
	PrefillBacklog int64
}

// ServiceLoads returns the sums of all services with listed upstreams, in no order.
func (c *Scheduler) ServiceLoads(now time.Time) []ServiceLoad {
	out := make([]ServiceLoad, 0, len(c.services))
	for service, engines := range c.services {
		t := ServiceLoad{
			Service: service,
			Listed:  len(engines),
		}
		for _, e := range engines {
			if e.usable(now, true) {
				t.Usable++
			}
			t.Slots += e.Slots
			t.Running += e.running
			t.PrefillBacklog += int64(e.prefillBacklog)
		}
		out = append(out, t)
	}
	return out
}

// ShareLevel returns the largest number of tokens that one team may have within the
// window, and how many teams are counted.
func (c *Scheduler) ShareLevel() (tokens float64, teams int) {
	return min(c.shares.level, maxShare), len(c.shares.teams)
}
