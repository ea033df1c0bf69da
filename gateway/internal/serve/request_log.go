package serve

import (
	"net/http"
	"time"

	"baobabpaddle/fleet/steady"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/trace"
)

// requestLog returns the lines about the request, which begin with the first step.
func (x *exchange) requestLog() *trace.Request {
	if !x.logStarted {
		if x.call.ID == "" {
			// The identifier is read even if the rest is malformed.
			x.call, _ = x.handler.protocol.ReadCall(x.r.Header)
		}
		x.steps = x.handler.trace.Request(x.call.ID, x.arrived)
		x.logStarted = true
	}
	return &x.steps
}

// requestInfo returns what is known of the request.
func (x *exchange) requestInfo() trace.RequestInfo {
	about := trace.RequestInfo{
		Service: x.service,
		Team:    x.team,
		Prompt:  x.call.Prompt,
	}
	if x.route != nil {
		about.Route = x.route.Name
	}
	if x.view.Table != nil {
		about.Version = x.view.Table.Configuration.Version
		about.ProofLeft = x.view.ProvenUntil.Sub(steady.Now())
	}
	if !x.deadline.IsZero() {
		about.CallerWait = x.deadline.Sub(x.arrived)
	}
	return about
}

// outcomeAnsweredLate names an answer that began after the route's objective.
const outcomeAnsweredLate = "answered_late"

// recordEnd notes how a request that went to upstreams ended for its caller.
func (x *exchange) recordEnd(result outcome) {
	now := time.Now()
	last := trace.Ended{
		Status:  x.status,
		Outcome: result.String(),
		Took:    now.Sub(x.arrived),
		Tries:   len(x.tried),
	}
	if !x.firstByteAt.IsZero() {
		last.First = x.firstByteAt.Sub(x.arrived)
	}
	if result == answered && last.First > x.route.Objective() {
		last.Outcome = outcomeAnsweredLate
	}
	x.handler.counters.countEnd(last.Outcome)
	if last.Outcome == answered.String() && x.status < http.StatusBadRequest {
		x.requestLog().Served(now, last)
		return
	}
	x.requestLog().Failed(now, last)
}

// counters count what became of requests.
type counters struct {
	metrics *telemetry.Metrics
}

func newCounters(m *telemetry.Metrics) *counters {
	return &counters{
		metrics: m,
	}
}

// countRefusal counts a request that was refused; reasons are few and fixed.
func (c *counters) countRefusal(reason string) {
	c.metrics.Counter(`gateway_refused_total{code="` + reason + `"}`).Inc()
}

// countAttempt counts what became of a request at one upstream.
func (c *counters) countAttempt(result outcome) {
	c.metrics.Counter(`gateway_upstream_tries_total{outcome="` + result.String() + `"}`).Inc()
}

// countEnd counts a request that went to upstreams.
func (c *counters) countEnd(outcome string) {
	c.metrics.Counter(`gateway_requests_total{outcome="` + outcome + `"}`).Inc()
}

// registerRetriesLeft registers the gauge of a service's retry budget.
func (c *counters) registerRetriesLeft(service string, h *Handler) {
	c.metrics.Gauge(`gateway_retries_left{service="`+service+`"}`, func() float64 {
		return h.budget.remaining(time.Now(), service, h.scheduler.View().Gateways)
	})
}
