package connlimit

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"baobabpaddle/fleet/problem"
)

// retryAfter is the Retry-After of refusals, in seconds.
const retryAfter = "1"

// newRefusal returns the answer to a request whose connection a limit ends for the cause.
func newRefusal(cause string) []byte {
	detail := "this process has too many connections"
	if cause == CauseMemory {
		detail = "this process has no memory for another request"
	}
	return Refusal(problem.NewNotRun(http.StatusServiceUnavailable, problem.TooManyWaiting, detail), retryAfter)
}

// Refusal returns the bytes of a response with the problem, after which the connection is closed.
// RetryAfter is the value of its Retry-After; an empty one sends none.
func Refusal(p *problem.Problem, retryAfter string) []byte {
	header := make(http.Header)
	if retryAfter != "" {
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
