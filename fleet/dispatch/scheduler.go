package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"baobabpaddle/fleet/configuration"
)

// Scheduler decides where requests go. It is not safe for use by several goroutines.
type Scheduler struct {
	settings Settings
	random   *rand.Rand
	table    *configuration.Table
	services map[string][]*engine
	engines  map[string]*engine
	placed   map[Key]*placed
	shares   *shares
	classes  map[string]*class
	speeds   map[string]*speeds
	ledger   *ledger
	changes  []SuspensionChange
}

// New returns a core without a configuration or upstreams. The random source
// must be seeded by the caller and not shared.
func New(settings Settings, random *rand.Rand) *Scheduler {
	if settings.ShareWindow == 0 {
		settings.ShareWindow = DefaultShareWindow
	}
	if settings.TrafficFraction == 0 {
		settings.TrafficFraction = 1
	}
	c := &Scheduler{
		settings: settings,
		random:   random,
		services: make(map[string][]*engine),
		engines:  make(map[string]*engine),
		placed:   make(map[Key]*placed),
		shares:   newShares(settings.ShareWindow),
		classes:  make(map[string]*class),
		speeds:   make(map[string]*speeds),
	}
	if settings.RecordShortfalls {
		c.ledger = newLedger(coreSlots)
	}
	return c
}

// SetTrafficFraction tells which part of the fleet's requests this core sees, over 0 and up
// to 1.
func (c *Scheduler) SetTrafficFraction(portion float64) { c.settings.TrafficFraction = portion }

// SetConfiguration puts a configuration in force.
func (c *Scheduler) SetConfiguration(t *configuration.Table) {
	c.table = t
	c.classes = make(map[string]*class) // they may have other names now
	for _, e := range c.engines {
		e.kept.capacity = c.memoryTokens(e.Service)
	}
}

func (c *Scheduler) memoryTokens(service string) float64 {
	if c.table == nil {
		return 0
	}
	s := c.table.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	return memoryPart * float64(s.Engine.KVTokens)
}

