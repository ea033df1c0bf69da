package serve

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/problem"
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

// run places the request and sends it, again where that is allowed.
func (x *exchange) run() {
	h := x.handler
	h.budget.request(x.arrived, x.service)
	attempts := max(x.route.MaxUpstreams, 1)
	mayHaveRun := false
	var result outcome
	for {
		d := h.fleet.Place(x.r.Context(), x.ask())
		x.answered(d.Quiet)
		if d.Upstream == "" {
			x.unplaced(d, mayHaveRun)
			return
		}
		result = x.try(d)
		x.tried = append(x.tried, d.Upstream)
		switch result {
		case answered, left:
			return
		case failed, cut:
			mayHaveRun = true
		}
		if !x.again(result, attempts) {
			break
		}
	}
	x.giveUp(result, mayHaveRun)
}

// again reports whether the request may go to another upstream.
func (x *exchange) again(result outcome, attempts int) bool {
	if len(x.tried) >= attempts || result == late || !time.Now().Before(x.deadline) {
		return false
	}
	if result != notRun && !x.route.Idempotent() {
		return false
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
		Left:       time.Until(x.deadline),
		Tried:      x.tried,
		Resumed:    x.begun,
		Repeatable: x.route.Idempotent(),
	}
}

// unplaced answers a request that the fleet has no place for.
func (x *exchange) unplaced(d dispatch.Decision, mayHaveRun bool) {
	if x.begun || mayHaveRun {
		x.giveUp(failed, mayHaveRun)
		return
	}
	retry := d.RetryAfter
	switch d.Reason {
	case dispatch.OverShare:
		x.handler.refuse(x.w, http.StatusTooManyRequests, problem.TooManyWaiting, overShare, retry)
	case dispatch.NoUpstream:
		x.handler.refuse(x.w, http.StatusServiceUnavailable, problem.NoUpstream, "no upstream takes requests", retry)
	default:
		x.handler.refuse(x.w, http.StatusServiceUnavailable, problem.TooManyWaiting, "all upstreams are busy", retry)
	}
}

