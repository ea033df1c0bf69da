package serve

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/gateway/internal/upstream"
)

// fallbacks are the attempts at other upstreams while the exchange of a request is silent. They are
// used by the goroutine that handles the request.
type fallbacks struct {
	running []*fallback
	// lastResort has an error or a refusal of its upstream as its answer, which is used if nothing better
	// comes until lastResortBy.
	lastResort   *fallback
	lastResortBy time.Time
	// adopted is the one that goes on with the answer.
	adopted *fallback
	// due is when the next one may begin; zero before the first silence.
	due time.Time
	// settled receives a value when one is done.
	settled chan struct{}
}

// begun returns the number of attempts that are not recorded as tried yet.
func (b *fallbacks) begun() int {
	n := len(b.running)
	if b.lastResort != nil && !b.lastResort.tried {
		n++
	}
	return n
}

// next returns when another attempt may begin or the last resort is used, whichever is sooner.
func (b *fallbacks) next() time.Time {
	if b.lastResort != nil && b.lastResortBy.Before(b.due) {
		return b.lastResortBy
	}
	return b.due
}

// onStall implements upstream.StallPolicy.OnStall. The exchange goes on until another upstream has
// advanced the answer.
func (x *exchange) onStall(wake func()) (abandon bool, next time.Time) {
	now := time.Now()
	if x.settleFallbacks(now) {
		return true, time.Time{}
	}
	x.beginFallbackIfDue(now, wake)
	return false, x.fallbacks.next()
}

// mayFallBack reports whether a further upstream may get the request.
func (x *exchange) mayFallBack(now time.Time) bool {
	return x.mayAttempt() && x.canContinueElsewhere() &&
		(x.retryCounted || x.handler.budget.remaining(now, x.service, x.view.Gateways) >= 1)
}

// beginFallbackIfDue sends the request to another upstream if one is due. Wake is called when its
// attempt is done.
func (x *exchange) beginFallbackIfDue(now time.Time, wake func()) {
	b := &x.fallbacks
	if now.Before(b.due) || !now.Before(x.deadline) {
		return
	}
	b.due = x.deadline // unless one begins or fails, or the answer advances
	for x.mayFallBack(now) {
		d := x.placeElsewhere()
		if d.Upstream == "" {
			return
		}
		f := &fallback{
			decision: d,
			upstream: x.handler.scheduler.View().Upstreams[d.Upstream],
			sentAt:   now,
			done:     make(chan struct{}),
		}
		if err := x.checkFallback(f); err != nil {
			x.discardFallback(f, x.reportUnsent(d.ID, dispatch.Unsent), err)
			continue
		}
		if !x.mayRetry() {
			x.reportOutcome(d.ID, dispatch.Unsent)
			return
		}
		x.beginFallback(f, wake)
		_, next := x.stallTimes()
		if due := now.Add(next); due.Before(x.deadline) {
			b.due = due
		}
		return
	}
}

// checkFallback returns why the request may not be sent to the upstream.
func (x *exchange) checkFallback(f *fallback) error {
	switch {
	case f.upstream.ID == "":
		return errNotListed
	case x.continues && f.decision.Version == "":
		return errOtherVersion // the leader is an older one, which knows no software versions
	}
	return x.checkDestination(f.upstream)
}

// beginFallback begins an attempt.
func (x *exchange) beginFallback(f *fallback, wake func()) {
	b := &x.fallbacks
	x.recordFallback(f)
	ctx, cancel := context.WithCancel(x.r.Context())
	f.cancel = cancel
	r := x.upstreamRequest(f.upstream)
	r.Stall = upstream.StallPolicy{}
	r.Watch = f.watch(x.running.watch)
	advance := advanceAnswer(r.Method)
	if x.route.Kind == configuration.Stream {
		advance = advanceStream(x.lastEvent(), r.Method)
	}
	if b.settled == nil {
		b.settled = make(chan struct{}, 1)
	}
	b.running = append(b.running, f)
	h, request, id, settled := x.handler, x.r, x.call.ID, b.settled
	go func() {
		defer func() {
			if value := recover(); value != nil {
				f.close()
				f.answer, f.err = nil, errPanicked
				h.reporter.Panicked(value, request, id)
			}
			f.finish(h)
			select {
			case settled <- struct{}{}:
			default:
			}
			wake()
		}()
		f.run(ctx, h, r, advance)
	}()
}

