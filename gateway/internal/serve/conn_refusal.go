package serve

import (
	"net/http"

	"baobabpaddle/fleet/connlimit"
	"baobabpaddle/fleet/problem"
)

// newConnRefusal returns the answer to a request, or a part of one, on a connection that the gateway
// closes for the cause. Its Retry-After has the given value, unless the request was late.
func newConnRefusal(cause, retryAfter string) []byte {
	var p *problem.Problem
	switch cause {
	case causeLateHead:
		p = problem.NewNotRun(http.StatusRequestTimeout, problem.HeadTruncated, "the head did not come in time")
	case causeDrain:
		p = problem.NewNotRun(http.StatusServiceUnavailable, problem.Draining, "this gateway stops soon")
	case connlimit.CauseMemory:
		p = problem.NewNotRun(http.StatusServiceUnavailable, problem.TooManyWaiting, "this gateway has no memory for another request")
	case connlimit.CauseConns:
		p = problem.NewNotRun(http.StatusServiceUnavailable, problem.TooManyWaiting, "this gateway has too many connections")
	default:
		p = problem.NewNotRun(http.StatusServiceUnavailable, problem.NotReady, "the connection is being closed")
	}
	if p.Status != http.StatusServiceUnavailable {
		retryAfter = ""
	}
	return connlimit.Refusal(p, retryAfter)
}
