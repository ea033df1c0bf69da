package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFloodsShareSlowUpstreams has two teams flood upstreams whose throughput is far below
// the declared one: one team with six callers through one gateway, the other with eight
// times as many through all gateways. Over six seconds, neither may receive less than half
// of what the other receives.
func TestFloodsShareSlowUpstreams(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        1,
		Controllers: 3,
		Gateways:    3,
		Upstreams:   2,
		Network:     sharesNetwork,
	})
	// The first requests reach idle upstreams; their prompts are read within four seconds.
	const warmUp, window = 6 * time.Second, 6 * time.Second
	for _, u := range s.upstreams {
		go u.InjectFault("reads slowly", warmUp+window+time.Second)
	}
	started := time.Now()
	calling, stopCalling := context.WithDeadline(ctx, started.Add(warmUp+window))
	defer stopCalling()
	var group sync.WaitGroup
	for i := range 6 + 48 {
		c := &caller{
			soak:   s,
			random: rand.New(rand.NewPCG(1, uint64(i))),
		}
		key := permanentKeys[0]
		if i >= 6 {
			key = permanentKeys[1]
			c.gateway = i % len(s.fleet.gateways)
		}
		group.Go(func() { c.flood(calling, key) })
	}
	group.Wait()
	received := make(map[string]int)
	s.ledger.mu.Lock()
	for _, a := range s.ledger.attempts {
		for _, r := range a.Executions {
			if since := r.Start.Sub(started); since >= warmUp && since < warmUp+window {
				received[a.Key]++
			}
		}
	}
	s.ledger.mu.Unlock()
	t.Logf("received by teams: %v", received)
	few, many := received[permanentKeys[0]], received[permanentKeys[1]]
	is.True(few+many >= 60) // the upstreams can run 80, and were not idle
	is.True(2*few >= many)
	is.True(2*many >= few)
	is.Equal(s.ledger.Violations(), nil)
}

// flood sends drafts with a key until the context ends, and repeats them after the
// Retry-After that it receives, at most a second.
func (c *caller) flood(ctx context.Context, key string) {
	defer c.disconnect()
	for ctx.Err() == nil {
		a := c.newAttempt()
		a.Kind = Draft
		a.Key = key
		a.Events = 2
		time.Sleep(min(c.send(a), time.Second))
	}
}

// sharesNetwork is the second byte of the test's loopback addresses.
const sharesNetwork = 10
