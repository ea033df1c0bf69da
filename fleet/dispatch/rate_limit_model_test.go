package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// limitSpan is the span in which an upstream may get 1.5 times its limit and
	// limitSlack requests more, counted from limitGrace after the limit began.
	limitSpan  = 4 * time.Second
	limitSlack = 5
	limitGrace = 3 * time.Second
	// reportDelay is the time from a gateway to the leader, and publishInterval the time
	// between two messages of the leader about limits.
	reportDelay     = 5 * time.Millisecond
	publishInterval = 100 * time.Millisecond
	// limitedUse is the least part of its limit that an upstream gets while work waits.
	limitedUse = 0.9
)

// limitGateway is a gateway of a limitModel.
type limitGateway struct {
	name      string
	scheduler *Scheduler
	linked    bool
	alone     bool
}

// limitModel models a fleet whose upstreams state rate limits: a leader, gateways that
// decide alone while they are not linked to it, and the reports between them.
type limitModel struct {
	eventQueue
	random   *rand.Rand
	leader   *Scheduler // nil while there is none
	gateways []*limitGateway
	engines  int
	service  string
	nextID   uint64
	// limit returns the limit that an upstream states at a time, or zero.
	limit func(engine int, since time.Duration) float64
	// answerAfter returns the time from a request to the head of its answer, and lasting
	// is the time from the head to the end.
	answerAfter func() time.Duration
	lasting     time.Duration
	// arrivals are the times at which requests reached each upstream.
	arrivals [][]time.Time
	teams    map[string]*tally
	refused  map[Reason]int
	decided  []Decision // refusals
}

func newLimitModel(seed uint64, engines, gateways int, service string) *limitModel {
	m := &limitModel{
		eventQueue: eventQueue{
			now: epoch,
		},
		random:   rand.New(rand.NewPCG(seed, 3)),
		engines:  engines,
		service:  service,
		lasting:  2 * time.Second,
		arrivals: make([][]time.Time, engines),
		teams:    make(map[string]*tally),
		refused:  make(map[Reason]int),
	}
	m.answerAfter = func() time.Duration { return 20*time.Millisecond + time.Duration(m.random.IntN(60))*time.Millisecond }
	for i := range gateways {
		m.gateways = append(m.gateways, &limitGateway{
			name: fmt.Sprintf("g%02d", i),
			scheduler: m.newScheduler(Settings{
				TrafficFraction: 1 / float64(gateways),
			}),
		})
	}
	m.elect()
	return m
}

func (m *limitModel) newScheduler(settings Settings) *Scheduler {
	s := New(settings, rand.New(rand.NewPCG(m.random.Uint64(), 1)))
	s.SetConfiguration(table())
	list := upstreams(m.engines)
	for i := range list {
		list[i].Service = m.service
	}
	s.SetUpstreams(list)
	return s
}

// elect makes a new leader, to which all gateways link.
func (m *limitModel) elect() {
	m.leader = m.newScheduler(Settings{})
	for _, g := range m.gateways {
		m.link(g)
	}
}

// link links a gateway to the leader.
func (m *limitModel) link(g *limitGateway) {
	g.linked = true
	for _, p := range g.scheduler.Placements() {
		m.leader.RecordPlacement(m.now, p, true)
	}
	for _, report := range g.scheduler.RateLimitReports() {
		m.leader.ApplyRateLimit(m.now, g.name, report)
	}
	m.leader.AddAccounts(m.now, g.scheduler.Accounts(m.now))
}

// loseLeader ends the leader. All gateways decide alone until elect is called.
func (m *limitModel) loseLeader() {
	m.leader = nil
	for _, g := range m.gateways {
		g.linked = false
	}
}

// cut ends the link between a gateway and the leader.
func (m *limitModel) cut(g *limitGateway) {
	g.linked = false
	m.leader.RemoveGateway(m.now, g.name)
}

// submit has a random gateway place a request and sends it to the upstream.
func (m *limitModel) submit(r Request) {
	m.nextID++
	r.ID = m.nextID
	r.Service = m.service
	g := m.gateways[m.random.IntN(len(m.gateways))]
	leader := m.leader
	team := tallyFor(m.teams, r.Team)
	team.requested++
	var d Decision
	if g.linked {
		g.alone = false
		d = leader.Place(m.now, g.name, r)
		if d.Upstream != "" {
			g.scheduler.RecordPlacement(m.now, m.placement(g, r, d), false)
		}
	} else {
		if !g.alone {
			g.alone = true
			g.scheduler.DecideAlone(m.now)
		}
		d = g.scheduler.Place(m.now, g.name, r)
	}
	if d.Upstream == "" {
		m.refused[d.Reason]++
		m.decided = append(m.decided, d)
		return
	}
	var engine int
	if _, err := fmt.Sscanf(d.Upstream, "e%d", &engine); err != nil {
		panic(err)
	}
	m.arrivals[engine] = append(m.arrivals[engine], m.now)
	team.started++
	team.tokens += tokenCost(r.Prompt)
	head := m.now.Add(m.answerAfter())
	m.at(head, func() { m.answer(g, engine, d) })
	m.at(head.Add(m.lasting), func() {
		m.report(g, func(s *Scheduler) {
			s.RecordEnd(m.now, Key{
				Gateway: g.name,
				ID:      d.ID,
			}, Answered)
		})
	})
}

