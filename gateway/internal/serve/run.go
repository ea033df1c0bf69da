package serve

import (
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/gateway/internal/upstream"
)

// outcome is the result of one attempt at an upstream. Its name is a metric label and a
// value in logs.
type outcome uint8

const (
	// answered: the answer was forwarded completely.
	answered outcome = iota
	// notRun: the request was certainly not run and may go elsewhere.
	notRun
	// failed: the request may have run; only idempotent ones may go elsewhere.
	failed
	// truncated: the answer broke off after part of it was forwarded.
	truncated
	// callerLeft: the caller closed its connection or does not read the answer.
	callerLeft
	// pastDeadline: the deadline passed before the answer was complete.
	pastDeadline
)

var outcomeNames = [...]string{
	answered:     "answered",
	notRun:       "not_run",
	failed:       "failed",
	truncated:    "cut",
	callerLeft:   "caller_left",
	pastDeadline: "late",
}

func (o outcome) String() string { return outcomeNames[o] }

// run places the request and sends it to the upstream, and repeats both on other
// upstreams until an attempt succeeds or noRetryReason forbids another one. It panics
// with http.ErrAbortHandler if an answer that has started can't be completed.
func (x *exchange) run() {
	h := x.handler
	if h.budget.recordRequest(x.arrived, x.service) {
		h.counters.registerRetriesLeft(x.service, h)
	}
	attempts := max(x.route.MaxUpstreams, 1)
	ctx, running := h.conns.callers.add(x.r.Context())
	defer h.conns.callers.remove(running)
	x.r, x.running = x.r.WithContext(ctx), running
	defer x.releaseNext()
	defer x.reportPanicked()
	var result outcome
	for {
		d := x.place()
		x.recordDecision(d.RefuseFor)
		if d.Upstream == "" {
			x.refuseUnplaced(d)
			return
		}
		if x.continues && d.Version == "" {
			// The leader is an older one, which knows no software versions.
			x.reportOutcome(d.ID, dispatch.Unsent)
			x.refuseUnplaced(dispatch.Decision{
				Reason: dispatch.UnknownVersion,
				Inputs: d.Inputs,
			})
			return
		}
		if x.continues {
			x.version = d.Version
			if d.Service != "" {
				x.service = d.Service
			}
		}
		x.versionUncertain = d.VersionUncertain
		x.requestLog().Step(time.Now(), trace.Placed{
			RequestInfo: x.requestInfo(),
			Upstream:    d.Upstream,
			Inputs:      d.Inputs,
		})
		result = x.attempt(d)
		x.tried = append(x.tried, d.Upstream)
		switch result {
		case answered:
			x.recordEnd(result)
			return
		case callerLeft:
			x.recordEnd(result)
			// A caller that has closed only its sending side would take a normal end for
			// that of the answer.
			panic(http.ErrAbortHandler)
		case failed, truncated, pastDeadline:
			x.mayHaveRun = true
		}
		x.sending = false
		if reason := x.noRetryReason(result, attempts); reason != "" {
			x.requestLog().Step(time.Now(), trace.NotRetried{
				Reason: reason,
			})
			break
		}
	}
	x.finishFailed(result)
}

// noRetryReason returns why the request may not be sent to another upstream, or "" if
// it may. In that case the retry budget is charged.
func (x *exchange) noRetryReason(result outcome, attempts int) string {
	switch {
	case result == pastDeadline || !time.Now().Before(x.deadline):
		return "deadline"
	case x.sentTo() >= attempts || x.unsentTo >= maxUnsent:
		return "attempts"
	case x.nothingSent:
		return "" // the budget is not charged again
	case result != notRun && !x.route.Idempotent():
		return "may_have_run"
	case !x.canContinueElsewhere():
		return "begun"
	case !x.mayRetry():
		return "budget"
	}
	return ""
}

// canContinueElsewhere reports whether another upstream can go on with the answer. Of an
// answer that has begun it can only continue a stream whose events have identifiers, at the
// software version that began it.
func (x *exchange) canContinueElsewhere() bool {
	return !x.headSent || x.route.Kind == configuration.Stream && len(x.events.lastID) > 0 && x.version != ""
}

// mayRetry reports whether the retry budget allows another attempt, and charges the
// budget for it unless a stall timeout has done so already.
func (x *exchange) mayRetry() bool {
	if x.retryCounted {
		x.retryCounted = false
		return true
	}
	return x.handler.budget.allowRetry(time.Now(), x.service, x.view.Gateways)
}

