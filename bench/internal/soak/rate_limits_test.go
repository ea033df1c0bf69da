package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// limitsNetwork is the second byte of the test's loopback addresses.
	limitsNetwork = 11
	// From limitGrace after an upstream began to state a limit it may get 1.5 times that and
	// limitSlack requests more within any limitSpan.
	limitGrace = 3 * time.Second
	limitSpan  = 4 * time.Second
	limitSlack = 5
)

// TestRateLimitsOfUpstreams has upstreams of both services state rate limits while teams
// flood them, and kills one controller after the other, the leader among them. The fleet as
// a whole keeps the limits and uses them, and uses the upstreams fully once they have ended.
func TestRateLimitsOfUpstreams(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        4,
		Controllers: 3,
		Gateways:    3,
		Upstreams:   2,
		Network:     limitsNetwork,
	})
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var group sync.WaitGroup
	for i := range 36 {
		c := &caller{
			soak:    s,
			gateway: i % len(s.fleet.gateways),
			random:  rand.New(rand.NewPCG(4, uint64(i))),
		}
		kind := []Kind{Draft, Look, Chat, Book}[i%4]
		group.Go(func() { c.press(calling, kind, permanentKeys[i%2]) })
	}
	time.Sleep(time.Second)
	limits := []float64{4, 2, 9, 6}
	for i, u := range s.upstreams {
		u.stateRateLimit(limits[i])
	}
	stated := time.Now()
	time.Sleep(limitGrace + time.Second)
	for _, p := range s.fleet.controllers {
		s.faults.restart(p, rand.New(rand.NewPCG(4, 99)), (*process).kill)
		time.Sleep(3 * time.Second)
	}
	until := time.Now()
	for i, u := range s.upstreams {
		u.mu.Lock()
		arrived := u.limited
		u.mu.Unlock()
		most := mostWithin(arrived, stated.Add(limitGrace), limitSpan)
		used := float64(len(arrived)) / (limits[i] * until.Sub(stated).Seconds())
		t.Logf("limit %.0f a second: %d requests, %.2f of it, at most %d in 4 s", limits[i], len(arrived), used, most)
		is.True(float64(most) <= 1.5*limits[i]*limitSpan.Seconds()+limitSlack)
		is.True(used >= 0.5) // leaders are missing for some of the time
		u.stateRateLimit(0)
	}
	time.Sleep(2 * time.Second) // the next answers show that the limits have ended
	time.Sleep(2 * time.Second)
	stopCalling()
	group.Wait()
	is.Equal(s.ledger.Violations(), nil)
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	served := 0
	for _, a := range s.ledger.attempts {
		if a.Sent.After(until.Add(2*time.Second)) && a.Status == 200 {
			served++
		}
	}
	t.Logf("%d requests served in the two seconds after the limits", served)
	is.True(served >= 100) // the limits allow 42 in two seconds
}

// mostWithin returns the largest number of times after from that lie within one span.
func mostWithin(times []time.Time, from time.Time, span time.Duration) int {
	most := 0
	for i, first := range times {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, t := range times[i:] {
			if t.Sub(first) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// press sends requests of one kind with short pauses until the context ends.
func (c *caller) press(ctx context.Context, kind Kind, key string) {
	defer c.disconnect()
	for ctx.Err() == nil {
		a := c.newAttempt()
		a.Kind = kind
		a.Key = key
		a.Events = min(a.Events, 5)
		time.Sleep(max(min(c.send(a), 300*time.Millisecond), 20*time.Millisecond))
	}
}
