package serve

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/gateway/internal/upstream"
)

// attempt sends the request to one upstream, forwards the answer, and logs and counts
// the result.
func (x *exchange) attempt(d dispatch.Decision) outcome {
	x.nothingSent = false
	x.sentAt = time.Now()
	step := trace.Tried{
		Upstream: d.Upstream,
	}
	var result outcome
	if f := x.takeAdopted(); f != nil {
		result = x.continueWith(f, &step)
	} else {
		result = x.send(d, &step)
	}
	step.Took = time.Since(x.sentAt)
	if step.Cause == "" && x.responseErr != nil {
		step.Cause = x.responseErr.Error()
	}
	x.responseErr = nil
	x.recordAttempt(step, result)
	return result
}

// recordPlaced logs the upstream chosen for the request.
func (x *exchange) recordPlaced(d dispatch.Decision) {
	x.requestLog().Step(time.Now(), trace.Placed{
		RequestInfo: x.requestInfo(),
		Upstream:    d.Upstream,
		Inputs:      d.Inputs,
	})
}

// recordAttempt logs and counts the result of an attempt.
func (x *exchange) recordAttempt(step trace.Tried, result outcome) {
	step.Outcome = result.String()
	step.LastEvent = string(x.events.lastID)
	if result == failed || result == truncated {
		step.SharedSegments = x.call.Prompt.Shared()
		step.Digest = x.digest()
	}
	x.requestLog().Step(time.Now(), step)
	x.handler.counters.countAttempt(result)
}

// continueWith forwards the answer of an attempt that goes on with it.
func (x *exchange) continueWith(f *fallback, step *trace.Tried) outcome {
	defer f.cancel()
	defer f.answer.Close()
	x.upstream, x.sentAt, x.sending = f.upstream, f.sentAt, true
	step.Version = f.upstream.Version
	if f.tried {
		i := slices.Index(x.tried, f.upstream.ID)
		x.tried = slices.Delete(x.tried, i, i+1) // it is added at the end of the attempt
	} else {
		f.answer.SetStallPolicy(x.stallTimeouts(time.Now()))
	}
	return x.forwardAnswer(f.decision, f.answer, step)
}

// send sends the request to one upstream, forwards the answer and reports the outcome to
// the scheduler. It sets the status and the cause of a failure in step.
func (x *exchange) send(d dispatch.Decision, step *trace.Tried) outcome {
	h := x.handler
	destination, ok := h.scheduler.View().Upstreams[d.Upstream]
	if !ok {
		step.Cause = errNotListed.Error()
		x.reportOutcome(d.ID, dispatch.Unreachable)
		return notRun
	}
	step.Version = destination.Version
	x.upstream = destination
	if err := x.checkDestination(destination); err != nil {
		step.Cause = err.Error()
		return x.reportUnsent(d.ID, dispatch.Unsent)
	}
	request := x.upstreamRequest(destination)
	x.sending = true
	answer, err := h.client.Send(x.r.Context(), destination.Address, request)
	if err != nil {
		step.Cause = err.Error()
		return x.sendFailed(d.ID, destination.Address, err)
	}
	kept := false
	defer func() {
		if !kept {
			answer.Close()
		}
	}()
	step.Status = answer.Status
	reply := x.readReply(d, answer)
	step.RateLimit = reply.RateLimit
	if r := x.checkReply(answer, reply); r != nil {
		step.Cause = r.cause
		x.reportOutcome(d.ID, r.reported)
		return r.outcome
	}
	if x.retriesError(answer, reply) {
		if kept = x.keepError(d, answer); kept {
			return failed
		}
		x.reportOutcome(d.ID, dispatch.Failed)
		return failed
	}
	return x.forwardAnswer(d, answer, step)
}

// forwardAnswer forwards an answer and reports the outcome to the scheduler.
func (x *exchange) forwardAnswer(d dispatch.Decision, answer *upstream.Answer, step *trace.Tried) outcome {
	step.Status = answer.Status
	defer func() { step.RequestErr = answer.RequestErr() }()
	if x.route.Kind == configuration.Stream && answer.Status < http.StatusMultipleChoices {
		return x.forward(d.ID, x.upstream.Address, answer, x.forwardEvents)
	}
	return x.forward(d.ID, x.upstream.Address, answer, x.forwardBuffered)
}

// upstreamRequest returns the request to an upstream. A resumed stream carries the identifier of the
// last event that was received completely. The functions of the request may be called by another
// goroutine.
func (x *exchange) upstreamRequest(u dispatch.Upstream) upstream.Request {
	h, ctx := x.handler, x.r.Context()
	head := make([]byte, 0, 1024)
	head = append(head, x.r.Method+" "+requestTarget(x.r)+" HTTP/1.1\r\nHost: "+x.r.Host+"\r\n"...)
	head = h.protocol.AppendHead(head, x.r.Header, call.Placement{
		Upstream:  u.ID,
		Team:      x.team,
		Remaining: time.Until(x.deadline),
		LastEvent: string(x.events.lastID),
	})
	if len(x.body) > 0 || x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(x.body)), 10)
		head = append(head, "\r\n"...)
	}
	return upstream.Request{
		Method:   x.r.Method,
		Head:     head,
		Body:     x.body,
		ID:       x.call.ID,
		Deadline: x.deadline,
		Stall:    x.stallTimeouts(time.Now()),
		Abandoned: func() bool {
			return h.evacuated(u) || h.conns.CallerLeft(ctx)
		},
		Watch: x.running.watch,
	}
}

// sendFailed classifies an attempt that brought no answer and reports its outcome to the
// scheduler.
func (x *exchange) sendFailed(id uint64, address string, err error) outcome {
	result, broken := x.classifyUnanswered(id, err)
	if broken {
		x.reportBroken(id, address)
	}
	return result
}

// classifyUnanswered classifies an attempt that brought no answer. It reports its outcome to the
// scheduler unless the exchange broke off, which it returns.
func (x *exchange) classifyUnanswered(id uint64, err error) (result outcome, broken bool) {
	h := x.handler
	switch {
	case errors.Is(err, upstream.ErrAbandoned) && !h.conns.CallerLeft(x.r.Context()):
		// The upstream's zone was evacuated. It may no longer be.
		return x.reportUnsent(id, dispatch.Unsent), false
	case errors.Is(err, upstream.ErrAbandoned), x.r.Context().Err() != nil:
		x.reportOutcome(id, dispatch.CallerLeft)
		return callerLeft, false
	case errors.Is(err, upstream.ErrNoConns):
		return x.noConns(id), false
	case errors.Is(err, syscall.ECONNREFUSED):
		return x.reportUnsent(id, dispatch.ConnectionRefused), false
	case errors.Is(err, upstream.ErrUnreachable):
		x.reportOutcome(id, dispatch.Unreachable)
		return notRun, false
	case errors.Is(err, upstream.ErrStalled):
		x.reportOutcome(id, dispatch.ResponseTimeout)
		return failed, false
	case !time.Now().Before(x.deadline):
		x.reportOutcome(id, dispatch.ResponseTimeout)
		return pastDeadline, false
	}
	return failed, true
}
