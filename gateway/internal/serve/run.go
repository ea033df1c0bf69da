package serve

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/gateway/internal/upstream"
)

// outcome tells what became of one try at an upstream.
type outcome uint8

const (
	// answered: the caller has its answer, whole or as far as it came.
	answered outcome = iota
	// notRun: the request was certainly not run and may go elsewhere.
	notRun
	// failed: the request may have run; only repeatable ones may go elsewhere.
	failed
	// cut: the answer broke off after its beginning was passed on.
	cut
	// left: the caller went away.
	left
	// late: the deadline passed.
	late
)

var outcomes = [...]string{
	answered: "answered",
	notRun:   "not_run",
	failed:   "failed",
	cut:      "cut",
	left:     "caller_left",
	late:     "late",
}

func (o outcome) String() string { return outcomes[o] }

// run places the request and sends it, again where that is allowed.
func (x *exchange) run() {
	h := x.handler
	if h.budget.request(x.arrived, x.service) {
		h.counters.retriesLeft(x.service, h)
	}
	attempts := max(x.route.MaxUpstreams, 1)
	var result outcome
	for {
		d := h.fleet.Place(x.r.Context(), x.ask())
		x.answered(d.RefuseFor)
		if d.Upstream == "" {
			x.unplaced(d)
			return
		}
		x.traced().Step(time.Now(), trace.Placed{
			RequestInfo: x.about(),
			Upstream:    d.Upstream,
			Inputs:      d.Inputs,
		})
		result = x.try(d)
		x.tried = append(x.tried, d.Upstream)
		switch result {
		case answered, left:
			x.ended(result)
			return
		case failed, cut:
			x.mayHaveRun = true
		}
		if why := x.notAgain(result, attempts); why != "" {
			x.traced().Step(time.Now(), trace.NotRetried{
				Reason: why,
			})
			break
		}
	}
	x.giveUp(result)
}

// notAgain returns why the request may go to no other upstream, or "".
func (x *exchange) notAgain(result outcome, attempts int) string {
	switch {
	case result == late || !time.Now().Before(x.deadline):
		return "deadline"
	case len(x.tried) >= attempts:
		return "attempts"
	case result != notRun && !x.route.Idempotent():
		return "may_have_run"
	case result == cut && x.route.Kind != configuration.Stream:
		return "begun" // only streams go on elsewhere
	case !x.mayRetry():
		return "budget"
	}
	return ""
}

// mayRetry reports whether the budget allows another try, and counts it once.
func (x *exchange) mayRetry() bool {
	if x.counted {
		x.counted = false
		return true
	}
	return x.handler.budget.retry(time.Now(), x.service, x.view.Gateways)
}

// ask describes the request to the fleet's placing.
func (x *exchange) ask() dispatch.Request {
	h := x.handler
	return dispatch.Request{
		ID:         h.next.Add(1),
		Service:    x.service,
		Class:      x.route.Name,
		Team:       x.team,
		Zone:       h.zone,
		Prompt:     x.call.Prompt,
		Objective:  x.route.Objective(),
		Remaining:  time.Until(x.deadline),
		Excluded:   x.tried,
		Resumed:    x.begun || x.mayHaveRun,
		Idempotent: x.route.Idempotent(),
	}
}

// unplaced answers a request that the fleet has no place for.
func (x *exchange) unplaced(d dispatch.Decision) {
	if x.begun || x.mayHaveRun {
		x.giveUp(failed)
		return
	}
	retry := d.RetryAfter
	switch d.Reason {
	case dispatch.OverShare:
		x.refuseFor(d.Reason, d.Inputs, http.StatusTooManyRequests, problem.TooManyWaiting, overShare, retry)
	case dispatch.AheadOfOthers:
		x.refuseFor(d.Reason, d.Inputs, http.StatusTooManyRequests, problem.TooManyWaiting, "other teams received less", retry)
	case dispatch.NoUpstream:
		x.refuseFor(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.NoUpstream, "no upstream takes requests", retry)
	default:
		x.refuseFor(d.Reason, d.Inputs, http.StatusServiceUnavailable, problem.TooManyWaiting, "all upstreams are busy", retry)
	}
}

// giveUp ends a request that went to upstreams in vain.
func (x *exchange) giveUp(result outcome) {
	if x.begun {
		x.ended(result)
		// A broken connection is the only way to tell that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	switch {
	case result == late:
		x.status = http.StatusGatewayTimeout
		problem.New(x.status, problem.DeadlinePassed, "no answer in time").Write(x.w)
	case x.mayHaveRun:
		x.status = http.StatusBadGateway
		p := problem.New(x.status, problem.UpstreamFailed, "the upstream failed")
		p.Run = problem.RunUnknown
		p.Write(x.w)
	default:
		x.refuse(http.StatusServiceUnavailable, problem.NoUpstream, "no upstream took the request", rejectedRetry)
		return
	}
	x.ended(result)
}