// placementRequest returns the request for the next placement decision.
func (x *exchange) placementRequest() dispatch.Request {
	h := x.handler
	return dispatch.Request{
		ID:         h.nextID.Add(1),
		Service:    x.service,
		Class:      x.route.Name,
		Team:       x.team,
		Zone:       h.zone,
		Prompt:     x.call.Prompt,
		Objective:  x.route.Objective(),
		Remaining:  time.Until(x.deadline),
		Excluded:   x.tried,
		Resumed:    x.headSent || x.mayHaveRun || x.version != "",
		Digest:     x.digest(),
		Idempotent: x.route.Idempotent(),
		Stream:     x.stream,
		Continues:  x.continues,
		Version:    x.version,
		Services:   x.otherServices(),
	}
}

// refuseUnplaced refuses a request that the scheduler gave no upstream. A request that
// may have run or whose answer has started fails instead, since a refusal would guarantee
// that it did not run.
func (x *exchange) refuseUnplaced(d dispatch.Decision) {
	if x.headSent || x.mayHaveRun {
		x.finishFailed(failed)
		return
	}
	retry := d.RetryAfter
	switch d.Reason {
	case dispatch.OverShare:
		x.refuseWithReason(d.Reason, d.Inputs, http.StatusTooManyRequests, problem.TooManyWaiting, overShareDetail, retry)
	case dispatch.AheadOfOthers:
		x.refuseWithReason(d.Reason, d.Inputs, http.StatusTooManyRequests, problem.TooManyWaiting, "other teams received less", retry)
	case dispatch.RateLimited:
		x.refuseWithReason(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.TooManyWaiting, "the rate limits of all upstreams are used up", retry)
	case dispatch.ColdUpstreams:
		x.refuseWithReason(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.TooManyWaiting, "upstreams have just started and take few requests", retry)
	case dispatch.Quarantined:
		x.refuseQuarantined(d)
	case dispatch.UnknownVersion, dispatch.VersionUnavailable:
		x.refuseContinuation(d)
	case dispatch.NoUpstream:
		x.refuseWithReason(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.NoUpstream, "no upstream takes requests", retry)
	default:
		x.refuseWithReason(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.TooManyWaiting, "all upstreams are busy", retry)
	}
}

// refuseContinuation refuses a request that continues a stream. Without a retry delay the stream
// can't be resumed at all, and its caller has to begin a new one.
func (x *exchange) refuseContinuation(d dispatch.Decision) {
	detail := "the software version that began the stream is not known"
	if d.Reason == dispatch.VersionUnavailable {
		detail = "no upstream runs the software version that began the stream"
	}
	x.refuseWithReason(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.NotResumable, detail, d.RetryAfter)
}

// refuseQuarantined refuses a request that crashes upstreams, or one with a prompt segment
// that does. Without a retry delay the refusal is final: callers don't retry a request with
// status 400.
func (x *exchange) refuseQuarantined(d dispatch.Decision) {
	if d.Inputs.Quarantine != nil && d.Inputs.Quarantine.Kind == quarantine.Request {
		x.refuseCrashingRequest(d)
		return
	}
	if d.RetryAfter > 0 {
		x.refuseWithReason(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.PromptCrashes, "upstreams crashed with requests like this one", d.RetryAfter)
		return
	}
	x.refuseWithReason(d.Reason, d.Inputs, http.StatusBadRequest, problem.PromptCrashes, "a part of the prompt crashes upstreams", 0)
}

// refuseCrashingRequest refuses a request that crashes upstreams.
func (x *exchange) refuseCrashingRequest(d dispatch.Decision) {
	if d.RetryAfter > 0 {
		x.refuseWithReason(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.RequestCrashes, "upstreams crashed with this request", d.RetryAfter)
		return
	}
	x.refuseWithReason(d.Reason, d.Inputs, http.StatusBadRequest, problem.RequestCrashes, "this request crashes upstreams", 0)
}

