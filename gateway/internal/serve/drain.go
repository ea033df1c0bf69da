package serve

import (
	"net/http"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/problem"
)

// Drain starts draining: from now on connections are closed after the next answer, and
// requests that may not be finished by end are refused. It does not wait.
func (h *Handler) Drain(end time.Time) {
	h.drainStart.Store(time.Now().UnixNano())
	h.drainEnd.Store(end.UnixNano())
}

// endsBeforeDrain refuses the request and returns false if it may run beyond the end of the drain.
func (x *exchange) endsBeforeDrain() bool {
	if !x.outlastsDrain() {
		return true
	}
	x.w.Header().Set("Connection", "close") // the drain may have begun after the head arrived
	x.refuse(http.StatusServiceUnavailable, problem.Draining, "this gateway stops soon", drainRetryAfter)
	return false
}

// outlastsDrain reports whether the request may run beyond the end of the drain. The longest
// run assumed is the time to the deadline. For a stream that its caller can resume elsewhere,
// and that arrives before the load balancer has noticed the drain, it is the estimated time of
// the stream if that is shorter.
func (x *exchange) outlastsDrain() bool {
	end := x.handler.drainEnd.Load()
	if end == 0 {
		return false
	}
	left := time.Until(time.Unix(0, end)) - drainMargin
	longest := time.Until(x.deadline)
	early := time.Since(time.Unix(0, x.handler.drainStart.Load())) < x.handler.unreadyDelay
	if early && x.route.Kind == configuration.Stream && x.route.Resumable && x.call.Prompt.MaxOutput > 0 {
		longest = min(longest, x.route.Objective()+x.handler.pace.estimate(likelyMaxTokens(x.call.Prompt)))
	}
	return longest > left
}