// settleFallbacks handles the attempts that are done. It reports whether one goes on with the answer.
func (x *exchange) settleFallbacks(now time.Time) bool {
	b := &x.fallbacks
	for _, f := range slices.Clone(b.running) {
		if !f.isDone() {
			continue
		}
		b.running = slices.DeleteFunc(b.running, func(o *fallback) bool { return o == f })
		b.due = now // another one may begin at once
		switch {
		case !x.settle(f):
		case f.answer.Status < http.StatusInternalServerError && !f.refused:
			x.adopt(f)
			return true
		case b.lastResort == nil:
			b.lastResort = f
			b.lastResortBy = x.lastResortBy(now)
		default:
			x.reportOutcome(f.decision.ID, dispatch.Failed)
			x.discardFallback(f, failed, errNotBetter)
		}
	}
	if b.lastResort != nil && !now.Before(b.lastResortBy) {
		x.adopt(b.lastResort)
	}
	return b.adopted != nil
}

// settle handles the result of an attempt that is done, and reports whether it may go on with the
// answer.
func (x *exchange) settle(f *fallback) bool {
	switch {
	case errors.Is(f.err, errPanicked):
		x.reportOutcome(f.decision.ID, dispatch.CallerLeft) // says nothing of the upstream
		x.discardFallback(f, failed, f.err)
		return false
	case errors.Is(f.err, upstream.ErrNoConns):
		x.deferFallback(f)
		return false
	case f.answer == nil:
		result, broken := x.classifyUnanswered(f.decision.ID, f.err)
		if broken {
			x.reportOutcome(f.decision.ID, brokenOutcome(f.crashed))
		}
		x.discardFallback(f, result, f.err)
		return false
	}
	reply := x.readReply(f.decision, f.answer)
	f.refused = reply.Refusal
	if r := x.checkReply(f.answer, reply); r != nil {
		x.reportOutcome(f.decision.ID, r.reported)
		x.discardFallback(f, r.outcome, merry.New(r.cause))
		return false
	}
	switch {
	case f.err != nil:
		x.discardFallback(f, x.fallbackBroke(f), f.err)
		return false
	case x.canContinueElsewhere() && (!x.headSent && !x.continues || x.runsVersion(f.upstream)):
		return true
	}
	// The list of upstreams has changed since the attempt began.
	x.reportOutcome(f.decision.ID, dispatch.CallerLeft) // says nothing of the upstream
	x.discardFallback(f, failed, errOtherVersion)
	return false
}

// fallbackBroke reports the outcome of an attempt whose answer can't be used, and returns its result.
func (x *exchange) fallbackBroke(f *fallback) outcome {
	switch {
	case x.r.Context().Err() != nil:
		x.reportOutcome(f.decision.ID, dispatch.CallerLeft)
		return callerLeft
	case !time.Now().Before(x.deadline):
		x.reportOutcome(f.decision.ID, dispatch.ResponseTimeout)
		return pastDeadline
	}
	x.reportOutcome(f.decision.ID, brokenOutcome(f.crashed))
	return failed
}

// deferFallback records an attempt for which no connection may be opened. Another one may begin after the time
// limit of silence, and at the end of the silent exchange, which has a connection.
func (x *exchange) deferFallback(f *fallback) {
	f.cancel()
	x.reportOutcome(f.decision.ID, dispatch.Unsent)
	x.retryCounted = true
	_, next := x.stallTimes()
	x.fallbacks.due = time.Now().Add(next)
	if x.fallbacks.due.After(x.deadline) {
		x.fallbacks.due = x.deadline
	}
	step := fallbackStep(f)
	step.Cause = f.err.Error()
	x.recordAttempt(step, notRun)
}

