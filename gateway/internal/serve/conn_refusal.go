package serve

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"baobabpaddle/fleet/connlimit"
	"baobabpaddle/fleet/problem"
)

// defaultRetryAfter is the Retry-After of refusals in seconds if nothing else is set.
const defaultRetryAfter = "1"

// setRefusals sets the answers to requests whose connections are closed.
func (c *Conns) setRefusals(retryAfter string) {
	c.refusals = make(map[string][]byte)
	for _, cause := range []string{causeIdle, causeLateHead, causeDrain, connlimit.CauseConns, connlimit.CauseMemory} {
		c.refusals[cause] = newConnRefusal(cause, retryAfter)
	}
}

// newConnRefusal returns the answer to a request, or a part of one, on a connection that the gateway
// closes for the cause. Its Retry-After has the given value, unless the request was late.
func newConnRefusal(cause, retryAfter string) []byte {
	var p *problem.Problem
	header := make(http.Header)
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
	if p.Status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfter)
	}
	header.Set("Content-Type", problem.ContentType)
	body, err := json.Marshal(p)
	if err != nil {
		body = nil // the status is left
	}
	response := http.Response{
		StatusCode:    p.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Close:         true,
	}
	var out bytes.Buffer
	_ = response.Write(&out) // a buffer takes it
	return out.Bytes()
}