// SetUpstreams takes the platform's list. Upstreams that are no longer listed
// get nothing more and are forgotten once their requests have ended.
func (c *Scheduler) SetUpstreams(listed []Upstream) {
	present := make(map[string]bool, len(listed))
	for _, u := range listed {
		present[u.ID] = true
		e := c.known(u.ID)
		if e.Address == "" {
			e.kept.capacity = c.memoryTokens(u.Service)
		} else if e.restarted(u) {
			e.restart(c.memoryTokens(u.Service))
		}
		e.Upstream = u
		e.listed = true
	}
	for id, e := range c.engines {
		e.listed = present[id]
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
func (c *Scheduler) Place(now time.Time, gateway string, r Request) Decision {
	if r.Prompt.Tokens > 0 {
		return c.placeModel(now, gateway, r)
	}
	return c.placePlain(now, gateway, r)
}

func (c *Scheduler) refuse(now time.Time, r Request, reason Reason, in Inputs) Decision {
	if r.counted() {
		c.ledger.refused(now, r.Team, refusalFor(reason))
	}
	first, last := float64(minRetryAfter), float64(maxRetryAfter)
	quiet := time.Duration(0)
	switch reason {
	case OverShare:
		quiet = quietTime
		fallthrough
	case AheadOfOthers:
		first, last = MinRetryFraction*float64(r.Objective), MaxRetryFraction*float64(r.Objective)
	}
	return Decision{
		ID:         r.ID,
		Reason:     reason,
		RetryAfter: time.Duration(first + c.random.Float64()*(last-first)),
		RefuseFor:  quiet,
		Inputs:     in,
	}
}

// cost is what a request counts for its team.
func cost(p Prompt) float64 { return float64(p.Tokens) + 2*p.ExpectedOutput() }

func (c *Scheduler) placeModel(now time.Time, gateway string, r Request) Decision {
	if r.counted() {
		c.ledger.asked(now, r.Team, cost(r.Prompt))
	}
	best := c.bestEngine(now, r)
	over := c.ask(now, r)
	in := c.inputs(r, best)
	if best.engine == nil {
		return c.refuse(now, r, NoUpstream, in)
	}
	ahead := reading(best.unread, best.speed)
	in.QueueDelay, in.PrefillTime = ahead, reading(best.own, best.speed)
	kind := c.class(r.Class)
	size := reading(kind.see(now, float64(r.Prompt.Tokens), best.own), best.speed)
	if !r.Resumed {
		if reason := c.refusal(r, best.engine, ahead, size, over); reason != "" {
			if r.Team != "" {
				c.shares.team(r.Team).refused = c.shares.slot(now)
			}
			return c.refuse(now, r, reason, in)
		}
	}
	kind.admit(float64(r.Prompt.Tokens))
	p := c.place(now, Key{
		Gateway: gateway,
		ID:      r.ID,
	}, best.engine, r.Team, r.Prompt, best.own)
	p.onTimeUntil = now.Add(r.Objective)
	c.admit(now, p)
	return Decision{
		ID:       r.ID,
		Upstream: best.engine.ID,
		Inputs:   in,
	}
}

// refusal returns why a request is refused whose best engine has this much to read ahead
// of it, or "" if it is placed. Size is how long the request's own reading counts.
func (c *Scheduler) refusal(r Request, e *engine, ahead, size time.Duration, over bool) Reason {
	objective := float64(r.Objective)
	left, outrun := 1.0, false
	if r.Team != "" {
		t := c.shares.team(r.Team)
		left, outrun = room(c.shares.lead(t)), c.shares.outrun(t)
	}
	switch {
	case over && outrun:
		// An engine with nothing to do takes a prompt of any length: it would otherwise go
		// to the team that is ahead.
		if ahead > time.Duration(left*float64(c.idleBound(r, e))) {
			return OverShare
		}
	case over && ahead+size > c.idleBound(r, e):
		return OverShare
	case left < 1 && ahead > time.Duration(left*objectivePart*objective):
		return AheadOfOthers
	case ahead > max(time.Duration(objectivePart*objective)-size, time.Duration(longPart*objective)):
		return Busy
	}
	return ""
}

// idleBound returns how long an engine may take to read what is sent to it to have it
// for a team over its share.
func (c *Scheduler) idleBound(r Request, e *engine) time.Duration {
	part := idlePart
	if e.Zone != r.Zone {
		part = farIdlePart
	}
	return time.Duration(part * float64(r.Objective) * c.shares.lenience(c.shares.team(r.Team)))
}

// inputs returns what is known of a request as it is decided on.
func (c *Scheduler) inputs(r Request, best choice) Inputs {
	in := Inputs{
		Usable:    best.usable,
		Objective: r.Objective,
		Running:   int(best.running),
	}
	if r.Team != "" && c.shares.level > 0 {
		t := c.shares.team(r.Team)
		in.Received = int64(t.admitted.total)
		in.Share = int64(min(c.shares.level, maxShare))
		in.Lead = c.shares.lead(t)
	}
	return in
}

// ask counts what a team asks for and reports whether it is over its share.
func (c *Scheduler) ask(now time.Time, r Request) bool {
	if r.Team == "" || c.table == nil {
		return false
	}
	span := c.settings.ShareWindow.Seconds()
	capacity := c.table.Configuration.Limits.TokensPerSecond * span * c.settings.TrafficFraction
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
func (c *Scheduler) class(name string) *class {
	k := c.classes[name]
	if k == nil {
		k = &class{}
		c.classes[name] = k
	}
	return k
}

// others is what other gateways are taken to have at each upstream of a service.
type others struct {
	running float64
	unread  float64
}

// others estimates what a core that sees only a part of the requests does not see:
// as much for what it sees as the parts tell, spread evenly.
func (c *Scheduler) others(engines []*engine) others {
	var o others
	if c.settings.TrafficFraction >= 1 || len(engines) == 0 {
		return o
	}
	for _, e := range engines {
		o.running += float64(e.running)
		o.unread += e.unread
	}
	each := (1/c.settings.TrafficFraction - 1) / float64(len(engines))
	o.running *= each
	o.unread *= each
	return o
}

// first returns where to begin to look at so many upstreams: anywhere for a core that
// sees only a part, so that all gateways don't choose the same of equal ones.
func (c *Scheduler) first(n int) int {
	if c.settings.TrafficFraction >= 1 || n == 0 {
		return 0
	}
	return c.random.IntN(n)
}

// choice is the upstream that was found best for a request, nil if there is none.
type choice struct {
	engine *engine
	// own is the tokens that it would have to read for the request.
	own float64
	// running and unread are what it is taken to have, with what others sent there.
	running float64
	unread  float64
	// speed is the prompt tokens that it reads in a millisecond.
	speed float64
	// usable is how many could have been chosen.
	usable int
}

// bestEngine returns the engine that costs a request least.
func (c *Scheduler) bestEngine(now time.Time, r Request) choice {
	var best choice
	var bestCost float64
	engines := c.services[r.Service]
	unseen := c.others(engines)
	start := c.first(len(engines))
	typical := c.speedsOf(r.Service).typical()
	for i := range engines {
		e := engines[(start+i)%len(engines)]
		if !e.usable(now, r.Idempotent) || slices.Contains(r.Excluded, e.ID) {
			continue
		}
		best.usable++
		speed := e.speed.at(now, typical)
		own, shared := e.kept.unreadTokens(r.Prompt)
		running := float64(e.running) + unseen.running
		unread := e.unread + unseen.unread
		total := (unread+own)*typical/speed + runningCost*running + rereadCost*shared
		if e.Zone != r.Zone {
			total += zoneCost
		}
		if now.Before(e.strainedUntil) {
			total += strainedCost
		}
		if e.Slots > 0 && running >= float64(e.Slots) {
			total += (running - float64(e.Slots) + 1) * slotCost
		}
		if best.engine == nil || total < bestCost {
			bestCost = total
			best.engine, best.own, best.running, best.unread, best.speed = e, own, running, unread, speed
		}
	}
	return best
}

func (c *Scheduler) placePlain(now time.Time, gateway string, r Request) Decision {
	var best choice
	var bestLoad float64
	engines := c.services[r.Service]
	unseen := c.others(engines)
	start := c.first(len(engines))
	for i := range engines {
		e := engines[(start+i)%len(engines)]
		if !e.usable(now, r.Idempotent) || slices.Contains(r.Excluded, e.ID) {
			continue
		}
		best.usable++
		running := float64(e.running) + unseen.running
		load := running
		if e.Zone != r.Zone {
			load += plainZoneCost
		}
		if now.Before(e.strainedUntil) {
			load += plainStrainedCost
		}
		if best.engine == nil || load < bestLoad {
			bestLoad = load
			best.engine, best.running = e, running
		}
	}
	in := c.inputs(r, best)
	e := best.engine
	if e == nil {
		return c.refuse(now, r, NoUpstream, in)
	}
	if e.Slots > 0 && best.running >= float64(e.Slots)*(1+queuePerSlot) {
		return c.refuse(now, r, Busy, in)
	}
	c.place(now, Key{
		Gateway: gateway,
		ID:      r.ID,
	}, e, r.Team, Prompt{}, 0)
	return Decision{
		ID:       r.ID,
		Upstream: e.ID,
		Inputs:   in,
	}
}
