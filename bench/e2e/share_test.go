package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"baobabpaddle/bench/internal/local"
)

// backlog is one team's callers, each of which always has a request of so many
// tokens under way at one gateway.
type backloggedTeam struct {
	team    string
	gateway int
	callers int
	tokens  int
	served  atomic.Int64 // tokens that have arrived
}

// call streams requests, one after the other, and counts the tokens as they come.
func (b *backloggedTeam) call(ctx context.Context, f *local.Fleet) {
	body := fmt.Sprintf(`{"model":"model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, b.tokens)
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+f.Addresses.Gateways[b.gateway]+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer key-"+b.team)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			if strings.Contains(lines.Text(), `"content"`) {
				b.served.Add(1)
			}
		}
		_ = response.Body.Close()
	}
}

// TestBackloggedTeamsShareRealEngines keeps four teams backlogged at two gateways
// before three engines: one with three times as many callers, one with requests
// four times as long. What they receive differs by no more than the bound of
// docs/design/sharing.md, with a second added to the age of totals for a busy
// machine.
func TestBackloggedTeamsShareRealEngines(t *testing.T) {
	t.Parallel()
	const (
		engines, maxRunning, rate = 3, 4, 200
		longest                   = 120
		settle, measured          = 3 * time.Second, 10 * time.Second
		reserve, age              = 64, 1.6 // units, seconds
	)
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			engines:    engines,
			bookings:   1,
			maxRunning: maxRunning,
		}),
		TokensPerSecond: rate,
	})
	waitServing(t, f)
	backlogged := []*backloggedTeam{
		{
			team:    "team-0",
			callers: 24,
			tokens:  30,
		},
		{
			team:    "team-1",
			gateway: 1,
			callers: 8,
			tokens:  longest,
		},
		{
			team:    "team-2",
			callers: 8,
			tokens:  30,
		},
		{
			team:    "team-3",
			gateway: 1,
			callers: 8,
			tokens:  60,
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, b := range backlogged {
		for range b.callers {
			group.Go(func() { b.call(ctx, f) })
		}
	}
	time.Sleep(settle)
	var before, got [4]int64
	for i, b := range backlogged {
		before[i] = b.served.Load()
	}
	time.Sleep(measured)
	least, most := int64(1<<62), int64(0)
	for i, b := range backlogged {
		got[i] = b.served.Load() - before[i]
		least = min(least, got[i])
		most = max(most, got[i])
	}
	cancel()
	group.Wait()
	bound := float64(engines*maxRunning)/float64(len(backlogged))*longest + 2*reserve + engines*maxRunning*rate*age
	t.Logf("tokens=%v gap=%d bound=%.0f", got, most-least, bound)
	if least == 0 || float64(most-least) > bound {
		t.Errorf("gap %d of %.0f", most-least, bound)
	}
}
