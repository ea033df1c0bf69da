package dispatch

import "time"

// placed is a request that is at an upstream.
type placed struct {
	engine  *engine
	unread  float64
	reading bool
	begun   bool // its answer has
	// ahead is the tokens that the engine had to read when the request was placed, its
	// own included, and since when that was.
	ahead  float64
	since  time.Time
	prompt Prompt
	// onTimeUntil is the time at which its objective passes; zero is not known.
	onTimeUntil time.Time
	// kept is the engine's memory at the start at which it got the request, and used
	// the pieces there.
	kept *prefixes
	used []*piece
	team string
	// slot is the one in which the request was counted as admitted to its team; zero
	// if it was not.
	slot int64
}

// hasRead notes that the engine has read the prompt.
func (p *placed) hasRead() {
	for _, x := range p.used {
		x.read = true
	}
}

// admit counts a request as admitted to its team, until it ends without having
// begun.
func (c *Scheduler) admit(now time.Time, p *placed) {
	if p.team == "" || p.prompt.Tokens == 0 {
		return
	}
	p.slot = c.shares.slot(now)
	t := c.shares.team(p.team)
	t.admitted.add(p.slot, cost(p.prompt))
	c.shares.charge(t, cost(p.prompt))
}

// giveBack takes back what a request was counted for that has not begun.
func (c *Scheduler) giveBack(p *placed) {
	if !p.reading || p.slot == 0 {
		return
	}
	if t := c.shares.teams[p.team]; t != nil {
		t.admitted.remove(p.slot, cost(p.prompt))
		t.tag -= cost(p.prompt)
	}
}

// place notes that a request goes to an upstream.
func (c *Scheduler) place(now time.Time, key Key, e *engine, team string, prompt Prompt, unread float64) *placed {
	if old := c.end(key); old != nil {
		c.giveBack(old)
	}
	e.unread += unread
	e.running++
	if !e.suspendedUntil.IsZero() {
		e.probing = true
	}
	p := &placed{
		engine:  e,
		unread:  unread,
		reading: unread > 0,
		ahead:   e.unread,
		since:   now,
		prompt:  prompt,
		kept:    e.kept,
		used:    e.kept.use(prompt),
		team:    team,
	}
	c.placed[key] = p
	return p
}

// RecordPlacement takes a placement that another core has decided on. Counted tells that the
// accounts of teams have it already.
func (c *Scheduler) RecordPlacement(now time.Time, s Placement, counted bool) {
	e := c.known(s.Upstream)
	unread := 0.0
	if !s.Started && s.Prompt.Tokens > 0 {
		unread, _ = e.kept.unreadTokens(s.Prompt)
	}
	p := c.place(now, s.Key, e, s.Team, s.Prompt, unread)
	if s.Started {
		p.begun = true
		p.hasRead()
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
	if p == nil || p.begun {
		return
	}
	p.begun = true
	c.record(now, p)
	if !p.reading {
		return
	}
	p.reading = false
	p.hasRead()
	p.engine.unread = max(0, p.engine.unread-p.unread)
	c.worked(p.engine)
	// A core that sees a part of the requests doesn't know what was ahead.
	if c.settings.TrafficFraction >= 1 {
		c.speedsOf(p.engine.Service).observe(now, p.engine, p.ahead, now.Sub(p.since))
	}
}

// record enters a request that begins into the ledger.
func (c *Scheduler) record(now time.Time, p *placed) {
	if p.team == "" || p.prompt.Tokens == 0 {
		return
	}
	c.ledger.began(now, p.team, cost(p.prompt))
	if !p.onTimeUntil.IsZero() && now.After(p.onTimeUntil) {
		c.ledger.waited(p.onTimeUntil, now, p.team)
	}
}

// worked notes that an upstream has answered.
func (c *Scheduler) worked(e *engine) {
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

func (c *Scheduler) end(key Key) *placed {
	p := c.placed[key]
	if p == nil {
		return nil
	}
	delete(c.placed, key)
	if p.reading {
		p.engine.unread = max(0, p.engine.unread-p.unread)
	}
	p.engine.running--
	p.kept.release(p.used, p.prompt)
	return p
}

// RecordEnd takes how an upstream's work on a request ended.
func (c *Scheduler) RecordEnd(now time.Time, key Key, ending Outcome) {
	p := c.end(key)
	if p == nil {
		return
	}
	if ending != Answered {
		c.giveBack(p)
	}
	e := p.engine
	switch ending {
	case Answered:
		c.worked(e)
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
	span := min(firstSuspension<<min(e.failures-failuresToSuspend, 8), longestSuspension)
	if !c.anotherUsable(now, e) {
		// Nobody is better off while the service has no other upstream.
		span = firstSuspension
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

// anotherUsable reports whether the upstream's service has another one that takes
// requests.
func (c *Scheduler) anotherUsable(now time.Time, e *engine) bool {
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
			c.end(key)
			c.giveBack(p)
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
			Started:  !p.reading,
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
			t.PrefillBacklog += int64(e.unread)
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
