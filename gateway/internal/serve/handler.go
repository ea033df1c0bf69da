package serve

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/room"
	"baobabpaddle/fleet/steady"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/gateway/internal/controller"
	"baobabpaddle/gateway/internal/upstream"
)

const (
	// notReadyRetryAfter is the retry delay told to callers while the gateway has no
	// configuration that is known to be recent.
	notReadyRetryAfter = 300 * time.Millisecond
	// rejectedRetryAfter is the retry delay after upstreams rejected a request.
	rejectedRetryAfter = 400 * time.Millisecond
	// drainRetryAfter is the retry delay while the gateway drains. It is short because
	// the caller is meant to return to another gateway.
	drainRetryAfter = 20 * time.Millisecond
	// drainMargin is the time before the end of a drain by which answers must be complete.
	drainMargin = 300 * time.Millisecond
	// hintMargin is the multiple of the caller's hint that the number of generated tokens
	// rarely exceeds: hints are right at the median, and one in a hundred is three times
	// too low.
	hintMargin = 3
	// shedRetryAfter is the retry delay after load shedding. It is short because the
	// caller is meant to return to another gateway.
	shedRetryAfter = 50 * time.Millisecond
	// defaultMaxBodyBytes bounds a request's body if the configuration sets no bound.
	defaultMaxBodyBytes = 4 << 20
)

// Scheduler decides which upstream gets a request and learns from what becomes of it.
// controller.Link implements it.
type Scheduler interface {
	// View returns the current configuration and upstreams as an immutable snapshot.
	View() *controller.View
	// Place returns the upstream for a request or the reason of its refusal. It waits
	// for the decision until ctx ends.
	Place(ctx context.Context, r dispatch.Request) dispatch.Decision
	// ReportStarted reports that the answer to a placed request has started, and the time
	// from sending the request until the response, or zero if it says nothing of the
	// upstream's speed.
	ReportStarted(id uint64, took time.Duration)
	// ReportBegun reports what began a stream whose first event is being forwarded.
	ReportBegun(s origin.Stream, o origin.Origin)
	// ReportOutcome reports how a placed request ended at its upstream.
	ReportOutcome(id uint64, outcome dispatch.Outcome)
	// ReportNotice reports that an upstream shuts down or wants no requests for a time.
	ReportNotice(n dispatch.Notice)
	// ReportRateLimit reports what the answer to a request states about its upstream's
	// rate limit.
	ReportRateLimit(r dispatch.RateLimitReport)
	// ReportRefusal reports a request of a team that was refused without a call of
	// Place, so that it still counts as demand of the team.
	ReportRefusal(team string, p dispatch.Prompt)
	// SetRoom sets the gateway's own room, which is reported to the leader.
	SetRoom(r room.Report)
}

// Handler is the http.Handler for callers' requests. Conns, Lag and Load return its
// components whose Run methods must be running while it serves.
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
	// drainStart and drainEnd are in Unix nanoseconds; zero while not draining.
	drainStart   atomic.Int64
	drainEnd     atomic.Int64
	unreadyDelay time.Duration
	pace         tokenPace
	lag          Lag
	gate         *gate // nil if the processor share is unknown
	throttle     dispatch.Throttle
	limits       Limits
	bodies       byteBudget

	trace            *trace.Log
	requestSeconds   *telemetry.Histograms
	firstByteSeconds *telemetry.Histograms
	unplacedSeconds  *telemetry.Histograms
	counters         *counters
	reporter         *program.Reporter
}

// Settings configures a Handler.
type Settings struct {
	// Zone is the availability zone of the gateway.
	Zone  string
	Retry RetrySettings
	// MaxConns is the maximum number of open connections of callers.
	MaxConns int
	Limits   Limits
	// UnreadyDelay is how long the load balancer sends callers after the gateway has stopped
	// being ready.
	UnreadyDelay time.Duration
	// ProcessorShare is the fraction of a processor core that the process may use. Zero
	// means that it is unknown, which disables overload detection.
	ProcessorShare float64
}

