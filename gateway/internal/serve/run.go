package serve

import (
	"net/http"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/trace"
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
	// superseded: the attempt was ended, since another one goes on with the answer.
	superseded
)

var outcomeNames = [...]string{
	answered:     "answered",
	notRun:       "not_run",
	failed:       "failed",
	truncated:    "cut",
	callerLeft:   "caller_left",
	pastDeadline: "late",
	superseded:   "superseded",
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
	ctx, running := h.conns.callers.add(x.r.Context())
	defer h.conns.callers.remove(running)
	x.r, x.running = x.r.WithContext(ctx), running
	defer x.endFallbacks()
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
		if x.fallbacks.adopted == nil {
			x.recordPlaced(d)
		}
		result = x.attempt(d)
		x.tried = append(x.tried, d.Upstream)
		if result == answered && !x.finishAnswer() {
			result = callerLeft
		}
		switch result {
		case answered:
			x.recordEnd(result)
			return
		case callerLeft:
			x.abortLeft()
		case failed, truncated, pastDeadline:
			x.mayHaveRun = true
		}
		x.sending = false
		adopted, last := x.awaitFallbacks(result)
		if adopted {
			continue
		}
		if result = last; result == callerLeft {
			x.abortLeft()
		}
		if reason := x.noRetryReason(result); reason != "" {
			x.requestLog().Step(time.Now(), trace.NotRetried{
				Reason: reason,
			})
			break
		}
	}
	x.finishFailed(result)
}

// abortLeft ends the request of a caller that has left. It panics with http.ErrAbortHandler: a caller
// that has closed only its sending side would take a normal end for that of the answer.
func (x *exchange) abortLeft() {
	x.endFallbacks()
	x.recordEnd(callerLeft)
	panic(http.ErrAbortHandler)
}

// noRetryReason returns why the request may not be sent to another upstream, or "" if
// it may. In that case the retry budget is charged.
func (x *exchange) noRetryReason(result outcome) string {
	switch {
	case result == pastDeadline || !time.Now().Before(x.deadline):
		return "deadline"
	case !x.mayAttempt():
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
	x.endFallbacks()
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
