package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/state"
)

const (
	// recordTimeout bounds how long a gateway waits until its streams are recorded.
	recordTimeout = 400 * time.Millisecond
	// holderProposeTimeout bounds one attempt to have streams recorded.
	holderProposeTimeout = time.Second
	// holderRetryInterval is the pause between two attempts.
	holderRetryInterval = 200 * time.Millisecond
	// maxHeldChangeStreams is the number of streams in one attempt.
	maxHeldChangeStreams = 4096
)

// Executor has a command executed by the leading controller, this one or another. Hops
// counts how often the command was forwarded.
type Executor interface {
	Execute(ctx context.Context, command state.Command, hops uint32) (state.Result, error)
}

// StreamHolder has the origins of streams recorded by the leader for gateways that don't reach
// it. Until they are recorded, it holds them in memory. Its methods are safe for concurrent use;
// Record has an effect only while Run runs.
type StreamHolder struct {
	executor Executor
	log      *slog.Logger
	added    chan struct{}

	mu      sync.Mutex
	pending origin.Pending
	// recorded is closed and replaced when streams have been recorded, and recordedEnd is the
	// position up to which they are.
	recorded    chan struct{}
	recordedEnd uint64
}

// NewStreamHolder returns a holder without streams that has them recorded by executor.
func NewStreamHolder(executor Executor, log *slog.Logger) *StreamHolder {
	return &StreamHolder{
		executor: executor,
		log:      log,
		added:    make(chan struct{}, 1),
		recorded: make(chan struct{}),
	}
}

// Record holds streams until the leader has recorded them. It reports whether that has happened
// within recordTimeout and before the context ended.
func (h *StreamHolder) Record(ctx context.Context, batches []origin.Batch) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	end := h.add(time.Now(), batches)
	select {
	case h.added <- struct{}{}:
	default:
	}
	for {
		h.mu.Lock()
		done, changed := h.recordedEnd >= end, h.recorded
		h.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// add adds streams and returns the position after them.
func (h *StreamHolder) add(now time.Time, batches []origin.Batch) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range batches {
		for _, s := range b.Streams {
			h.pending.Add(now, s, origin.Origin{
				Service: b.Service,
				Version: b.Version,
			})
		}
	}
	return h.pending.End()
}

// Run has the held streams recorded until the context ends.
func (h *StreamHolder) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		h.mu.Lock()
		expired := h.pending.Expire(time.Now())
		batches, end := h.pending.From(0, maxHeldChangeStreams)
		held := h.pending.Len()
		h.mu.Unlock()
		if expired > 0 {
			h.log.Warn("origins of streams not recorded, dropped", "streams", expired)
		}
		if held == 0 {
			select {
			case <-ctx.Done():
			case <-h.added:
			}
			continue
		}
		err := h.propose(ctx, batches)
		if (err != nil) != failing {
			failing = err != nil
			h.log.Info("recording of streams for gateways without a link changed", "recorded", !failing, "cause", err, "streams", held)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(holderRetryInterval):
			}
			continue
		}
		h.confirm(end)
	}
}

// propose has streams recorded by the leader.
func (h *StreamHolder) propose(ctx context.Context, batches []origin.Batch) error {
	ctx, cancel := context.WithTimeout(ctx, holderProposeTimeout)
	defer cancel()
	_, err := h.executor.Execute(ctx, state.Command{
		Origins: &origin.Change{
			Begun: batches,
		},
	}, 0)
	return err
}

// confirm removes the streams before a position, which are recorded.
func (h *StreamHolder) confirm(end uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending.Confirm(end)
	h.recordedEnd = end
	close(h.recorded)
	h.recorded = make(chan struct{})
}
