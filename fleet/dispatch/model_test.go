package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"baobabpaddle/fleet/configuration"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const (
	gateway = "g"
	zoneA   = "zone-a"
	// engineReads is the prompt tokens that a modelled engine reads in a
	// millisecond, and engineSlots how many requests it runs at once.
	engineReads = 57.0
	engineSlots = 64
	// fleetTokens is the declared throughput of nine engines.
	fleetTokens = 210_000.0
)

// engineModel reads prompts one after the other and generates at a fixed pace.
type engineModel struct {
	free  time.Time // when it has read all that was sent
	reads float64   // prompt tokens in a millisecond
}

// lateDecision is after which time a gateway tells that a decision came too late.
const lateDecision = 65 * time.Millisecond

// load is one kind of request of a pattern.
type load struct {
	class     string
	tokens    int
	output    int
	objective time.Duration
	spread    float64 // of the size; 0 is none
	shared    int     // tokens of one of so many shared pieces
	pieces    int
}

// pattern is a load on the model.
type pattern struct {
	seed    uint64
	seconds int
	// rate returns how many requests of a team arrive in a second.
	rate func(team int, second int) float64
	load []load
	team int
	// reads is the prompt tokens that each engine reads in a millisecond; nil is
	// engineReads.
	reads func(engine int) float64
}

// received is what one team or class got.
type received struct {
	asked, begun, onTime int
	tokens               float64
}

// outcomeOf is what became of a pattern.
type outcomeOf struct {
	teams   map[string]*received
	classes map[string]*received
	large   map[string]*received // of each class, those over twice the mean size
	// again is the tokens of shared pieces that were read although an engine had
	// read them before.
	again float64
}

type due struct {
	at  time.Time
	run func()
}

// world drives a Core with modelled engines under a virtual clock.
type world struct {
	core    *Scheduler
	now     time.Time
	random  *rand.Rand
	engines map[string]*engineModel
	events  []due
	nextID  uint64
	// ledger holds what the engines began and what was refused, if it is set.
	ledger *ledger
	// gateways keep floods from asking, if there are any; a team's requests come through
	// as many of them as through says, or all.
	gateways []Throttle
	through  map[string]int
	// unsent is the part of a team's placed requests that are not sent, since the decision
	// reaches the gateway too late.
	unsent map[string]float64
}

func table() *configuration.Table {
	return configuration.NewTable(&configuration.Configuration{
		Version: 1,
		Services: []configuration.Service{
			{
				Name: "llm",
				Engine: &configuration.Engine{
					Slots:          engineSlots,
					KVTokens:       555_887,
					TokensPerEvent: 5,
				},
			},
			{
				Name: "plain",
			},
		},
		Limits: configuration.Limits{
			TokensPerSecond: fleetTokens,
		},
	})
}

func newWorld(seed uint64, engines int) *world {
	w := &world{
		core:    New(Settings{}, rand.New(rand.NewPCG(seed, 1))),
		now:     epoch,
		random:  rand.New(rand.NewPCG(seed, 2)),
		engines: make(map[string]*engineModel),
	}
	w.core.SetConfiguration(table())
	w.core.SetUpstreams(upstreams(engines))
	for i := range engines {
		w.engines[engineName(i)] = &engineModel{
			free:  epoch,
			reads: engineReads,
		}
	}
	return w
}

func engineName(i int) string { return fmt.Sprintf("e%02d", i) }

func upstreams(n int) []Upstream {
	var out []Upstream
	for i := range n {
		out = append(out, Upstream{
			ID:      engineName(i),
			Service: "llm",
			Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Zone:    zoneA,
			Slots:   engineSlots,
		})
	}
	return out
}

func (w *world) at(t time.Time, run func()) {
	w.events = append(w.events, due{
		at:  t,
		run: run,
	})
}

// run executes a pattern on nine engines and returns what came of it.
func run(p pattern) *outcomeOf {
	w := newWorld(p.seed, 9)
	if p.reads != nil {
		for i := range len(w.engines) {
			w.engines[engineName(i)].reads = p.reads(i)
		}
	}
	out := &outcomeOf{
		teams:   make(map[string]*received),
		classes: make(map[string]*received),
		large:   make(map[string]*received),
	}
	end := epoch.Add(time.Duration(p.seconds) * time.Second)
	for ; w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
		second := int(w.now.Sub(epoch) / time.Second)
		for team := range p.team {
			if w.random.Float64() < p.rate(team, second)/1000 {
				w.arrive(out, fmt.Sprintf("t%02d", team), p.load[w.random.IntN(len(p.load))])
			}
		}
		w.advance()
	}
	return out
}

func (w *world) advance() {
	kept := w.events[:0]
	var ready []due
	for _, e := range w.events {
		if e.at.After(w.now) {
			kept = append(kept, e)
		} else {
			ready = append(ready, e)
		}
	}
	w.events = kept
	for _, e := range ready {
		e.run()
	}
}

