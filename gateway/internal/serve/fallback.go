package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/gateway/internal/upstream"
)

// fallback is an attempt at another upstream that begins while the exchange of its request is silent.
// Both go on until one of them advances the answer. It has a goroutine of its own, which sends the
// request and reads the answer up to the part that advances it.
type fallback struct {
	decision dispatch.Decision
	upstream dispatch.Upstream
	sentAt   time.Time
	cancel   context.CancelFunc // nil before the attempt begins
	refused  bool               // set by settle: callers take the answer's status to mean that nothing was run
	done     chan struct{}      // closed once answer and err are set
	tried    bool               // it was the silent exchange, which ended with an error, and is recorded as tried

	// answer is nil if the upstream sent none.
	answer *upstream.Answer
	// err is why there is no answer, or why it breaks off before the part that advances it.
	err error
	// crashed is true if the attempt broke off and its host then refused connections.
	crashed bool

	mu       sync.Mutex
	ended    bool   // the attempt isn't needed
	checking bool   // the attempt broke off, and crashed is being determined or set
	abort    func() // of the exchange; nil while there is none
}

// errNoEvent means that a stream has ended before an event that advances the answer.
var errNoEvent = merry.Sentinel("the stream ended without a further event")

// errNotBetter means that an upstream answered with an error as another one had done.
var errNotBetter = merry.Sentinel("another upstream answered with an error as well")

// errPanicked means that the attempt ended with a panic.
var errPanicked = merry.Sentinel("the attempt panicked")

// watch returns an upstream.Request.Watch that also lets end abort the exchange.
func (f *fallback) watch(watch func(abort func()) (stop func())) func(abort func()) (stop func()) {
	return func(abort func()) func() {
		stop := watch(abort)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.abort = abort
		if f.ended {
			abort()
		}
		return func() {
			stop()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.abort = nil
		}
	}
}

// end ends an attempt that isn't needed. The upstream sees its end at once. It reports whether the attempt
// has broken off and its goroutine reports that.
func (f *fallback) end() (broke bool) {
	f.cancel()
	f.mu.Lock()
	f.ended = true
	if f.abort != nil {
		f.abort()
	}
	done := f.isDone()
	broke = f.checking && !done
	f.mu.Unlock()
	if done {
		f.close()
	}
	return broke
}

// isDone reports whether answer and err are set.
func (f *fallback) isDone() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// close closes the answer if there is one.
func (f *fallback) close() {
	if f.answer != nil {
		f.answer.Close()
	}
}

// finish publishes answer and err. If the attempt isn't needed it closes the answer, and reports a break.
func (f *fallback) finish(h *Handler) {
	f.mu.Lock()
	close(f.done)
	ended := f.ended
	f.mu.Unlock()
	if !ended {
		return
	}
	f.close()
	if f.checking {
		h.scheduler.ReportOutcome(f.decision.ID, brokenOutcome(f.crashed))
	}
}

// check determines whether the host of the upstream refuses connections, after the attempt broke off.
func (f *fallback) check(h *Handler) {
	f.mu.Lock()
	f.checking = !f.ended
	f.mu.Unlock()
	if f.checking {
		f.crashed = h.client.Refuses(f.upstream.Address)
	}
}

// brokeOff reports whether err means that an attempt broke off after its request was sent.
func brokeOff(ctx context.Context, deadline time.Time, err error) bool {
	switch {
	case err == nil, ctx.Err() != nil, !time.Now().Before(deadline):
		return false
	}
	return !errors.Is(err, upstream.ErrUnreachable) && !errors.Is(err, upstream.ErrNoConns) && !errors.Is(err, upstream.ErrAbandoned)
}

// run sends the request and reads the answer up to the part that advances it, unless the upstream
// refuses the request. If the attempt breaks off it checks the host, so that the silent exchange need not wait for that.
func (f *fallback) run(ctx context.Context, h *Handler, r upstream.Request, advance func(a *upstream.Answer) error) {
	if f.answer, f.err = h.client.Send(ctx, f.upstream.Address, r); f.err == nil {
		reply := h.protocol.ReadReply(f.answer.Status, f.answer.Header)
		if !reply.OtherUpstream && !reply.NotRun && !reply.Refusal {
			f.err = advance(f.answer)
		}
	}
	if brokeOff(ctx, r.Deadline, f.err) {
		f.check(h)
	}
}

// advanceStream returns a function that reads a stream up to its next event. The stream goes on after
// the event with the identifier last, unless that is empty.
func advanceStream(last, method string) func(a *upstream.Answer) error {
	return func(a *upstream.Answer) error {
		if a.Status >= http.StatusMultipleChoices || a.Status == http.StatusNoContent || method == http.MethodHead {
			return advanceAnswer(method)(a)
		}
		found := false
		ended, err := a.ReadAhead(func(read []byte) (bool, error) {
			var s eventScanner
			var id string
			id, found = firstID(s.next(read))
			if found && last != "" && !follows(id, last) {
				return false, errNotContinued
			}
			return found || len(read) >= freeAnswerBytes, nil
		})
		if err == nil && ended && !found && (last == "" || !a.Framed()) {
			return errNoEvent
		}
		return err
	}
}

// advanceAnswer returns a function that reads an answer that is no stream to its end, or up to
// freeAnswerBytes of it.
func advanceAnswer(method string) func(a *upstream.Answer) error {
	return func(a *upstream.Answer) error {
		length := int64(0)
		ended, err := a.ReadAhead(func(read []byte) (bool, error) {
			length = int64(len(read))
			return len(read) >= freeAnswerBytes, nil
		})
		if err == nil && ended && a.Length > 0 && length != a.Length && method != http.MethodHead {
			return io.ErrUnexpectedEOF
		}
		return err
	}
}
