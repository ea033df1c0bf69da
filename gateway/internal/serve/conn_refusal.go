package serve

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"baobabpaddle/fleet/connlimit"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/room"
)

const (
	// defaultRetryAfter is the Retry-After of refusals in seconds if nothing else is set.
	defaultRetryAfter = "1"
	// retryDelays is the number of values of Retry-After over which callers are spread.
	retryDelays = 16
	// unreadTimeLeft is the time that callers are assumed to have left whose requests were not read.
	unreadTimeLeft = 2 * time.Second
)

// setRefusals sets the answers to requests whose connections are closed, with the given values of
// Retry-After in turn. Those of a drain all have drainAfter: their callers reach another gateway.
func (c *Conns) setRefusals(retryAfter []string, drainAfter string) {
	c.refusals = make(map[string][][]byte)
	for _, cause := range []string{causeIdle, causeLateHead, connlimit.CauseConns, connlimit.CauseMemory} {
		for _, after := range retryAfter {
			c.refusals[cause] = append(c.refusals[cause], newConnRefusal(cause, after))
		}
	}
	c.refusals[causeDrain] = [][]byte{newConnRefusal(causeDrain, drainAfter)}
}

// refusal returns the next answer to a request whose connection is closed for the cause.
func (c *Conns) refusal(cause string) []byte {
	all := c.refusals[cause]
	return all[c.sent.Add(1)%uint64(len(all))]
}

// connRetryAfter returns the values of Retry-After of callers whose connections are closed: like callers
// that a crowded gateway refused, those that return at once mostly reach the same gateway.
func (h *Handler) connRetryAfter() []string {
	out := make([]string, 0, retryDelays)
	for i := range retryDelays {
		u := (float64(i) + 0.5) / retryDelays
		out = append(out, h.protocol.RetryAfter(room.RetryAfter(h.unreadyDelay, unreadTimeLeft, u)))
	}
	return out
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