// giveUp ends a request that went to upstreams in vain.
func (x *exchange) giveUp(result outcome, mayHaveRun bool) {
	if x.begun {
		// A broken connection is the only way to tell that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	h := x.handler
	switch {
	case result == late && mayHaveRun, result == late:
		problem.New(http.StatusGatewayTimeout, problem.DeadlinePassed, "no answer in time").Write(x.w)
	case mayHaveRun:
		p := problem.New(http.StatusBadGateway, problem.UpstreamFailed, "the upstream failed")
		p.Run = problem.RunUnknown
		p.Write(x.w)
	default:
		h.refuse(x.w, http.StatusServiceUnavailable, problem.NoUpstream, "no upstream took the request", rejectedRetry)
	}
}

// try sends the request to one upstream and passes its answer on.
func (x *exchange) try(d dispatch.Decision) outcome {
	h := x.handler
	target, ok := h.fleet.View().Upstreams[d.Upstream]
	if !ok {
		h.fleet.Ended(d.ID, dispatch.Unreachable)
		return notRun
	}
	answer, err := h.client.Send(x.r.Context(), target.Address, x.request(target.ID))
	if err != nil {
		return x.sendFailed(d.ID, err)
	}
	defer answer.Close()
	reply := h.protocol.ReadReply(answer.Status, answer.Header)
	switch {
	case reply.OtherUpstream:
		h.fleet.Ended(d.ID, dispatch.Gone)
		return notRun
	case reply.NotRun && answer.Status != http.StatusBadRequest:
		h.fleet.Ended(d.ID, dispatch.NotRun)
		return notRun
	case answer.Status < http.StatusMultipleChoices && (!reply.Signed || answer.Header.Get("Content-Encoding") != ""):
		h.fleet.Ended(d.ID, dispatch.Broken)
		return failed
	case answer.Status >= http.StatusInternalServerError && x.route.Idempotent() && len(x.tried)+1 < x.route.MaxUpstreams:
		h.fleet.Ended(d.ID, dispatch.Failed)
		return failed
	}
	if x.route.Kind == configuration.Stream && answer.Status < http.StatusMultipleChoices {
		return x.pass(d.ID, answer, x.passEvents)
	}
	return x.pass(d.ID, answer, x.passWhole)
}

// request returns what is sent to an upstream.
func (x *exchange) request(id string) upstream.Request {
	head := make([]byte, 0, 1024)
	head = append(head, x.r.Method+" "+target(x.r)+" HTTP/1.1\r\nHost: "+x.r.Host+"\r\n"...)
	head = x.handler.protocol.AppendHead(head, x.r.Header, call.Placed{
		Upstream:  id,
		Team:      x.team,
		Left:      time.Until(x.deadline),
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
		h.fleet.Ended(id, dispatch.CallerLeft)
		return left
	case errors.Is(err, upstream.ErrUnreachable):
		h.fleet.Ended(id, dispatch.Unreachable)
		return notRun
	case !time.Now().Before(x.deadline):
		h.fleet.Ended(id, dispatch.Silent)
		return late
	}
	h.fleet.Ended(id, dispatch.Broken)
	return failed
}

// pass has an answer passed on and reports how it ended.
func (x *exchange) pass(id uint64, answer *upstream.Answer, how func(uint64, *upstream.Answer) outcome) outcome {
	h := x.handler
	result := how(id, answer)
	switch {
	case result == answered:
		h.fleet.Ended(id, dispatch.Answered)
		h.requests.UpdateSince(x.team, x.service, x.arrived)
	case result == left, x.r.Context().Err() != nil:
		h.fleet.Ended(id, dispatch.CallerLeft)
		return left
	case result == late:
		h.fleet.Ended(id, dispatch.Silent)
	default:
		h.fleet.Ended(id, dispatch.Broken)
	}
	return result
}

// begin passes the head of an answer on.
func (x *exchange) begin(answer *upstream.Answer, length int64) {
	if x.begun {
		return
	}
	x.begun = true
	header := x.w.Header()
	for name, values := range answer.Header {
		if perConnection[name] {
			continue
		}
		header[name] = slices.Clone(values)
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(answer.Status)
	x.handler.first.UpdateSince(x.team, x.service, x.arrived)
}

// perConnection are headers of an upstream's answer that concern its connection
// only. The length is set anew.
var perConnection = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
}

// passWhole reads an answer to its end before it passes it on, so that one that
// breaks off never looks whole.
func (x *exchange) passWhole(id uint64, answer *upstream.Answer) outcome {
	body, err := io.ReadAll(answer)
	if err != nil || (answer.Length > 0 && int64(len(body)) != answer.Length && x.r.Method != http.MethodHead) {
		if !time.Now().Before(x.deadline) {
			return late
		}
		return failed
	}
	x.handler.fleet.Begun(id)
	length := int64(len(body))
	if x.r.Method == http.MethodHead {
		length = answer.Length
	}
	x.begin(answer, length)
	if _, err := x.w.Write(body); err != nil {
		return left
	}
	return answered
}

// readBytes is how much of a stream is read at once.
const readBytes = 8 << 10

// passEvents passes a stream on as its events arrive, whole events only. The
// head follows the first event, so that a failure before it can be told.
func (x *exchange) passEvents(id uint64, answer *upstream.Answer) outcome {
	buffer := make([]byte, readBytes)
	control := http.NewResponseController(x.w)
	first := true
	var began time.Time
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if whole := x.events.next(buffer[:n]); len(whole) > 0 {
				if first {
					first = false
					began = time.Now()
					x.handler.fleet.Begun(id)
				}
				x.begin(answer, -1)
				if _, err := x.w.Write(whole); err != nil {
					return left
				}
				if err := control.Flush(); err != nil {
					return left
				}
			}
		}
		if errors.Is(err, io.EOF) {
			x.handler.pace.saw(x.tokens(), time.Since(began))
			return x.streamEnded(answer)
		}
		if err != nil {
			return x.streamBroke()
		}
	}
}

// tokens returns about how many tokens the stream has brought: identifiers of
// events count from one.
func (x *exchange) tokens() int {
	events, err := strconv.Atoi(string(x.events.last))
	if err != nil {
		return 0
	}
	perEvent := 1
	if s := x.view.Table.Service(x.service); s != nil && s.Engine != nil {
		perEvent = max(s.Engine.TokensPerEvent, 1)
	}
	return events * perEvent
}

// streamEnded judges a stream whose connection or framing says that it is over.
func (x *exchange) streamEnded(answer *upstream.Answer) outcome {
	if x.events.torn() {
		return x.streamBroke()
	}
	x.begin(answer, -1)
	return answered
}

func (x *exchange) streamBroke() outcome {
	x.events.forget()
	switch {
	case x.r.Context().Err() != nil:
		return left
	case !time.Now().Before(x.deadline):
		return late
	case x.begun:
		return cut
	}
	return failed
}