// try sends the request to one upstream and passes its answer on.
func (x *exchange) try(d dispatch.Decision) outcome {
	started := time.Now()
	seen := trace.Tried{
		Upstream: d.Upstream,
	}
	result := x.send(d, &seen)
	now := time.Now()
	seen.Outcome = result.String()
	seen.Took = now.Sub(started)
	seen.LastEvent = string(x.events.last)
	if seen.Cause == "" && x.broke != nil {
		seen.Cause = x.broke.Error()
	}
	x.broke = nil
	x.traced().Step(now, seen)
	x.handler.counters.tried(result)
	return result
}

// send has one upstream run the request, and tells the fleet how that ended.
func (x *exchange) send(d dispatch.Decision, seen *trace.Tried) outcome {
	h := x.handler
	target, ok := h.fleet.View().Upstreams[d.Upstream]
	if !ok {
		seen.Cause = "the upstream is no longer listed"
		h.fleet.RecordEnd(d.ID, dispatch.Unreachable)
		return notRun
	}
	answer, err := h.client.Send(x.r.Context(), target.Address, x.request(target.ID))
	if err != nil {
		seen.Cause = err.Error()
		return x.sendFailed(d.ID, err)
	}
	defer answer.Close()
	seen.Status = answer.Status
	reply := h.protocol.ReadReply(answer.Status, answer.Header)
	x.heard(d.Upstream, reply)
	switch {
	case reply.OtherUpstream:
		seen.Cause = "another upstream has the address"
		h.fleet.RecordEnd(d.ID, dispatch.AddressReassigned)
		return notRun
	case reply.NotRun && answer.Status != http.StatusBadRequest:
		seen.Cause = "the upstream rejected the request"
		h.fleet.RecordEnd(d.ID, dispatch.NotRun)
		return notRun
	case answer.Status < http.StatusMultipleChoices && (!reply.Signed || answer.Header.Get("Content-Encoding") != ""):
		seen.Cause = "the answer was not made by an upstream"
		h.fleet.RecordEnd(d.ID, dispatch.Broken)
		return failed
	case x.begun && answer.Status >= http.StatusMultipleChoices:
		seen.Cause = "the stream can't go on here"
		h.fleet.RecordEnd(d.ID, dispatch.Failed)
		return cut
	case answer.Status >= http.StatusInternalServerError && x.route.Idempotent() && len(x.tried)+1 < x.route.MaxUpstreams:
		h.fleet.RecordEnd(d.ID, dispatch.Failed)
		return failed
	}
	if x.route.Kind == configuration.Stream && answer.Status < http.StatusMultipleChoices {
		return x.pass(d.ID, answer, x.passEvents)
	}
	return x.pass(d.ID, answer, x.passWhole)
}

// heard takes what an upstream says of itself.
func (x *exchange) heard(upstream string, reply call.Reply) {
	word := dispatch.Notice{
		Upstream: upstream,
		Leaving:  reply.Leaving && !reply.OtherUpstream,
		Backoff:  reply.Backoff,
	}
	if word.Empty() {
		return
	}
	x.handler.fleet.RecordNotice(word)
	x.traced().Step(time.Now(), trace.UpstreamNotice{
		Notice: word,
	})
}

// request returns what is sent to an upstream.
func (x *exchange) request(id string) upstream.Request {
	head := make([]byte, 0, 1024)
	head = append(head, x.r.Method+" "+target(x.r)+" HTTP/1.1\r\nHost: "+x.r.Host+"\r\n"...)
	head = x.handler.protocol.AppendHead(head, x.r.Header, call.Placement{
		Upstream:  id,
		Team:      x.team,
		Remaining: time.Until(x.deadline),
		LastEvent: string(x.events.last),
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
		Stall:    x.patience(time.Now()),
	}
}

// target returns path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the caller sent the absolute form
}

// sendFailed classifies an exchange that brought no answer.
func (x *exchange) sendFailed(id uint64, err error) outcome {
	h := x.handler
	switch {
	case x.r.Context().Err() != nil:
		h.fleet.RecordEnd(id, dispatch.CallerLeft)
		return left
	case errors.Is(err, upstream.ErrUnreachable):
		h.fleet.RecordEnd(id, dispatch.Unreachable)
		return notRun
	case errors.Is(err, upstream.ErrStalled):
		h.fleet.RecordEnd(id, dispatch.ResponseTimeout)
		return failed
	case !time.Now().Before(x.deadline):
		h.fleet.RecordEnd(id, dispatch.ResponseTimeout)
		return late
	}
	h.fleet.RecordEnd(id, dispatch.Broken)
	return failed
}