// New returns a Handler that places requests with scheduler, sends them with client and
// reads and writes the metadata in HTTP headers with protocol.
func New(s Settings, scheduler Scheduler, client *upstream.Client, protocol call.Protocol, metrics *telemetry.Metrics, log *slog.Logger) *Handler {
	h := &Handler{
		scheduler: scheduler,
		client:    client,
		protocol:  protocol,
		zone:      s.Zone,
		log:       log,
		trace:     trace.New(log),
		counters:  newCounters(metrics),
		reporter:  program.NewReporter("callers", metrics, log),
		budget:    newRetryBudget(s.Retry),
		limits:    s.Limits,

		unreadyDelay: s.UnreadyDelay,
		bodies: byteBudget{
			limit: s.Limits.TotalBodyBytes,
		},
		requestSeconds:   metrics.Histograms("gateway_request_seconds"),
		firstByteSeconds: metrics.Histograms("gateway_first_byte_seconds"),
		unplacedSeconds:  metrics.Histograms("gateway_unplaced_seconds"),
	}
	h.conns = NewConns(s.MaxConns, h.idleTimeout, h.headTimeout)
	h.lag.observed = h.conns.callers.scanIfDue
	h.limitConns(metrics)
	h.gate = newGate(s.ProcessorShare)
	h.load = newLoad(s.ProcessorShare, h.gate, scheduler)
	return h
}

// Load returns the overload detector of the process.
func (h *Handler) Load() *Load { return h.load }

// Lag returns the scheduling lag of the process.
func (h *Handler) Lag() *Lag { return &h.lag }

// Conns returns the connections of callers.
func (h *Handler) Conns() *Conns { return h.conns }

// idleTimeout returns the configured time that a caller's connection may be idle, or
// zero if none is set.
func (h *Handler) idleTimeout() time.Duration {
	if t := h.scheduler.View().Table; t != nil {
		return time.Duration(t.Configuration.Limits.IdleTimeoutMillis) * time.Millisecond
	}
	return 0
}

// headTimeout returns the configured time within which the head of a request must
// arrive, or zero if none is set.
func (h *Handler) headTimeout() time.Duration {
	if t := h.scheduler.View().Table; t != nil {
		return time.Duration(t.Configuration.Limits.HeaderTimeoutMillis) * time.Millisecond
	}
	return 0
}

// InFlight returns the number of requests being handled.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// refuse answers with a problem that guarantees that the request was not run. A retry of
// zero sends no Retry-After header.
func (x *exchange) refuse(status int, code problem.Code, detail string, retry time.Duration) {
	x.refuseWithReason(dispatch.Reason(code), dispatch.Inputs{}, status, code, detail, retry)
}

// refuseWithReason is like refuse, but logs and counts the reason and the inputs of a
// placement decision instead of the code.
func (x *exchange) refuseWithReason(reason dispatch.Reason, in dispatch.Inputs, status int, code problem.Code, detail string, retry time.Duration) {
	h := x.handler
	if h.conns.NearLimit() {
		x.w.Header().Set("Connection", "close")
	}
	if retry > 0 {
		x.w.Header().Set("Retry-After", h.protocol.RetryAfter(retry))
	}
	x.limitRefusal()
	x.sendProblem(problem.NewNotRun(status, code, detail))
	h.counters.countRefusal(string(reason))
	end := x.requestLog().Failed
	if x.shed {
		end = x.requestLog().Shed
	}
	end(time.Now(), trace.Refused{
		RequestInfo: x.requestInfo(),
		Status:      status,
		Reason:      string(reason),
		Cause:       detail,
		RetryAfter:  retry,
		Inputs:      in,
	})
}

