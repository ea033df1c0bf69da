package serve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/gateway/internal/controller"
	"baobabpaddle/gateway/internal/upstream"
)

const (
	// notReadyRetry is when to come back to a gateway that can't serve yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// rejectedRetry is when to come back after an upstream rejected a request.
	rejectedRetryAfter = 400 * time.Millisecond
	// drainRetry is when to come back, elsewhere, from a gateway that stops.
	drainRetryAfter = 20 * time.Millisecond
	// hintMargin times the caller's hint is rarely exceeded: hints are right at the
	// median, and one in a hundred is three times too low.
	hintMargin = 3
	// shedRetry is when to come back, elsewhere, from a gateway that is behind.
	shedRetryAfter = 50 * time.Millisecond
	// defaultBodyBytes bounds bodies while the configuration sets no bound.
	defaultMaxBodyBytes = 4 << 20
)

// Scheduler places requests and knows the configuration.
type Scheduler interface {
	View() *controller.View
	Place(ctx context.Context, r dispatch.Request) dispatch.Decision
	ReportStarted(id uint64)
	ReportOutcome(id uint64, ending dispatch.Outcome)
	ReportNotice(w dispatch.Notice)
	ReportRefusal(team string, p dispatch.Prompt)
}

// Handler answers callers.
type Handler struct {
	scheduler Scheduler
	client    *upstream.Client
	protocol  call.Protocol
	zone      string
	log       *slog.Logger
	budget    *retryBudget
	conns     *Conns
	load      *Load

	nextID   atomic.Uint64
	inFlight atomic.Int64
	drainEnd atomic.Int64 // Unix nanoseconds; zero while not draining
	pace     tokenPace
	lag      Lag
	throttle dispatch.Throttle
	limits   Limits
	bodies   byteBudget

	trace            *trace.Log
	requestSeconds   *telemetry.Histograms
	firstByteSeconds *telemetry.Histograms
	counters         *counters
}

// Settings configures a Handler.
type Settings struct {
	Zone  string
	Retry RetrySettings
	// MaxConns is how many connections callers may hold.
	MaxConns int
	Limits   Limits
	// ProcessorShare is the part of a core that the process may use; zero is not
	// known.
	ProcessorShare float64
}

// New returns a handler.
func New(s Settings, fleet Scheduler, client *upstream.Client, protocol call.Protocol, metrics *telemetry.Metrics, log *slog.Logger) *Handler {
	h := &Handler{
		scheduler: fleet,
		client:    client,
		protocol:  protocol,
		zone:      s.Zone,
		log:       log,
		trace:     trace.New(log),
		counters:  newCounters(metrics),
		budget:    newRetryBudget(s.Retry),
		limits:    s.Limits,
		bodies: byteBudget{
			limit: s.Limits.TotalBodyBytes,
		},
		requestSeconds:   metrics.Histograms("gateway_request_seconds"),
		firstByteSeconds: metrics.Histograms("gateway_first_byte_seconds"),
	}
	h.conns = NewConns(s.MaxConns, h.idleTimeout, h.headTimeout)
	h.load = NewLoad(s.ProcessorShare)
	return h
}

// Load returns the measure of the processor time used.
func (h *Handler) Load() *Load { return h.load }

// Lag returns the measure of how far the process is behind.
func (h *Handler) Lag() *Lag { return &h.lag }

// Conns returns the callers' connections.
func (h *Handler) Conns() *Conns { return h.conns }

// idleLimit returns how long a caller's connection may be idle; zero is not set.
func (h *Handler) idleTimeout() time.Duration {
	if t := h.scheduler.View().Table; t != nil {
		return time.Duration(t.Configuration.Limits.IdleTimeoutMillis) * time.Millisecond
	}
	return 0
}

// headLimit returns how long a caller may take for the head of a request; zero is not
// set.
func (h *Handler) headTimeout() time.Duration {
	if t := h.scheduler.View().Table; t != nil {
		return time.Duration(t.Configuration.Limits.HeaderTimeoutMillis) * time.Millisecond
	}
	return 0
}

// InFlight returns how many requests are being answered.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Drain has every connection closed after its answer, and refuses requests whose
// answers would not be whole by the end.
func (h *Handler) Drain(end time.Time) { h.drainEnd.Store(end.UnixNano()) }

// tooLong reports whether a request would outlast the drain.
func (x *exchange) outlastsDrain() bool {
	end := x.handler.drainEnd.Load()
	if end == 0 {
		return false
	}
	left := time.Until(time.Unix(0, end))
	longest := time.Until(x.deadline)
	if x.route.Kind == configuration.Stream && x.call.Prompt.MaxOutput > 0 {
		longest = min(longest, x.route.Objective()+x.handler.pace.estimate(likelyMaxTokens(x.call.Prompt)))
	}
	return longest > left
}

// refuse answers with a problem. Nothing has run.
func (x *exchange) refuse(status int, code problem.Code, detail string, retry time.Duration) {
	x.refuseWithReason(dispatch.Reason(code), dispatch.Inputs{}, status, code, detail, retry)
}

// refuseFor is refuse with the reason and the inputs of a decision.
func (x *exchange) refuseWithReason(reason dispatch.Reason, in dispatch.Inputs, status int, code problem.Code, detail string, retry time.Duration) {
	h := x.handler
	if h.conns.NearLimit() {
		x.w.Header().Set("Connection", "close")
	}
	if retry > 0 {
		x.w.Header().Set("Retry-After", h.protocol.RetryAfter(retry))
	}
	problem.NewNotRun(status, code, detail).Write(x.w)
	h.counters.countRefusal(string(reason))
	x.requestLog().Failed(time.Now(), trace.Refused{
		RequestInfo: x.requestInfo(),
		Status:      status,
		Reason:      string(reason),
		Cause:       detail,
		RetryAfter:  retry,
		Inputs:      in,
	})
}