func at(m map[string]*received, name string) *received {
	if m[name] == nil {
		m[name] = &received{}
	}
	return m[name]
}

func (w *world) request(team string, l load) Request {
	w.nextID++
	own := float64(l.tokens)
	if l.spread > 0 {
		own *= w.random.ExpFloat64()*l.spread + (1 - l.spread)
	}
	r := Request{
		ID:        w.nextID,
		Service:   "llm",
		Class:     l.class,
		Team:      team,
		Zone:      zoneA,
		Objective: l.objective,
		Remaining: 15 * time.Second,
	}
	if l.shared > 0 {
		r.Prompt.Segments = append(r.Prompt.Segments, PromptSegment{
			ID:     uint64(1 + w.random.IntN(l.pieces)),
			Tokens: l.shared,
		})
	}
	r.Prompt.Segments = append(r.Prompt.Segments, PromptSegment{
		ID:     1<<32 + w.nextID,
		Tokens: int(own) + 1,
	})
	for _, part := range r.Prompt.Segments {
		r.Prompt.Tokens += part.Tokens
	}
	r.Prompt.MaxOutput = 2 * l.output
	r.Prompt.Hint = l.output
	return r
}

// arrive places one request and lets the model engine work on it.
func (w *world) arrive(out *outcomeOf, team string, l load) {
	r := w.request(team, l)
	groups := []*received{at(out.teams, team), at(out.classes, l.class)}
	if r.Prompt.Segments[len(r.Prompt.Segments)-1].Tokens > 2*l.tokens {
		groups = append(groups, at(out.large, l.class))
	}
	for _, g := range groups {
		g.asked++
	}
	d, told := w.ask(r)
	w.record(r, d, told)
	if d.Upstream == "" {
		return
	}
	key := Key{
		Gateway: gateway,
		ID:      r.ID,
	}
	if w.random.Float64() < w.unsent[team] {
		w.at(w.now.Add(lateDecision), func() { w.core.RecordEnd(w.now, key, Unsent) })
		if w.ledger != nil {
			w.ledger.refused(w.now, team, refusalFor(Busy))
		}
		return
	}
	unread := w.core.placed[key].unread
	out.again += max(0, unread-float64(r.Prompt.Segments[len(r.Prompt.Segments)-1].Tokens))
	e := w.engines[d.Upstream]
	begin := w.now
	if e.free.After(begin) {
		begin = e.free
	}
	e.free = begin.Add(time.Duration(unread / e.reads * float64(time.Millisecond)))
	first := e.free
	asked := w.now
	w.at(first, func() {
		w.core.RecordStart(w.now, key)
		w.recordBegun(r, asked)
		for _, g := range groups {
			g.begun++
			g.tokens += cost(r.Prompt)
			if first.Sub(asked) <= l.objective {
				g.onTime++
			}
		}
	})
	w.at(first.Add(time.Duration(l.output)*8*time.Millisecond), func() { w.core.RecordEnd(w.now, key, Answered) })
}

// ask has a request placed, unless its gateway refuses it without asking.
func (w *world) ask(r Request) (d Decision, asked bool) {
	if len(w.gateways) == 0 {
		return w.core.Place(w.now, gateway, r), true
	}
	through := w.through[r.Team]
	if through == 0 {
		through = len(w.gateways)
	}
	g := &w.gateways[w.random.IntN(through)]
	key := ThrottleKey{
		Team:  r.Team,
		Route: r.Class,
	}
	if !g.Allow(key, w.now) {
		refused := GatewayRefusals{
			Team: r.Team,
		}
		refused.Add(r.Prompt)
		w.core.RecordGatewayRefusals(w.now, []GatewayRefusals{refused})
		return Decision{}, false
	}
	d = w.core.Place(w.now, gateway, r)
	g.RecordDecision(key, w.now, d.RefuseFor)
	return d, true
}

// record enters a request and its refusal into the world's own ledger.
func (w *world) record(r Request, d Decision, asked bool) {
	if w.ledger == nil {
		return
	}
	w.ledger.asked(w.now, r.Team, cost(r.Prompt))
	switch {
	case !asked:
		w.ledger.refused(w.now, r.Team, Refusals{
			ByGateway: 1,
		})
	case d.Upstream == "":
		w.ledger.refused(w.now, r.Team, refusalFor(d.Reason))
	}
}

// recordBegun enters a request that an engine begins to answer.
func (w *world) recordBegun(r Request, asked time.Time) {
	if w.ledger == nil {
		return
	}
	w.ledger.began(w.now, r.Team, cost(r.Prompt))
	if onTime := asked.Add(r.Objective); w.now.After(onTime) {
		w.ledger.waited(onTime, w.now, r.Team)
	}
}
