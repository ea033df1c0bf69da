package gateway

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/state"
)

// fakeExecutor has no leader until it leads.
type fakeExecutor struct {
	mu      sync.Mutex
	leads   bool
	streams []origin.Stream
}

func (e *fakeExecutor) lead() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leads = true
}

func (e *fakeExecutor) recorded() []origin.Stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams
}

func (e *fakeExecutor) Execute(_ context.Context, command state.Command, _ uint32) (state.Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leads {
		return state.Result{}, replica.ErrNotLeader
	}
	for _, b := range command.Origins.Begun {
		e.streams = append(e.streams, b.Streams...)
	}
	return state.Result{}, nil
}

// TestHeldStreamsOutliveTheirGateway guards against streams that can't be resumed since there was
// no leader while their gateway lived: a controller holds them until there is one.
func TestHeldStreamsOutliveTheirGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		executor := &fakeExecutor{}
		h := NewStreamHolder(executor, slog.New(slog.DiscardHandler))
		go h.Run(ctx)
		batches := func(streams ...origin.Stream) []origin.Batch {
			return []origin.Batch{{
				Service: "llm",
				Version: "v1",
				Streams: streams,
			}}
		}
		started := time.Now()
		is.True(!h.Record(ctx, batches(1, 2)))
		is.Equal(time.Since(started), recordTimeout)
		is.True(!h.Record(ctx, batches(1, 2, 3))) // sent again, with another
		executor.lead()
		time.Sleep(2 * holderRetryInterval)
		is.Equal(executor.recorded(), []origin.Stream{1, 2, 3})
		is.True(h.Record(ctx, batches(4)))
		is.Equal(executor.recorded(), []origin.Stream{1, 2, 3, 4})
		cancel()
		synctest.Wait()
	})
}