// discardFallback records an attempt that brings no answer.
func (x *exchange) discardFallback(f *fallback, result outcome, cause error) {
	f.close()
	if f.cancel != nil {
		f.cancel()
	}
	x.tried = append(x.tried, f.decision.Upstream)
	x.mayHaveRun = x.mayHaveRun || result == failed || result == pastDeadline
	if x.nothingSent {
		x.nothingSent = false // to this upstream only
		x.retryCounted = x.retryCounted || f.cancel != nil
	}
	step := fallbackStep(f)
	step.Cause = cause.Error()
	x.recordAttempt(step, result)
}

// adopt lets an attempt go on with the answer and ends the others.
func (x *exchange) adopt(f *fallback) {
	b := &x.fallbacks
	if b.lastResort == f {
		b.lastResort = nil
	}
	x.endFallbacks()
	b.adopted = f
}

// takeAdopted returns the attempt that goes on with the answer, or nil.
func (x *exchange) takeAdopted() *fallback {
	f := x.fallbacks.adopted
	x.fallbacks.adopted = nil
	return f
}

// endFallbacks ends all attempts, since the answer has advanced or the request has ended.
func (x *exchange) endFallbacks() {
	b := &x.fallbacks
	if b.due.IsZero() {
		return // none has begun
	}
	_, next := x.stallTimes()
	b.due = time.Now().Add(next)
	if b.lastResort != nil {
		b.running = append(b.running, b.lastResort)
	}
	if b.adopted != nil {
		b.running = append(b.running, b.adopted)
	}
	for _, f := range b.running {
		broke := f.end()
		if f.tried {
			x.reportOutcome(f.decision.ID, dispatch.Failed)
			continue
		}
		x.mayHaveRun = true
		if broke {
			x.tried = append(x.tried, f.decision.Upstream)
			x.recordAttempt(fallbackStep(f), failed)
			continue
		}
		x.reportOutcome(f.decision.ID, dispatch.CallerLeft) // says nothing of the upstream
		x.superseded = append(x.superseded, f.decision.Upstream)
		x.recordAttempt(fallbackStep(f), superseded)
	}
	b.running, b.lastResort, b.adopted = nil, nil, nil
}

// awaitFallbacks waits until one of the attempts goes on with the answer after the exchange that was
// silent has ended with the given result. It reports whether there is one, and the result otherwise.
func (x *exchange) awaitFallbacks(result outcome) (bool, outcome) {
	b := &x.fallbacks
	if b.adopted != nil {
		return true, result
	}
	if len(b.running) == 0 && b.lastResort == nil {
		return false, result
	}
	for now := time.Now(); !x.settleFallbacks(now); now = time.Now() {
		x.beginFallbackIfDue(now, func() {})
		if len(b.running) == 0 {
			break
		}
		timer := time.NewTimer(time.Until(b.next())) // which is the deadline of the request at most
		select {
		case <-b.settled:
		case <-timer.C:
		case <-x.r.Context().Done():
		}
		timer.Stop()
		if x.r.Context().Err() != nil {
			return false, callerLeft
		}
		if !time.Now().Before(x.deadline) {
			return false, pastDeadline
		}
	}
	if b.adopted == nil && b.lastResort != nil {
		x.adopt(b.lastResort)
	}
	return b.adopted != nil, result
}

// lastEvent returns the identifier of the last event that the caller has; empty if it has none.
func (x *exchange) lastEvent() string {
	if id := string(x.events.lastID); id != "" {
		return id
	}
	if x.continues {
		return x.call.LastEvent
	}
	return ""
}

// fallbackStep returns the line of the log about an attempt without its outcome.
func fallbackStep(f *fallback) trace.Tried {
	step := trace.Tried{
		Upstream: f.decision.Upstream,
		Version:  f.upstream.Version,
		Took:     time.Since(f.sentAt),
	}
	if f.isDone() && f.answer != nil {
		step.Status = f.answer.Status
	}
	return step
}

// recordFallback logs that the request is sent to another upstream, since the chosen one is silent.
func (x *exchange) recordFallback(f *fallback) {
	now := time.Now()
	if x.sending {
		x.requestLog().Step(now, trace.Silent{
			Upstream:  x.upstream.ID,
			Took:      now.Sub(x.sentAt),
			LastEvent: x.lastEvent(),
		})
	}
	x.recordPlaced(f.decision)
}
