package call

import (
	"net/http"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// Call is the metadata of a caller's request.
type Call struct {
	// ID identifies this attempt of the caller; each attempt has a different one.
	ID string
	// Key is the team's key; empty if there is none.
	Key string
	// Timeout is how long the caller waits for the answer; zero if it does not say.
	Timeout time.Duration
	// Resumes is the identifier of the caller's attempt that brought the first event of the
	// stream that this request resumes; empty for a new request.
	Resumes string
	// LastEvent is the identifier of the last event that the caller has of that stream.
	LastEvent string
	// Prompt describes the prompt; it is empty for requests that are not for a model.
	Prompt dispatch.Prompt
}

// Placement is the metadata that the fleet adds to a request to an upstream.
type Placement struct {
	// Upstream is the identifier of the only upstream that may run the request.
	Upstream string
	// Team is the team to which the caller's key belongs; empty if there is none.
	Team string
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// LastEvent is the identifier of the last event of a stream that the caller has
	// received, from which the upstream resumes it; empty for a new stream.
	LastEvent string
}

// Reply is the metadata of an upstream's answer.
type Reply struct {
	// ID identifies the attempt that is answered.
	ID string
	// NotRun is true if the upstream has not run the request and never will, so that it
	// may be sent elsewhere.
	NotRun bool
	// Refusal is true if callers take the status to mean that the request was not run.
	Refusal bool
	// OtherUpstream is true if another upstream than the expected one has the address.
	OtherUpstream bool
	// Leaving is true if the upstream shuts down soon and accepts no new requests.
	Leaving bool
	// Backoff is for how long this gateway must send no requests to the upstream; zero
	// if it may go on.
	Backoff time.Duration
	// RateLimit is the rate of requests that the upstream accepts from the whole fleet.
	RateLimit dispatch.RateLimit
	// Signed is true if the answer carries the proof that an upstream produced it.
	Signed bool
}

// Protocol reads and writes the metadata in HTTP headers.
type Protocol interface {
	// ReadCall returns the metadata of a caller's request. The error for a malformed
	// value names the header.
	ReadCall(h http.Header) (Call, error)
	// AppendHead appends to dst the header lines of the request to an upstream: those
	// of the caller, without hop-by-hop headers and headers that only the fleet may
	// set, and the placement's.
	AppendHead(dst []byte, h http.Header, p Placement) []byte
	// ReadReply returns the metadata of an upstream's answer.
	ReadReply(status int, h http.Header) Reply
	// RetryAfter returns the value of the Retry-After header for a delay.
	RetryAfter(d time.Duration) string
}
