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
	notReadyRetry = 300 * time.Millisecond
	// rejectedRetry is when to come back after an upstream rejected a request.
	rejectedRetry = 400 * time.Millisecond
	// drainRetry is when to come back, elsewhere, from a gateway that stops.
	drainRetry = 20 * time.Millisecond
	// hintMargin times the caller's hint is rarely exceeded: hints are right at the
	// median, and one in a hundred is three times too low.
	hintMargin = 3
	// shedRetry is when to come back, elsewhere, from a gateway that is behind.
	shedRetry = 50 * time.Millisecond
	// defaultBodyBytes bounds bodies while the configuration sets no bound.
	defaultBodyBytes = 4 << 20
)

// Fleet places requests and knows the configuration.
type Fleet interface {
	View() *controller.View
	Place(ctx context.Context, r dispatch.Request) dispatch.Decision
	RecordStart(id uint64)
	RecordEnd(id uint64, ending dispatch.Outcome)
	RecordNotice(w dispatch.Notice)
	RecordRefusal(team string, p dispatch.Prompt)
}

// Handler answers callers.
type Handler struct {
	fleet    Fleet
	client   *upstream.Client
	protocol call.Protocol
	zone     string
	log      *slog.Logger
	budget   *retryBudget
	conns    *Conns
	load     *Load

	next     atomic.Uint64
	inFlight atomic.Int64
	drainEnd atomic.Int64 // Unix nanoseconds; zero while not draining
	pace     pace
	lag      Lag
	quiet    dispatch.Throttle
	limits   Limits
	bodies   memory

	trace    *trace.Log
	requests *telemetry.Histograms
	first    *telemetry.Histograms
	counters *counters
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
func New(s Settings, fleet Fleet, client *upstream.Client, protocol call.Protocol, metrics *telemetry.Metrics, log *slog.Logger) *Handler {
	h := &Handler{
		fleet:    fleet,
		client:   client,
		protocol: protocol,
		zone:     s.Zone,
		log:      log,
		trace:    trace.New(log),
		counters: newCounters(metrics),
		budget:   newRetryBudget(s.Retry),
		limits:   s.Limits,
		bodies: memory{
			most: s.Limits.BodyBytes,
		},
		requests: metrics.Histograms("gateway_request_seconds"),
		first:    metrics.Histograms("gateway_first_byte_seconds"),
	}
	h.conns = NewConns(s.MaxConns, h.idleLimit, h.headLimit)
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
func (h *Handler) idleLimit() time.Duration {
	if t := h.fleet.View().Table; t != nil {
		return time.Duration(t.Configuration.Limits.IdleTimeoutMillis) * time.Millisecond
	}
	return 0
}

// headLimit returns how long a caller may take for the head of a request; zero is not
// set.
func (h *Handler) headLimit() time.Duration {
	if t := h.fleet.View().Table; t != nil {
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
func (x *exchange) tooLong() bool {
	end := x.handler.drainEnd.Load()
	if end == 0 {
		return false
	}
	left := time.Until(time.Unix(0, end))
	longest := time.Until(x.deadline)
	if x.route.Kind == configuration.Stream && x.call.Prompt.MaxOutput > 0 {
		longest = min(longest, x.route.Objective()+x.handler.pace.expect(mostTokens(x.call.Prompt)))
	}
	return longest > left
}

// refuse answers with a problem. Nothing has run.
func (x *exchange) refuse(status int, code problem.Code, detail string, retry time.Duration) {
	x.refuseFor(dispatch.Reason(code), dispatch.Inputs{}, status, code, detail, retry)
}

// refuseFor is refuse with the reason and the inputs of a decision.
func (x *exchange) refuseFor(reason dispatch.Reason, in dispatch.Inputs, status int, code problem.Code, detail string, retry time.Duration) {
	h := x.handler
	if h.conns.Crowded() {
		x.w.Header().Set("Connection", "close")
	}
	if retry > 0 {
		x.w.Header().Set("Retry-After", h.protocol.RetryAfter(retry))
	}
	problem.NewNotRun(status, code, detail).Write(x.w)
	h.counters.refused(string(reason))
	x.traced().Failed(time.Now(), trace.Refused{
		RequestInfo: x.about(),
		Status:      status,
		Reason:      string(reason),
		Cause:       detail,
		RetryAfter:  retry,
		Inputs:      in,
	})
}

// mostTokens returns how many tokens may well be generated.
func mostTokens(p dispatch.Prompt) int {
	if p.Hint == 0 {
		return p.MaxOutput
	}
	return min(p.MaxOutput, hintMargin*p.Hint)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h.conns.Begun(r.Context())
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.drainEnd.Load() != 0 || h.load.Resting() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		handler: h,
		view:    h.fleet.View(),
		w:       w,
		r:       r,
		arrived: arrived,
	}
	if x.view.Table == nil {
		x.refuse(http.StatusServiceUnavailable, problem.NotReady, "no configuration yet", notReadyRetry)
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
	defer x.forgetBody()
	if !x.readBody() {
		x.answered(0)
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
	counted bool

	// What was passed on to the caller so far.
	begun  bool
	events eventScanner
	status int       // zero before the answer
	first  time.Time // when the answer began
	broke  error     // why an answer broke off, until it was noted

	steps   trace.Request
	tracing bool // steps has begun
}

// admit finds the route and the team, or answers.
func (x *exchange) admit() bool {
	h := x.handler
	proven := x.view.Proven()
	path, _, _ := strings.Cut(target(x.r), "?")
	x.route = x.view.Table.Route(x.r.Host, path)
	if x.route == nil {
		if !proven {
			x.refuse(http.StatusServiceUnavailable, problem.NotReady, "the configuration may be old", notReadyRetry)
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
			x.refuse(http.StatusServiceUnavailable, problem.NotReady, "the configuration may be old", notReadyRetry)
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
	if x.tooLong() {
		x.refuse(http.StatusServiceUnavailable, problem.Draining, "this gateway stops soon", drainRetry)
		return false
	}
	if h.lag.shed() {
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusServiceUnavailable, problem.TooManyWaiting, "this gateway is short of processor time", shedRetry)
		x.unasked()
		return false
	}
	if x.team != "" && !h.quiet.Allow(x.quietKey(), x.arrived) {
		x.unasked()
		x.refuseFor(refusedLately, dispatch.Inputs{}, http.StatusTooManyRequests, problem.TooManyWaiting, overShare, x.soon())
		return false
	}
	return true
}

// unasked tells the fleet that the request was refused without asking for a place.
func (x *exchange) unasked() {
	if x.team != "" && x.call.Prompt.Tokens > 0 {
		x.handler.fleet.RecordRefusal(x.team, x.call.Prompt)
	}
}

// refusedLately is the reason of refusals that a gateway repeats by itself.
const refusedLately dispatch.Reason = "over_share_lately"

// overShare tells a caller why its team is refused.
const overShare = "the team is over its share"

func (x *exchange) quietKey() dispatch.ThrottleKey {
	return dispatch.ThrottleKey{
		Team:  x.team,
		Route: x.route.Name,
	}
}

// answered tells what became of the question whether the team has a place.
func (x *exchange) answered(refusedFor time.Duration) {
	if x.team != "" && len(x.tried) == 0 {
		x.handler.quiet.RecordDecision(x.quietKey(), time.Now(), refusedFor)
	}
}

// soon returns when a caller over its share should come back, so that it may still
// be on time.
func (x *exchange) soon() time.Duration {
	part := dispatch.MinRetryFraction + rand.Float64()*(dispatch.MaxRetryFraction-dispatch.MinRetryFraction)
	return time.Duration(part * float64(x.route.Objective()))
}
