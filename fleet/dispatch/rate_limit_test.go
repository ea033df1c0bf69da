package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

// isKept checks that all upstreams got no more than their limits allow, from limitGrace
// after the limits began.
func (m *limitModel) isKept(is *is.I, from, until time.Duration) {
	is.Helper()
	for i := range m.engines {
		is.True(m.overLimit(i, from+limitGrace, until) <= 0)
	}
}

// isUsed checks that all limited upstreams got limitedUse of their limits or more.
func (m *limitModel) isUsed(is *is.I, from, until time.Duration) {
	is.Helper()
	for i := range m.engines {
		if m.limit(i, from) > 0 {
			is.True(m.used(i, from, until) >= limitedUse)
		}
	}
}

// between returns limits that hold from one time until another, for the first engines.
func between(from, until time.Duration, limits ...float64) func(int, time.Duration) float64 {
	return func(engine int, since time.Duration) float64 {
		if engine < len(limits) && since >= from && since < until {
			return limits[engine]
		}
		return 0
	}
}

// TestSomeUpstreamsStateRateLimits guards against upstreams that get more requests than the
// limit which they state, and against limits that are not used although work waits.
func TestSomeUpstreamsStateRateLimits(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := newLimitModel(seed, 9, 6, "llm")
		m.limit = between(3*second, 40*second, 5.7, 2.6, 7, 1, 3.3, 0.5)
		m.play(36*second, m.chats(190, 16))
		m.logLimits(t, seed, 8*second, 36*second)
		m.isKept(is, 3*second, 36*second)
		m.isUsed(is, 8*second, 36*second)
	}
}

// TestAllEnginesStateATenth: all engines state a tenth of what they did before. Their limits
// are used, what can't be served is refused at once, and after the limits have ended the
// fleet serves as before.
func TestAllEnginesStateATenth(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := newLimitModel(seed, 9, 6, "llm")
		m.limit = between(3*second, 30*second, 2, 2, 2, 2, 2, 2, 2, 2, 2)
		m.play(30*second, m.chats(120, 16))
		m.logLimits(t, seed, 8*second, 30*second)
		m.isKept(is, 3*second, 30*second)
		m.isUsed(is, 8*second, 30*second)
		m.play(second, m.chats(120, 16))
		clear(m.refused)
		clear(m.teams)
		m.play(5*second, m.chats(120, 16))
		served, requested := 0, 0
		for _, team := range m.teams {
			served += team.started
			requested += team.requested
		}
		t.Logf("seed %d: %d of %d served after the limits", seed, served, requested)
		is.True(100*served >= 97*requested)
	}
}

// TestFloodAtRateLimits: one team sends ten times what each other does while all engines
// state limits. The others receive as much as the flooding one.
func TestFloodAtRateLimits(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := newLimitModel(seed, 9, 6, "llm")
		m.limit = between(0, 60*second, 3, 3, 3, 3, 3, 3, 3, 3, 3)
		others := m.chats(60, 8)
		m.play(30*second, func() {
			others()
			if perSecond(m.random, 75) {
				m.submit(m.chat("flood", 628))
			}
		})
		m.logLimits(t, seed, 5*second, 30*second)
		m.isKept(is, 0, 30*second)
		m.isUsed(is, 5*second, 30*second)
		least := m.teams["t00"].tokens
		for name, team := range m.teams {
			t.Logf("seed %d: %s %d of %d, %.0f tokens", seed, name, team.started, team.requested, team.tokens)
			if name != "flood" {
				least = min(least, team.tokens)
			}
		}
		is.True(least >= 0.5*m.teams["flood"].tokens)
	}
}

