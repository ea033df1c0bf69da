package serve

import (
	"net/http"
	"time"

	"baobabpaddle/fleet/steady"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/trace"
)

// requestLog returns the log of the request, which it creates at the first call.
func (x *exchange) requestLog() *trace.Request {
	if !x.logStarted {
		if x.call.ID == "" {
			// ReadCall returns the identifier even if other headers are malformed.
			x.call, _ = x.handler.protocol.ReadCall(x.r.Header)
		}
		x.steps = x.handler.trace.Request(x.call.ID, x.arrived)
		x.logStarted = true
	}
	return &x.steps
}

// requestInfo returns what is known of the request so far.
func (x *exchange) requestInfo() trace.RequestInfo {
	info := trace.RequestInfo{
		Service: x.service,
		Team:    x.team,
		Prompt:  x.call.Prompt,

		Resumes:      x.call.Resumes,
		ResumesAfter: x.call.LastEvent,
	}
	if x.route != nil {
		info.Route = x.route.Name
	}
	if x.view.Table != nil {
		info.Version = x.view.Table.Configuration.Version
		info.ProofLeft = x.view.ProvenUntil.Sub(steady.Now())
	}
	if !x.deadline.IsZero() {
		info.CallerWait = x.deadline.Sub(x.arrived)
	}
	return info
}

// outcomeAnsweredLate is the outcome of a request whose answer began after the route's
// objective.
const outcomeAnsweredLate = "answered_late"

// recordEnd logs and counts the final outcome of a request that was sent to upstreams.
func (x *exchange) recordEnd(result outcome) {
	now := time.Now()
	last := trace.Ended{
		Status:  x.status,
		Outcome: result.String(),
		Took:    now.Sub(x.arrived),
		Tries:   len(x.tried) + len(x.superseded),
	}
	if !x.firstByteAt.IsZero() {
		last.FirstByte = x.firstByteAt.Sub(x.arrived)
	}
	if result == answered && last.FirstByte > x.route.Objective() {
		last.Outcome = outcomeAnsweredLate
	}
	x.handler.counters.countEnd(last.Outcome)
	if last.Outcome == answered.String() && x.status < http.StatusBadRequest {
		x.requestLog().Served(now, last)
		return
	}
	x.requestLog().Failed(now, last)
}

// counters count refused requests, attempts at upstreams and final outcomes.
type counters struct {
	metrics *telemetry.Metrics
}

func newCounters(m *telemetry.Metrics) *counters {
	return &counters{
		metrics: m,
	}
}

// countRefusal counts a refused request. The reason is a metric label: there are few
// reasons, all of them constants.
func (c *counters) countRefusal(reason string) {
	c.metrics.Counter(`gateway_refused_total{code="` + reason + `"}`).Inc()
}

// countAttempt counts the outcome of an attempt at one upstream.
func (c *counters) countAttempt(result outcome) {
	c.metrics.Counter(`gateway_upstream_tries_total{outcome="` + result.String() + `"}`).Inc()
}

// countEnd counts the final outcome of a request that was sent to upstreams.
func (c *counters) countEnd(outcome string) {
	c.metrics.Counter(`gateway_requests_total{outcome="` + outcome + `"}`).Inc()
}

// countResumption counts a stream that was resumed, by a caller's further request or by the
// gateway within one answer.
func (c *counters) countResumption(byCaller bool) {
	by := "gateway"
	if byCaller {
		by = "caller"
	}
	c.metrics.Counter(`gateway_streams_resumed_total{by="` + by + `"}`).Inc()
}

// registerRetriesLeft registers the gauge of the retries that a service has left.
func (c *counters) registerRetriesLeft(service string, h *Handler) {
	c.metrics.Gauge(`gateway_retries_left{service="`+service+`"}`, func() float64 {
		return h.budget.remaining(time.Now(), service, h.scheduler.View().Gateways)
	})
}
