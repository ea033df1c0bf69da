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

// backloggedTeam is a team whose callers, all at one gateway, each keep one request in
// flight without a pause.
type backloggedTeam struct {
	team    string
	gateway int
	callers int
	tokens  int          // length of each answer
	served  atomic.Int64 // tokens received
}

// sendRequests is one caller: it streams requests one after the other until the context
// ends and counts the tokens as they arrive.
func (b *backloggedTeam) sendRequests(ctx context.Context, f *local.Fleet) {
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

// TestBackloggedTeamsShareEngines keeps four teams backlogged at two gateways in
// front of three engines: one team has three times as many callers, one has requests
// four times as long. The tokens that the teams receive may differ by no more than the
// bound of docs/design/sharing.md: each team's part of the slots times the longest
// request, two reserves (what a request is charged at its grant), and what the engines
// produce while the controller's totals age. The age includes one extra second for a
// busy machine.
func TestBackloggedTeamsShareEngines(t *testing.T) {
	t.Parallel()
	const (
		engines, maxRunning, rate = 3, 4, 200
		longest                   = 120
		settle, measured          = 3 * time.Second, 10 * time.Second
		reserve, totalsAge        = 64, 1.6 // units of service, seconds
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
			group.Go(func() { b.sendRequests(ctx, f) })
		}
	}
	time.Sleep(settle)
	var before, received [4]int64
	for i, b := range backlogged {
		before[i] = b.served.Load()
	}
	time.Sleep(measured)
	least, most := int64(1<<62), int64(0)
	for i, b := range backlogged {
		received[i] = b.served.Load() - before[i]
		least = min(least, received[i])
		most = max(most, received[i])
	}
	cancel()
	group.Wait()
	bound := float64(engines*maxRunning)/float64(len(backlogged))*longest + 2*reserve + engines*maxRunning*rate*totalsAge
	t.Logf("tokens=%v gap=%d bound=%.0f", received, most-least, bound)
	if least == 0 || float64(most-least) > bound {
		t.Errorf("the teams' tokens differ by %d; at most %.0f is allowed and each team must receive some", most-least, bound)
	}
}
