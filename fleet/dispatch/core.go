package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"baobabpaddle/fleet/configuration"
)

// placed is a request that is at an upstream.
type placed struct {
	engine  *engine
	unread  float64
	reading bool
	prompt  Prompt
}

// Core decides where requests go. It is not safe for use by several goroutines.
type Core struct {
	settings Settings
	random   *rand.Rand
	table    *configuration.Table
	services map[string][]*engine
	engines  map[string]*engine
	placed   map[Key]*placed
	shares   *shares
	classes  map[string]*class
}

// New returns a core without a configuration or upstreams. The random source
// must be seeded by the caller and not shared.
func New(settings Settings, random *rand.Rand) *Core {
	if settings.ShareWindow == 0 {
		settings.ShareWindow = DefaultShareWindow
	}
	if settings.Portion == 0 {
		settings.Portion = 1
	}
	return &Core{
		settings: settings,
		random:   random,
		services: make(map[string][]*engine),
		engines:  make(map[string]*engine),
		placed:   make(map[Key]*placed),
		shares:   newShares(settings.ShareWindow),
		classes:  make(map[string]*class),
	}
}

// SetPortion tells which part of the fleet's requests this core sees.
func (c *Core) SetPortion(portion float64) { c.settings.Portion = portion }

// SetConfiguration puts a configuration in force.
func (c *Core) SetConfiguration(t *configuration.Table) {
	c.table = t
	c.classes = make(map[string]*class) // they may have other names now
	for _, e := range c.engines {
		e.kept.capacity = c.keptTokens(e.Service)
	}
}

func (c *Core) keptTokens(service string) float64 {
	if c.table == nil {
		return 0
	}
	s := c.table.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	return keptPart * float64(s.Engine.KVTokens)
}

