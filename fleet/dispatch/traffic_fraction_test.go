package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNoLeaderCrowdedGateway: the leader is gone, and nine tenths of the requests come
// through one of ten gateways, each of which decides alone. All know which part of the
// requests is theirs. The fleet has room for what comes, so hardly anything is refused,
// and no engine has far more than the others.
func TestNoLeaderCrowdedGateway(t *testing.T) {
	is := is.New(t)
	const gateways, engines, requests = 10, 20, 600
	random := rand.New(rand.NewPCG(5, 6))
	var cores []*Scheduler
	for i := range gateways {
		c := New(Settings{}, rand.New(rand.NewPCG(uint64(i), 7)))
		c.SetConfiguration(table())
		c.SetUpstreams(upstreams(engines))
		c.SetTrafficFraction(0.1 / (gateways - 1))
		cores = append(cores, c)
	}
	cores[0].SetTrafficFraction(0.9)
	at := make(map[string]int)
	refused := 0
	tokens := fleetTokens * 2 / 3 / float64(requests)
	for i := range requests {
		gateway := 0
		if random.Float64() > 0.9 {
			gateway = 1 + random.IntN(gateways-1)
		}
		// A second at two thirds of the declared throughput.
		now := epoch.Add(time.Duration(i) * time.Second / requests)
		d := cores[gateway].Place(now, "", Request{
			ID:      uint64(i),
			Service: "llm",
			Team:    fmt.Sprint(i % 4),
			Prompt: Prompt{
				Tokens: int(tokens),
			},
			Objective: time.Second,
		})
		if d.Upstream == "" {
			refused++
			continue
		}
		at[d.Upstream]++
	}
	most := 0
	for _, n := range at {
		most = max(most, n)
	}
	t.Logf("refused %d of %d, at most %d at an engine, %d engines", refused, requests, most, len(at))
	is.True(refused*50 <= requests)
	is.Equal(len(at), engines)
	is.True(most <= 2*requests/engines)
}

// TestNoLeaderGatewaysSpread: seventy gateways that have seen nothing place one request
// each. They don't all choose the same engine.
func TestNoLeaderGatewaysSpread(t *testing.T) {
	is := is.New(t)
	const gateways, engines = 70, 35
	at := make(map[string]int)
	for i := range gateways {
		c := New(Settings{
			TrafficFraction: 1.0 / gateways,
		}, rand.New(rand.NewPCG(uint64(i), 8)))
		c.SetUpstreams(upstreams(engines))
		d := c.Place(epoch, "", Request{
			ID:      1,
			Service: "llm",
			Prompt: Prompt{
				Tokens: 100,
			},
			Objective: time.Second,
		})
		at[d.Upstream]++
	}
	for id, n := range at {
		t.Logf("%s: %d", id, n)
		is.True(n <= 8)
	}
}