// TestDearAndCheapAtRateLimits: two halves of the teams send prompts of ten times different
// lengths to engines that state limits. Shares are in tokens, so the few starts must not go
// to whoever comes first.
func TestDearAndCheapAtRateLimits(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := newLimitModel(seed, 9, 6, "llm")
		m.limit = between(0, 60*second, 3, 3, 3, 3, 3, 3, 3, 3, 3)
		m.play(40*second, func() {
			for perSecond(m.random, 100) {
				m.submit(m.chat("cheap", 600))
			}
			for perSecond(m.random, 100) {
				m.submit(m.chat("dear", 6000))
			}
		})
		m.logLimits(t, seed, 5*second, 40*second)
		m.isKept(is, 0, 40*second)
		m.isUsed(is, 5*second, 40*second)
		cheap, dear := m.teams["cheap"], m.teams["dear"]
		t.Logf("seed %d: cheap %.0f tokens in %d, dear %.0f in %d", seed, cheap.tokens, cheap.started, dear.tokens, dear.started)
		is.True(cheap.tokens >= 0.5*dear.tokens)
		is.True(dear.tokens >= 0.5*cheap.tokens)
	}
}

// TestRateLimitChangesEachSecond: the stated limit changes every second. No span gets more
// than its largest value allows.
func TestRateLimitChangesEachSecond(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := newLimitModel(seed, 3, 6, "llm")
		values := []float64{6, 1.5, 4, 0.7, 9}
		m.limit = func(engine int, since time.Duration) float64 {
			return values[(int(since/second)+engine)%len(values)]
		}
		m.play(30*second, m.chats(100, 8))
		m.logLimits(t, seed, 5*second, 30*second)
		m.isKept(is, 0, 30*second)
	}
}

// TestRateLimitComesAndGoes: the limit is stated for two seconds out of four. Spans without
// one are unlimited at once, and those with one are kept.
func TestRateLimitComesAndGoes(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := newLimitModel(seed, 3, 6, "plain")
		m.lasting = 0
		m.limit = func(_ int, since time.Duration) float64 {
			if since%(12*second) >= 4*second {
				return 4
			}
			return 0
		}
		m.play(48*second, m.plainRequests(90))
		for begin := 4 * second; begin < 48*second; begin += 12 * second {
			m.isKept(is, begin, begin+8*second)
		}
		for i := range m.engines {
			n := 0
			for _, at := range m.arrivals[i] {
				if since := at.Sub(epoch) % (12 * second); since >= second && since < 4*second {
					n++
				}
			}
			t.Logf("seed %d: %s got %d requests in twelve seconds without a limit", seed, engineName(i), n)
			is.True(n >= 300) // of 360
		}
	}
}

// TestRateLimitOfPlainService: upstreams without prompts keep their limits, too.
func TestRateLimitOfPlainService(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := newLimitModel(seed, 3, 6, "plain")
		m.lasting = 0
		m.limit = between(3*second, 40*second, 3.4, 6.6)
		m.play(36*second, m.plainRequests(30))
		m.logLimits(t, seed, 8*second, 36*second)
		m.isKept(is, 3*second, 36*second)
		m.isUsed(is, 8*second, 36*second)
	}
}

// TestRateLimitsOutlastLeaders: leaders end again and again while limits hold. The last
// requests of one leader, those of gateways that decide alone and those of the next leader
// together keep the limits.
func TestRateLimitsOutlastLeaders(t *testing.T) {
	for _, gateways := range []int{6, 60} {
		for seed := range uint64(10) {
			is := is.New(t)
			m := newLimitModel(seed, 9, gateways, "llm")
			m.limit = between(0, 60*second, 5.7, 2.6, 7, 1, 3.3, 0.5, 10, 3, 1)
			for range 6 {
				m.play(4*second, m.chats(190, 16))
				m.loseLeader()
				m.play(1200*time.Millisecond, m.chats(190, 16))
				m.elect()
			}
			m.logLimits(t, seed, 5*second, 30*second)
			m.isKept(is, 0, 31*second)
		}
	}
}

// TestRateLimitsWithGatewaysCutOff: half of the gateways are cut off from the leader for ten
// seconds and decide alone.
func TestRateLimitsWithGatewaysCutOff(t *testing.T) {
	for _, gateways := range []int{6, 60} {
		for seed := range uint64(10) {
			is := is.New(t)
			m := newLimitModel(seed, 9, gateways, "llm")
			m.limit = between(0, 60*second, 5.7, 2.6, 7, 1, 3.3, 0.5, 10, 3, 1)
			m.play(8*second, m.chats(190, 16))
			for _, g := range m.gateways[:gateways/2] {
				m.cut(g)
			}
			m.play(10*second, m.chats(190, 16))
			for _, g := range m.gateways[:gateways/2] {
				m.link(g)
			}
			m.play(8*second, m.chats(190, 16))
			m.logLimits(t, seed, 5*second, 26*second)
			m.isKept(is, 0, 26*second)
		}
	}
}

