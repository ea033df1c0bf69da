package serve

import (
	"context"
	"sync"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/gateway/internal/controller"
)

// fakeFleet places requests at its upstreams in turn.
type fakeFleet struct {
	mu     sync.Mutex
	view   controller.View
	order  []string
	next   int
	refuse *dispatch.Decision
	ended  []dispatch.Outcome
	words  []dispatch.Notice
	// refused are the tokens of teams that were refused without asking.
	refused map[string]int
}

func (f *fakeFleet) View() *controller.View { return &f.view }

func (f *fakeFleet) Place(_ context.Context, r dispatch.Request) dispatch.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse != nil {
		return *f.refuse
	}
	f.next++
	return dispatch.Decision{
		ID:       r.ID,
		Upstream: f.order[(f.next-1)%len(f.order)],
	}
}

func (f *fakeFleet) RecordStart(uint64) {}

func (f *fakeFleet) RecordEnd(_ uint64, e dispatch.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, e)
}

func (f *fakeFleet) RecordNotice(w dispatch.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.words = append(f.words, w)
}

func (f *fakeFleet) RecordRefusal(team string, p dispatch.Prompt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused == nil {
		f.refused = make(map[string]int)
	}
	f.refused[team] += p.Tokens
}
