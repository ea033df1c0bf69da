package serve

import (
	"net/http"
	"strings"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/gateway/internal/upstream"
)

// rejection is why an upstream's answer is not forwarded.
type rejection struct {
	// cause is the cause in logs; empty for an ordinary error of the upstream.
	cause string
	// reported is the outcome that the scheduler learns.
	reported dispatch.Outcome
	outcome  outcome
}

// checkReply returns why the answer is not forwarded, or nil if it is. Successful answers
// must be signed by an upstream and have no content encoding: any other was not made by an
// upstream. A refusal that does not say that the request was not run is not forwarded to a
// caller whose request may run only once, since the caller would send it again.
func (x *exchange) checkReply(answer *upstream.Answer, reply call.Reply) *rejection {
	switch {
	case reply.OtherUpstream:
		return &rejection{
			cause:    "another upstream has the address",
			reported: dispatch.AddressReassigned,
			outcome:  notRun,
		}
	case reply.NotRun && answer.Status != http.StatusBadRequest:
		return &rejection{
			cause:    "the upstream rejected the request",
			reported: dispatch.NotRun,
			outcome:  notRun,
		}
	case answer.Status < http.StatusMultipleChoices && (!reply.Signed || answer.Header.Get("Content-Encoding") != ""):
		return &rejection{
			cause:    "the answer was not made by an upstream",
			reported: dispatch.Broken,
			outcome:  failed,
		}
	case reply.Refusal && !x.route.Idempotent(): // one that was not run is handled above
		return &rejection{
			cause:    "the upstream refused the request and may have run it",
			reported: dispatch.Failed,
			outcome:  failed,
		}
	case x.headSent && !x.continuedBy(answer):
		return &rejection{
			cause:    "the stream can't go on here",
			reported: dispatch.Failed,
			outcome:  truncated,
		}
	}
	return nil
}

// retriesError reports whether an error of the upstream is not forwarded since another upstream may
// answer. While another one has the request that holds for a refusal, too.
func (x *exchange) retriesError(answer *upstream.Answer, reply call.Reply) bool {
	if !x.route.Idempotent() {
		return false
	}
	if x.fallbacks.begun() > 0 {
		return answer.Status >= http.StatusInternalServerError || reply.Refusal
	}
	return answer.Status >= http.StatusInternalServerError && x.sentTo()+1 < x.route.MaxUpstreams
}

// keepError keeps the answer that retriesError holds back, which is used if no fallback has a better one up to
// the deadline. It reports whether it is kept.
func (x *exchange) keepError(d dispatch.Decision, answer *upstream.Answer) bool {
	b := &x.fallbacks
	if len(b.running) == 0 || b.lastResort != nil {
		return false
	}
	x.unreported = 0 // endFallbacks reports it
	done := make(chan struct{})
	close(done)
	b.lastResort = &fallback{
		decision: d,
		upstream: x.upstream,
		sentAt:   x.sentAt,
		cancel:   func() {},
		done:     done,
		tried:    true,
		answer:   answer,
	}
	b.lastResortBy = x.deadline.Add(-lastResortMargin)
	return true
}

// readReply returns what an answer says of its upstream, and reports it to the scheduler.
func (x *exchange) readReply(d dispatch.Decision, answer *upstream.Answer) call.Reply {
	reply := x.handler.protocol.ReadReply(answer.Status, answer.Header)
	x.reportNotice(d.Upstream, reply)
	x.reportRateLimit(d, reply)
	return reply
}

// continuedBy reports whether the answer can continue the one whose head was sent: it must
// have the same status and media type, since its body goes on under that head.
func (x *exchange) continuedBy(answer *upstream.Answer) bool {
	return answer.Status == x.status && mediaType(answer.Header) == mediaType(x.w.Header())
}

// mediaType returns the media type of an answer without parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// reportNotice reports to the scheduler and the log whether an upstream said in its reply
// that it shuts down or wants no requests for a time.
func (x *exchange) reportNotice(upstream string, reply call.Reply) {
	notice := dispatch.Notice{
		Upstream: upstream,
		Leaving:  reply.Leaving && !reply.OtherUpstream,
		Backoff:  reply.Backoff,
	}
	if notice.Empty() {
		return
	}
	x.handler.scheduler.ReportNotice(notice)
	x.requestLog().Step(time.Now(), trace.UpstreamNotice{
		Notice: notice,
	})
}

// reportRateLimit reports to the scheduler the rate limit that an upstream states in its
// reply, or that it states none although one is known.
func (x *exchange) reportRateLimit(d dispatch.Decision, reply call.Reply) {
	if reply.OtherUpstream || reply.RateLimit.Malformed {
		return
	}
	h := x.handler
	if _, limited := h.scheduler.View().RateLimits[d.Upstream]; !limited && !reply.RateLimit.Stated {
		return
	}
	h.scheduler.ReportRateLimit(dispatch.RateLimitReport{
		Request:  d.ID,
		Upstream: d.Upstream,
		Limit:    reply.RateLimit,
	})
}