// finishFailed ends a request after its last attempt failed with the given result. If
// the answer has started, it panics with http.ErrAbortHandler.
func (x *exchange) finishFailed(result outcome) {
	if x.headSent {
		x.recordEnd(result)
		// Only a broken connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	x.limitWrite()
	switch {
	case result == pastDeadline:
		x.status = http.StatusGatewayTimeout
		x.sendProblem(problem.New(x.status, problem.DeadlinePassed, "no answer in time"))
	case x.mayHaveRun:
		x.status = http.StatusBadGateway
		p := problem.New(x.status, problem.UpstreamFailed, "the upstream failed")
		p.Run = problem.RunUnknown
		x.sendProblem(p)
	default:
		x.refuse(http.StatusServiceUnavailable, problem.NoUpstream, "no upstream took the request", rejectedRetryAfter)
		return
	}
	x.recordEnd(result)
}

// attempt sends the request to one upstream, forwards the answer, and logs and counts
// the result.
func (x *exchange) attempt(d dispatch.Decision) outcome {
	started := time.Now()
	x.nothingSent = false
	step := trace.Tried{
		Upstream: d.Upstream,
	}
	result := x.send(d, &step)
	now := time.Now()
	step.Outcome = result.String()
	step.Took = now.Sub(started)
	step.LastEvent = string(x.events.lastID)
	if step.Cause == "" && x.responseErr != nil {
		step.Cause = x.responseErr.Error()
	}
	x.responseErr = nil
	if result == failed || result == truncated {
		step.SharedSegments = x.call.Prompt.Shared()
		step.Digest = x.digest()
	}
	x.requestLog().Step(now, step)
	x.handler.counters.countAttempt(result)
	return result
}

// send sends the request to one upstream, forwards the answer and reports the outcome to
// the scheduler. It sets the status and the cause of a failure in step.
func (x *exchange) send(d dispatch.Decision, step *trace.Tried) outcome {
	h := x.handler
	destination, ok := h.scheduler.View().Upstreams[d.Upstream]
	if !ok {
		step.Cause = "the upstream is no longer listed"
		x.reportOutcome(d.ID, dispatch.Unreachable)
		return notRun
	}
	step.Version = destination.Version
	x.upstream = destination
	if err := x.checkDestination(); err != nil {
		step.Cause = err.Error()
		return x.reportUnsent(d.ID, dispatch.Unsent)
	}
	x.sentAt = time.Now()
	request := x.upstreamRequest(destination.ID)
	x.sending = true
	answer, err := h.client.Send(x.r.Context(), destination.Address, request)
	if err != nil {
		step.Cause = err.Error()
		return x.sendFailed(d.ID, destination.Address, err)
	}
	defer answer.Close()
	step.Status = answer.Status
	reply := h.protocol.ReadReply(answer.Status, answer.Header)
	x.reportNotice(d.Upstream, reply)
	step.RateLimit = reply.RateLimit
	x.reportRateLimit(d, reply)
	if r := x.checkReply(answer, reply); r != nil {
		step.Cause = r.cause
		x.reportOutcome(d.ID, r.reported)
		return r.outcome
	}
	defer func() { step.RequestErr = answer.RequestErr() }()
	if x.route.Kind == configuration.Stream && answer.Status < http.StatusMultipleChoices {
		return x.forward(d.ID, destination.Address, answer, x.forwardEvents)
	}
	return x.forward(d.ID, destination.Address, answer, x.forwardBuffered)
}

// upstreamRequest returns the request to the upstream with the given identifier. A
// resumed stream carries the identifier of the last event that was received completely.
func (x *exchange) upstreamRequest(id string) upstream.Request {
	head := make([]byte, 0, 1024)
	head = append(head, x.r.Method+" "+requestTarget(x.r)+" HTTP/1.1\r\nHost: "+x.r.Host+"\r\n"...)
	head = x.handler.protocol.AppendHead(head, x.r.Header, call.Placement{
		Upstream:  id,
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
			return x.evacuated() || x.handler.conns.CallerLeft(x.r.Context())
		},
		Watch: x.running.watch,
	}
}

// sendFailed classifies an attempt that brought no answer and reports its outcome to the
// scheduler.
func (x *exchange) sendFailed(id uint64, address string, err error) outcome {
	h := x.handler
	switch {
	case errors.Is(err, upstream.ErrAbandoned) && !h.conns.CallerLeft(x.r.Context()):
		// The upstream's zone was evacuated. It may no longer be.
		return x.reportUnsent(id, dispatch.Unsent)
	case errors.Is(err, upstream.ErrAbandoned), x.r.Context().Err() != nil:
		x.reportOutcome(id, dispatch.CallerLeft)
		return callerLeft
	case errors.Is(err, upstream.ErrNoConns):
		return x.noConns(id)
	case errors.Is(err, syscall.ECONNREFUSED):
		return x.reportUnsent(id, dispatch.ConnectionRefused)
	case errors.Is(err, upstream.ErrUnreachable):
		x.reportOutcome(id, dispatch.Unreachable)
		return notRun
	case errors.Is(err, upstream.ErrStalled):
		x.reportOutcome(id, dispatch.ResponseTimeout)
		return failed
	case !time.Now().Before(x.deadline):
		x.reportOutcome(id, dispatch.ResponseTimeout)
		return pastDeadline
	}
	x.reportBroken(id, address)
	return failed
}