// likelyMaxTokens returns an upper bound on the number of generated tokens that is
// rarely exceeded.
func likelyMaxTokens(p dispatch.Prompt) int {
	if p.Hint == 0 {
		return p.MaxOutput
	}
	return min(p.MaxOutput, hintMargin*p.Hint)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if !h.conns.HeadRead(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := &exchange{
		handler: h,
		view:    &noView,
		w:       w,
		r:       r,
		arrived: arrived,
		held:    newHeld(r),
	}
	defer x.recoverPanic(false) // of the answer to the first panic
	defer x.recoverPanic(true)
	x.view = h.scheduler.View()
	if h.drainEnd.Load() != 0 || h.load.Overloaded() || h.conns.Full(arrived) {
		w.Header().Set("Connection", "close")
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
	defer x.releaseAll()
	defer x.leaveGate(false)
	// The drain may have begun since the head arrived.
	if !x.readBody() || !x.endsBeforeDrain() || !x.enter() {
		x.recordDecision(0)
		return
	}
	x.run()
}

// exchange is the state of one caller's request, over all upstreams that are tried.
type exchange struct {
	handler *Handler
	view    *controller.View
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	running *runningRequest // from the first placement

	route   *configuration.Route
	service string // chosen by the weights of the route
	team    string
	call    call.Call
	body    []byte
	held    held
	// requestDigest is zero until digest computes it.
	requestDigest uint64

	// stream identifies the stream that the request begins or, if continues is true, the one
	// of an earlier request that its caller resumes. It is zero if the answer can't be resumed.
	stream    origin.Stream
	continues bool
	// version is the software version that began the stream; empty as long as it is not known.
	// BegunAt identifies the upstream that began it.
	version string
	begunAt string
	// versionUncertain is true if the chosen upstream may run another software version than the
	// list shows, and unsettledSince is when it began a stream, until its version is known.
	versionUncertain bool
	unsettledSince   steady.Time

	deadline time.Time
	inGate   bool              // counted as waiting by the gate
	shed     bool              // refused by a crowded gateway on its own
	upstream dispatch.Upstream // that was chosen last
	tried    []string          // identifiers of the upstreams whose attempts have failed or brought nothing
	// superseded are the identifiers of upstreams whose attempts were ended as another one went on
	// with the answer. They may get the request again, in place of a further upstream.
	superseded []string
	// unsentTo is the number of upstreams tried that nothing was sent to, since they refused
	// the connection, run another software version or are in an evacuated availability zone, and
	// nothingSent whether the last one is among them.
	unsentTo    int
	nothingSent bool
	// mayHaveRun is true if an upstream may have run the request in an attempt that has ended, and
	// sending from the moment at which the request is sent until the attempt has ended.
	mayHaveRun bool
	sending    bool
	// unreported identifies the placement whose outcome has not been reported; zero if all are reported.
	unreported uint64
	// retryCounted is true if the retry budget was already charged for the next attempt.
	retryCounted bool
	fallbacks    fallbacks

	// State of the answer to the caller.
	headSent    bool
	answerWhole bool // all of it was written
	events      eventScanner
	status      int       // zero before the answer
	sentAt      time.Time // when the last attempt began
	firstByteAt time.Time // when the head of the answer was sent
	responseErr error     // why the upstream's answer broke off; cleared when it is logged

	steps      trace.Request
	logStarted bool // steps is initialized
}

// admit finds the route and the team and checks whether the gateway takes the request
// now. If not, it sends the refusal and returns false. Unknown routes and keys are
// refused for good only under a configuration that is known to be recent, since an
// older one may lack them.
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
	x.identifyStream()
	x.service = x.route.Choose(x.draw())
	if !x.endsBeforeDrain() {
		return false
	}
	if x.stream != 0 && !x.view.ListRecent() {
		x.refuse(http.StatusServiceUnavailable, problem.NotReady, "the list of upstreams may be old", notReadyRetryAfter)
		return false
	}
	if !x.mayEnter() {
		x.refuseCrowded()
		return false
	}
	if x.team != "" && !x.continues && !h.throttle.Allow(x.throttleKey(), x.arrived) {
		x.shed = h.gate.crowded(x.arrived, x.route.Objective())
		x.leaveGate(false)
		x.refuseOverShareLately()
		return false
	}
	return true
}