// mostTokens returns how many tokens may well be generated.
func likelyMaxTokens(p dispatch.Prompt) int {
	if p.Hint == 0 {
		return p.MaxOutput
	}
	return min(p.MaxOutput, hintMargin*p.Hint)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h.conns.HeadRead(r.Context())
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.drainEnd.Load() != 0 || h.load.Overloaded() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		handler: h,
		view:    h.scheduler.View(),
		w:       w,
		r:       r,
		arrived: arrived,
	}
	if x.view.Table == nil {
		x.refuse(http.StatusServiceUnavailable, problem.NotReady, "no configuration yet", notReadyRetryAfter)
		return
	}
	if x.headTooLarge() {
		w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestHeaderFieldsTooLarge, problem.HeadTooLarge, "the head is too large", 0)
		return
	}
	if !x.admit() {
		return
	}
	defer x.releaseBody()
	if !x.readBody() {
		x.recordDecision(0)
		return
	}
	x.run()
}

// exchange is one caller's request on its way.
type exchange struct {
	handler *Handler
	view    *controller.View
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	route    *configuration.Route
	service  string
	team     string
	call     call.Call
	body     []byte
	deadline time.Time
	tried    []string
	// mayHaveRun tells that an upstream that was tried may have run the request.
	mayHaveRun bool
	// counted tells that the next try was counted in the budget for retries.
	retryCounted bool

	// What was passed on to the caller so far.
	headSent    bool
	events      eventScanner
	status      int       // zero before the answer
	firstByteAt time.Time // when the answer began
	responseErr error     // why an answer broke off, until it was noted

	steps      trace.Request
	logStarted bool // steps has begun
}

// admit finds the route and the team, or answers.
func (x *exchange) admit() bool {
	h := x.handler
	proven := x.view.Proven()
	path, _, _ := strings.Cut(requestTarget(x.r), "?")
	x.route = x.view.Table.Route(x.r.Host, path)
	if x.route == nil {
		if !proven {
			x.refuse(http.StatusServiceUnavailable, problem.NotReady, "the configuration may be old", notReadyRetryAfter)
			return false
		}
		x.refuse(http.StatusNotFound, problem.NotFound, "no route", 0)
		return false
	}
	var err error
	if x.call, err = h.protocol.ReadCall(x.r.Header); err != nil {
		x.refuse(http.StatusBadRequest, problem.MalformedBody, err.Error(), 0)
		return false
	}
	if !x.route.WithoutKey && len(x.view.Table.Configuration.Teams) > 0 {
		if !proven {
			x.refuse(http.StatusServiceUnavailable, problem.NotReady, "the configuration may be old", notReadyRetryAfter)
			return false
		}
		team := x.view.Table.TeamOfKey(x.call.Key)
		if team == nil {
			x.refuse(http.StatusUnauthorized, problem.Unauthorized, "unknown key", 0)
			return false
		}
		x.team = team.Name
	}
	wait := x.route.Timeout()
	if x.call.Timeout > 0 {
		wait = min(wait, x.call.Timeout)
	}
	x.deadline = x.arrived.Add(wait)
	x.service = x.route.Choose(rand.Float64())
	if x.outlastsDrain() {
		x.refuse(http.StatusServiceUnavailable, problem.Draining, "this gateway stops soon", drainRetryAfter)
		return false
	}
	if h.lag.shouldShed() {
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusServiceUnavailable, problem.TooManyWaiting, "this gateway is short of processor time", shedRetryAfter)
		x.reportLocalRefusal()
		return false
	}
	if x.team != "" && !h.throttle.Allow(x.throttleKey(), x.arrived) {
		x.reportLocalRefusal()
		x.refuseWithReason(reasonOverShareLately, dispatch.Inputs{}, http.StatusTooManyRequests, problem.TooManyWaiting, overShareDetail, x.overShareRetryAfter())
		return false
	}
	return true
}

// unasked tells the fleet that the request was refused without asking for a place.
func (x *exchange) reportLocalRefusal() {
	if x.team != "" && x.call.Prompt.Tokens > 0 {
		x.handler.scheduler.ReportRefusal(x.team, x.call.Prompt)
	}
}

// refusedLately is the reason of refusals that a gateway repeats by itself.
const reasonOverShareLately dispatch.Reason = "over_share_lately"

// overShare tells a caller why its team is refused.
const overShareDetail = "the team is over its share"

func (x *exchange) throttleKey() dispatch.ThrottleKey {
	return dispatch.ThrottleKey{
		Team:  x.team,
		Route: x.route.Name,
	}
}

// answered tells what became of the question whether the team has a place.
func (x *exchange) recordDecision(refusedFor time.Duration) {
	if x.team != "" && len(x.tried) == 0 {
		x.handler.throttle.RecordDecision(x.throttleKey(), time.Now(), refusedFor)
	}
}

// soon returns when a caller over its share should come back, so that it may still
// be on time.
func (x *exchange) overShareRetryAfter() time.Duration {
	part := dispatch.MinRetryFraction + rand.Float64()*(dispatch.MaxRetryFraction-dispatch.MinRetryFraction)
	return time.Duration(part * float64(x.route.Objective()))
}