func (m *limitModel) placement(g *limitGateway, r Request, d Decision) Placement {
	return Placement{
		Key: Key{
			Gateway: g.name,
			ID:      r.ID,
		},
		Upstream: d.Upstream,
		Team:     r.Team,
		Prompt:   r.Prompt,
	}
}

// answer has the head of an answer arrive at its gateway.
func (m *limitModel) answer(g *limitGateway, engine int, d Decision) {
	stated := m.limit(engine, m.now.Sub(epoch))
	m.report(g, func(s *Scheduler) {
		if s.RateLimits()[d.Upstream] > 0 || stated > 0 {
			report := NewRateLimitReport(d.Upstream, stated)
			report.Request = d.ID
			s.ApplyRateLimit(m.now, g.name, report)
		}
		s.RecordStart(m.now, Key{
			Gateway: g.name,
			ID:      d.ID,
		})
	})
}

// report applies what a gateway observes to its own Scheduler, and to that of the leader
// which it is linked to, a little later.
func (m *limitModel) report(g *limitGateway, apply func(*Scheduler)) {
	apply(g.scheduler)
	if leader := m.leader; g.linked {
		m.at(m.now.Add(reportDelay), func() {
			if m.leader == leader && g.linked {
				apply(leader)
			}
		})
	}
}

// publish sends the leader's limits to the linked gateways.
func (m *limitModel) publish() {
	if m.leader == nil {
		return
	}
	reports := m.leader.RateLimitReports()
	for _, g := range m.gateways {
		if g.linked {
			g.scheduler.FollowRateLimits(m.now, reports, true)
		}
	}
}

// play runs the model for a time and calls arrive once a millisecond.
func (m *limitModel) play(span time.Duration, arrive func()) {
	m.eventQueue.play(span, func() {
		if m.now.Sub(epoch)%publishInterval == 0 {
			m.publish()
		}
		arrive()
	})
}

// chats returns a function that submits chats of some teams, at a rate per second.
func (m *limitModel) chats(rate float64, teams int) func() {
	return func() {
		for perSecond(m.random, rate) {
			m.submit(m.chat(fmt.Sprintf("t%02d", m.random.IntN(teams)), 628))
		}
	}
}

// chat returns a chat of a team with about the given number of prompt tokens.
func (m *limitModel) chat(team string, tokens float64) Request {
	own := int(tokens*(0.5+0.5*m.random.ExpFloat64())) + 1
	return Request{
		Class:     "chat",
		Team:      team,
		Zone:      zoneA,
		Objective: 400 * time.Millisecond,
		Remaining: 15 * time.Second,
		Prompt: Prompt{
			Segments: []PromptSegment{{
				ID:     1<<32 + m.nextID,
				Tokens: own,
			}},
			Tokens: own,
			Hint:   290,
		},
	}
}

// plainRequests returns a function that submits requests to a plain service.
func (m *limitModel) plainRequests(rate float64) func() {
	return func() {
		for perSecond(m.random, rate) {
			m.submit(Request{
				Zone:      zoneA,
				Objective: 100 * time.Millisecond,
				Remaining: 800 * time.Millisecond,
			})
		}
	}
}

// overLimit returns the largest number of requests above what the limit allows that an
// upstream got within limitSpan, from the given time on, which is limitGrace after the limit
// began. The limit of a span is the largest that the upstream stated within it.
func (m *limitModel) overLimit(engine int, from, until time.Duration) float64 {
	worst := -1e9
	times := m.arrivals[engine]
	for i := range times {
		since := times[i].Sub(epoch)
		if since < from || since+limitSpan > until {
			continue
		}
		n, limit := 0, 0.0
		for _, t := range times[i:] {
			if t.Sub(times[i]) >= limitSpan {
				break
			}
			n++
		}
		for at := since - time.Second; at < since+limitSpan; at += 100 * time.Millisecond {
			limit = max(limit, m.limit(engine, at))
		}
		if limit == 0 {
			continue // it stated no limit
		}
		worst = max(worst, float64(n)-1.5*limit*limitSpan.Seconds()-limitSlack)
	}
	return worst
}

// used returns the requests that an upstream got in a span, relative to its limit.
func (m *limitModel) used(engine int, from, until time.Duration) float64 {
	n := 0
	for _, t := range m.arrivals[engine] {
		if since := t.Sub(epoch); since >= from && since < until {
			n++
		}
	}
	return float64(n) / (m.limit(engine, from) * (until - from).Seconds())
}

// logLimits logs the use of the limited upstreams.
func (m *limitModel) logLimits(t *testing.T, seed uint64, from, until time.Duration) {
	t.Helper()
	for i := range m.engines {
		if m.limit(i, from) > 0 {
			t.Logf("seed %d: %s limit %.1f, used %.2f, most over the bound %.1f", seed, engineName(i), m.limit(i, from),
				m.used(i, from, until), m.overLimit(i, from, until))
		}
	}
	t.Logf("seed %d: refused %v", seed, m.refused)
}