// limitedScheduler returns a Scheduler with one upstream of a plain service.
func limitedScheduler() *Scheduler {
	s := New(Settings{}, rand.New(rand.NewPCG(1, 1)))
	s.SetConfiguration(table())
	list := upstreams(1)
	list[0].Service = "plain"
	s.SetUpstreams(list)
	return s
}

// TestOrderOfRateLimitReports guards against limits that are lifted or raised by answers
// which their upstream sent before it stated the limit.
func TestOrderOfRateLimitReports(t *testing.T) {
	is := is.New(t)
	s := limitedScheduler()
	at := func(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }
	place := func(millis int, id uint64) {
		is.Equal(s.Place(at(millis), gateway, Request{
			ID:      id,
			Service: "plain",
		}).Upstream, "e00")
	}
	answer := func(millis int, id uint64, limit RateLimit) float64 {
		s.ApplyRateLimit(at(millis), gateway, RateLimitReport{
			Request:  id,
			Upstream: "e00",
			Limit:    limit,
		})
		return s.RateLimits()["e00"]
	}
	stated := func(perSecond float64) RateLimit { return NewRateLimitReport("", perSecond).Limit }
	place(0, 1)
	place(1, 2)
	place(2, 3)
	is.Equal(answer(10, 1, stated(5)), 5.0)
	is.Equal(answer(11, 2, RateLimit{}), 5.0) // it may be older
	is.Equal(answer(12, 3, stated(9)), 5.0)
	is.Equal(answer(13, 99, RateLimit{}), 5.0) // of an unknown request
	place(1000, 4)
	place(2000, 5)
	is.Equal(answer(2010, 4, RateLimit{
		Malformed: true,
	}), 5.0)
	is.Equal(answer(2011, 4, stated(9)), 9.0)
	is.Equal(answer(2012, 5, stated(3)), 3.0) // lower ones apply at once
	place(4000, 6)
	is.Equal(answer(4010, 6, RateLimit{}), 0.0)
	is.Equal(answer(4020, 6, RateLimit{
		Stated: true,
	}), minRateLimit)
	is.Equal(answer(4030, 6, stated(1e300)), minRateLimit) // placed before
	s.SetUpstreams(nil)
	list := upstreams(1)
	list[0].Service = "plain"
	s.SetUpstreams(list) // it has started again
	is.Equal(len(s.RateLimits()), 0)
}

// TestRateLimitIsNoFailure guards against upstreams with a rate limit that are suspended
// because they reject requests above it, and against starts that are lost with requests
// which were never sent.
func TestRateLimitIsNoFailure(t *testing.T) {
	is := is.New(t)
	s := limitedScheduler()
	s.ApplyRateLimit(epoch, gateway, NewRateLimitReport("e00", 1))
	end := func(seconds int, id uint64, outcome Outcome) Decision {
		d := s.Place(epoch.Add(time.Duration(seconds)*second), gateway, Request{
			ID:      id,
			Service: "plain",
		})
		s.RecordEnd(epoch.Add(time.Duration(seconds)*second), Key{
			Gateway: gateway,
			ID:      id,
		}, outcome)
		return d
	}
	is.Equal(end(0, 1, Answered).Reason, RateLimited) // no burst when the limit begins
	for i := range 5 {
		is.Equal(end(4*i+4, uint64(i+2), NotRun).Upstream, "e00")
	}
	is.Equal(len(s.SuspensionChanges()), 0)
	for i := range 10 {
		is.Equal(end(30, uint64(i+20), Unsent).Upstream, "e00")
	}
	for i := range rateBurst {
		is.Equal(end(30, uint64(i+40), Answered).Upstream, "e00")
	}
	d := end(30, 60, Answered)
	is.Equal(d.Reason, RateLimited)
	is.True(d.RetryAfter >= second) // no start before
}