// SetUpstreams takes the platform's list. Upstreams that are no longer listed
// get nothing more and are forgotten once their requests have ended.
func (c *Core) SetUpstreams(listed []Upstream) {
	for _, e := range c.engines {
		e.listed = false
	}
	for _, u := range listed {
		e := c.engines[u.ID]
		if e == nil {
			e = &engine{}
			e.kept.capacity = c.keptTokens(u.Service)
			c.engines[u.ID] = e
		}
		if e.Address != "" && e.Address != u.Address {
			e.kept = prefixes{
				capacity: c.keptTokens(u.Service),
			}
		}
		e.Upstream = u
		e.listed = true
	}
	c.services = make(map[string][]*engine)
	for id, e := range c.engines {
		if !e.listed {
			if e.running == 0 {
				delete(c.engines, id)
			}
			continue
		}
		c.services[e.Service] = append(c.services[e.Service], e)
	}
	for _, engines := range c.services {
		slices.SortFunc(engines, func(a, b *engine) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

// Place decides on a request that arrives now.
func (c *Core) Place(now time.Time, gateway string, r Request) Decision {
	if r.Prompt.Tokens > 0 {
		return c.placeModel(now, gateway, r)
	}
	return c.placePlain(now, gateway, r)
}

func (c *Core) refuse(r Request, reason Reason) Decision {
	first, last := float64(minRetryAfter), float64(maxRetryAfter)
	quiet := time.Duration(0)
	if reason == OverShare {
		first, last = FirstReturnPart*float64(r.Objective), LastReturnPart*float64(r.Objective)
		quiet = quietTime
	}
	return Decision{
		ID:         r.ID,
		Reason:     reason,
		RetryAfter: time.Duration(first + c.random.Float64()*(last-first)),
		Quiet:      quiet,
	}
}

// cost is what a request counts for its team.
func cost(p Prompt) float64 { return float64(p.Tokens) + 2*p.Output() }

func (c *Core) placeModel(now time.Time, gateway string, r Request) Decision {
	best, unread := c.bestEngine(now, r)
	over := c.ask(now, r)
	if best == nil {
		return c.refuse(r, NoUpstream)
	}
	ahead, own := reading(c.whole(best.unread)), reading(unread)
	kind := c.class(r.Class)
	size := reading(kind.see(now, float64(r.Prompt.Tokens), unread))
	objective := float64(r.Objective)
	if !r.Resumed {
		if over && ahead+size > time.Duration(idlePart*objective*c.shares.lenience(c.shares.team(r.Team))) {
			c.shares.team(r.Team).refused = c.shares.slot(now)
			return c.refuse(r, OverShare)
		}
		if ahead > max(time.Duration(objectivePart*objective)-size, time.Duration(longPart*objective)) {
			return c.refuse(r, Busy)
		}
	}
	kind.admit(float64(r.Prompt.Tokens))
	if r.Team != "" {
		c.shares.team(r.Team).admitted.add(c.shares.slot(now), cost(r.Prompt))
	}
	c.place(Key{
		Gateway: gateway,
		ID:      r.ID,
	}, best, r.Prompt, unread)
	return Decision{
		ID:       r.ID,
		Upstream: best.ID,
		Wait:     ahead + own,
	}
}

// ask counts what a team asks for and reports whether it is over its share.
func (c *Core) ask(now time.Time, r Request) bool {
	if r.Team == "" || c.table == nil {
		return false
	}
	span := c.settings.ShareWindow.Seconds()
	capacity := c.table.Configuration.Limits.TokensPerSecond * span * c.settings.Portion
	c.shares.update(now, capacity)
	if capacity <= 0 {
		return false
	}
	t := c.shares.team(r.Team)
	slot := c.shares.slot(now)
	tokens := cost(r.Prompt)
	if !r.Resumed {
		t.asked.add(slot, tokens)
	}
	t.admitted.advance(slot)
	return t.admitted.total >= c.shares.level
}

// class returns what is known of a class's sizes.
func (c *Core) class(name string) *class {
	k := c.classes[name]
	if k == nil {
		k = &class{}
		c.classes[name] = k
	}
	return k
}

// reading estimates how long an engine needs to read prompt tokens.
func reading(tokens float64) time.Duration {
	return time.Duration(tokens / readTokensPerMilli * float64(time.Millisecond))
}

// whole returns what the whole fleet has at an upstream, given what this core
// knows of: others are taken to do as it does itself.
func (c *Core) whole(part float64) float64 { return part / c.settings.Portion }

// bestEngine returns the engine that costs a request least, and the tokens that
// it would have to read.
func (c *Core) bestEngine(now time.Time, r Request) (*engine, float64) {
	var best *engine
	var bestCost, bestUnread float64
	for _, e := range c.services[r.Service] {
		if !e.usable(now, r.Repeatable) || slices.Contains(r.Tried, e.ID) {
			continue
		}
		unread, shared := e.kept.unreadTokens(r.Prompt)
		running := c.whole(float64(e.running))
		total := c.whole(e.unread) + unread + runningCost*running + rereadCost*shared
		if e.Zone != r.Zone {
			total += zoneCost
		}
		if e.Slots > 0 && running >= float64(e.Slots) {
			total += (running - float64(e.Slots) + 1) * slotCost
		}
		if best == nil || total < bestCost {
			best = e
			bestCost = total
			bestUnread = unread
		}
	}
	return best, bestUnread
}

func (c *Core) placePlain(now time.Time, gateway string, r Request) Decision {
	var best *engine
	var bestLoad float64
	for _, e := range c.services[r.Service] {
		if !e.usable(now, r.Repeatable) || slices.Contains(r.Tried, e.ID) {
			continue
		}
		load := c.whole(float64(e.running))
		if e.Zone != r.Zone {
			load += plainZoneCost
		}
		if best == nil || load < bestLoad {
			best = e
			bestLoad = load
		}
	}
	if best == nil {
		return c.refuse(r, NoUpstream)
	}
	if best.Slots > 0 && c.whole(float64(best.running)) >= float64(best.Slots)*(1+queuePerSlot) {
		return c.refuse(r, Busy)
	}
	c.place(Key{
		Gateway: gateway,
		ID:      r.ID,
	}, best, Prompt{}, 0)
	return Decision{
		ID:       r.ID,
		Upstream: best.ID,
	}
}

// place notes that a request goes to an upstream.
func (c *Core) place(key Key, e *engine, prompt Prompt, unread float64) {
	c.end(key)
	e.unread += unread
	e.running++
	if !e.suspendedUntil.IsZero() {
		e.probing = true
	}
	e.kept.use(prompt)
	c.placed[key] = &placed{
		engine:  e,
		unread:  unread,
		reading: unread > 0,
		prompt:  prompt,
	}
}

// Sent takes a placement that a gateway decided on by itself, or tells again
// when it links to a new leader.
func (c *Core) Sent(gateway string, id uint64, upstream string, prompt Prompt, begun bool) {
	e := c.engines[upstream]
	if e == nil {
		return
	}
	unread := 0.0
	if !begun && prompt.Tokens > 0 {
		unread, _ = e.kept.unreadTokens(prompt)
	}
	c.place(Key{
		Gateway: gateway,
		ID:      id,
	}, e, prompt, unread)
}

// Begun takes that the upstream has begun to answer.
func (c *Core) Begun(now time.Time, key Key) {
	p := c.placed[key]
	if p == nil || !p.reading {
		return
	}
	p.reading = false
	p.engine.unread = max(0, p.engine.unread-p.unread)
	c.worked(p.engine)
	_ = now
}

// worked notes that an upstream has answered.
func (c *Core) worked(e *engine) {
	e.failures = 0
	e.suspendedUntil = time.Time{}
	e.probing = false
}

func (c *Core) end(key Key) *placed {
	p := c.placed[key]
	if p == nil {
		return nil
	}
	delete(c.placed, key)
	if p.reading {
		p.engine.unread = max(0, p.engine.unread-p.unread)
	}
	p.engine.running--
	return p
}

// Ended takes how an upstream's work on a request ended.
func (c *Core) Ended(now time.Time, key Key, ending Ending) {
	p := c.end(key)
	if p == nil {
		return
	}
	e := p.engine
	switch ending {
	case Answered:
		c.worked(e)
	case CallerLeft:
		e.probing = false
	case Unreachable, Gone:
		c.suspend(now, e)
	case NotRun, Broken, Failed, Silent:
		e.failures++
		if e.failures >= failuresToSuspend || e.probing {
			c.suspend(now, e)
		}
	}
}

// suspend keeps requests from an upstream for a while.
func (c *Core) suspend(now time.Time, e *engine) {
	e.probing = false
	e.failures = max(e.failures, failuresToSuspend)
	span := min(firstSuspension<<min(e.failures-failuresToSuspend, 8), longestSuspension)
	e.failures++
	if until := now.Add(span); until.After(e.suspendedUntil) {
		e.suspendedUntil = until
	}
}

// LoseGateway forgets the requests of a gateway that is gone.
func (c *Core) LoseGateway(gateway string) {
	for key := range c.placed {
		if key.Gateway == gateway {
			c.end(key)
		}
	}
}

// Placement is a request that is at an upstream.
type Placement struct {
	Key
	Upstream string
	Prompt   Prompt
	// Begun tells that the answer has begun.
	Begun bool
}

// Placements returns all requests that are at upstreams, in no order.
func (c *Core) Placements() []Placement {
	out := make([]Placement, 0, len(c.placed))
	for key, p := range c.placed {
		out = append(out, Placement{
			Key:      key,
			Upstream: p.engine.ID,
			Prompt:   p.prompt,
			Begun:    !p.reading,
		})
	}
	return out
}
