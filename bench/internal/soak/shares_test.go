package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFloodsShareSlowUpstreams: two teams flood upstreams that do far less than the
// declared throughput, one with six callers through one gateway, the other one with
// eight times as many through all. Over six seconds none receives less than half of what
// the other one does.
func TestFloodsShareSlowUpstreams(t *testing.T) {
	is := is.New(t)
	s, ctx := startReal(t, Options{
		Seed:        1,
		Controllers: 3,
		Gateways:    3,
		Upstreams:   2,
		Network:     sharesNetwork,
	})
	// The first requests find empty upstreams and are read within four seconds.
	const warm, span = 6 * time.Second, 6 * time.Second
	for _, u := range s.upstreams {
		go u.InjectFault("reads slowly", warm+span+time.Second)
	}
	begun := time.Now()
	calling, hush := context.WithDeadline(ctx, begun.Add(warm+span))
	defer hush()
	var group sync.WaitGroup
	for i := range 6 + 48 {
		c := &caller{
			soak:   s,
			random: rand.New(rand.NewPCG(1, uint64(i))),
		}
		key := steadyKeys[0]
		if i >= 6 {
			key = steadyKeys[1]
			c.gateway = i % len(s.fleet.gateways)
		}
		group.Go(func() { c.flood(calling, key) })
	}
	group.Wait()
	received := make(map[string]int)
	s.ledger.mu.Lock()
	for _, a := range s.ledger.attempts {
		for _, r := range a.Executions {
			if since := r.Start.Sub(begun); since >= warm && since < warm+span {
				received[a.Key]++
			}
		}
	}
	s.ledger.mu.Unlock()
	t.Logf("received by teams: %v", received)
	few, many := received[steadyKeys[0]], received[steadyKeys[1]]
	is.True(few+many >= 60) // the upstreams can do 80 and were not left idle
	is.True(2*few >= many)
	is.True(2*many >= few)
	is.Equal(s.ledger.Violations(), nil)
}

// flood sends drafts of a team until the context ends, and comes back when it is told.
func (c *caller) flood(ctx context.Context, key string) {
	defer c.hangUp()
	for ctx.Err() == nil {
		a := c.pick()
		a.Kind = Draft
		a.Key = key
		a.Events = 2
		time.Sleep(min(c.ask(a), time.Second))
	}
}

// sharesNetwork is the second number of the test's loopback addresses.
const sharesNetwork = 10
