package call

import (
	"net/http"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// Call is what a caller tells of its request.
type Call struct {
	// ID names this attempt of the caller; each attempt has its own.
	ID string
	// Key is the team's key; empty when there is none.
	Key string
	// Timeout is how long the caller waits; zero when it does not say.
	Timeout time.Duration
	// Prompt is empty for requests that no model reads.
	Prompt dispatch.Prompt
}

// Placement is what the fleet adds to a request for the upstream.
type Placement struct {
	// Upstream is the identifier of the only upstream that may run the request.
	Upstream string
	// Team is the team that the caller's key belongs to; empty for none.
	Team string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// LastEvent is the identifier of the last event that the caller has; empty
	// when the stream begins.
	LastEvent string
}

// Reply is what an upstream's answer says of itself.
type Reply struct {
	// ID is the attempt that is answered.
	ID string
	// NotRun promises that the upstream has not run the request and never will.
	NotRun bool
	// OtherUpstream tells that another upstream has the address.
	OtherUpstream bool
	// Leaving tells that the upstream stops soon and wants no new requests.
	Leaving bool
	// Backoff is for how long the upstream wants no requests from this gateway; zero
	// is none.
	Backoff time.Duration
	// Signed tells that the answer bears the proof that an upstream made it.
	Signed bool
}

// Protocol carries calls and replies in headers.
type Protocol interface {
	// ReadCall returns what a caller tells. Malformed values are an error that
	// names the header.
	ReadCall(h http.Header) (Call, error)
	// AppendHead appends the header lines of the request to an upstream: the
	// caller's, without those that concern one connection or that only the fleet
	// sets, and what the fleet adds.
	AppendHead(dst []byte, h http.Header, p Placement) []byte
	// ReadReply returns what an upstream's answer tells.
	ReadReply(status int, h http.Header) Reply
	// RetryAfter returns the value that tells a caller when to come back.
	RetryAfter(d time.Duration) string
}
