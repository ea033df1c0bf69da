package dispatch

import "time"

// Key names one request of the fleet.
type Key struct {
	Gateway string
	ID      uint64
}

// PromptSegment is a piece of a prompt that other requests may have in common.
type PromptSegment struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Prompt describes what a model engine has to read and may generate.
type Prompt struct {
	// Segments are the pieces of the prompt in order. Engines keep pieces that they
	// have read, each of use only after all pieces before it.
	Segments []PromptSegment `cbor:"1,keyasint,omitempty"`
	// Tokens is the length of the whole prompt.
	Tokens int `cbor:"2,keyasint,omitempty"`
	// MaxOutput is how many tokens may be generated at most.
	MaxOutput int `cbor:"3,keyasint,omitempty"`
	// Hint is the caller's estimate of the tokens generated; zero is none.
	Hint int `cbor:"4,keyasint,omitempty"`
}

// unhintedPart is the part of the most that may be generated which is expected
// of a request without a hint.
const unhintedPart = 0.4

// ExpectedOutput returns how many tokens are expected to be generated.
func (p Prompt) ExpectedOutput() float64 {
	if p.Hint > 0 && (p.MaxOutput == 0 || p.Hint < p.MaxOutput) {
		return float64(p.Hint)
	}
	if p.Hint > 0 {
		return float64(p.MaxOutput)
	}
	return unhintedPart * float64(p.MaxOutput)
}

// Request asks for a place.
type Request struct {
	ID      uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Class groups requests of one kind, whose sizes are compared.
	Class string `cbor:"11,keyasint,omitempty"`
	// Team is empty on routes that need no key.
	Team string `cbor:"3,keyasint,omitempty"`
	// Zone is where the asking gateway stands.
	Zone   string `cbor:"4,keyasint,omitempty"`
	Prompt Prompt `cbor:"5,keyasint,omitempty"`
	// Objective is the time from the caller's request to the first event, or to
	// the answer, that is on time.
	Objective time.Duration `cbor:"6,keyasint,omitempty"`
	// Remaining is how long the caller still waits.
	Remaining time.Duration `cbor:"7,keyasint,omitempty"`
	// Excluded are upstreams that must not get this request: those that it was sent to
	// before, and those that want no requests from its gateway.
	Excluded []string `cbor:"8,keyasint,omitempty"`
	// Resumed tells that the request goes on with a stream that broke off, so
	// that it must not be refused for its team's share.
	Resumed bool `cbor:"9,keyasint,omitempty"`
	// Idempotent requests are the first to try an upstream after a suspension.
	Idempotent bool `cbor:"10,keyasint,omitempty"`
}

// counted reports whether the request counts for its team: resumed ones were counted
// before.
func (r *Request) counted() bool { return r.Team != "" && r.Prompt.Tokens > 0 && !r.Resumed }

// Weight is what a request counts for among the fleet's requests.
func (r *Request) Weight() float64 { return 1 + cost(r.Prompt) }

// Decision answers a Request.
type Decision struct {
	ID uint64 `cbor:"1,keyasint"`
	// Upstream is where to send the request; empty means that it is refused.
	Upstream string `cbor:"2,keyasint,omitempty"`
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Reason tells why a request is refused.
	Reason Reason `cbor:"4,keyasint,omitempty"`
	// RefuseFor is how long requests of the same team and class would be refused as well.
	RefuseFor time.Duration `cbor:"7,keyasint,omitempty"`
	// Inputs are what decided.
	Inputs Inputs `cbor:"8,keyasint,omitempty"`
}

// Who decides.
const (
	ByLeader  = "leader"
	ByGateway = "gateway"
)

// Inputs are what a Decision was made by, for logs.
type Inputs struct {
	// DecidedBy tells whose knowledge decided: the leader's of the whole fleet, or the
	// gateway's own.
	DecidedBy string `cbor:"-"`
	// Usable is how many upstreams could have taken the request.
	Usable int `cbor:"2,keyasint,omitempty"`
	// Running is how many requests were at the best of them.
	Running int `cbor:"3,keyasint,omitempty"`
	// QueueDelay is the estimated time until the best upstream has read the prompts
	// before this one, and Own what reading this one takes.
	QueueDelay  time.Duration `cbor:"4,keyasint,omitempty"`
	PrefillTime time.Duration `cbor:"5,keyasint,omitempty"`
	// Objective is the request's.
	Objective time.Duration `cbor:"6,keyasint,omitempty"`
	// Received is what the team was admitted within the window, in tokens, and Share
	// what it is owed; both are zero while teams are not counted.
	Received int64 `cbor:"7,keyasint,omitempty"`
	Share    int64 `cbor:"8,keyasint,omitempty"`
	// Lead is how far the team was ahead of others that want more.
	Lead time.Duration `cbor:"9,keyasint,omitempty"`
}

// Reason tells why a request is refused.
type Reason string

// The reasons of refusals.
const (
	// NoUpstream: the service has no upstream that takes requests.
	NoUpstream Reason = "no_upstream"
	// OverShare: the team is over its share while engines are busy.
	OverShare Reason = "over_share"
	// AheadOfOthers: the team is not over its share, but received more than others that want more,
	// while engines are busy. The team's next request may find room.
	AheadOfOthers Reason = "ahead"
	// Busy: no upstream can begin in time.
	Busy Reason = "busy"
)

// Outcome tells how an upstream's work on a request ended.
type Outcome uint8

// The endings of requests.
const (
	// Answered: the upstream's answer came whole.
	Answered Outcome = iota
	// CallerLeft: the caller went away or its deadline passed.
	CallerLeft
	// NotRun: the upstream said that it did not run the request.
	NotRun
	// Unreachable: no connection could be made, nothing was sent.
	Unreachable
	// Broken: the connection broke or the answer was none.
	Broken
	// Failed: the upstream answered with a failure of its own.
	Failed
	// AddressReassigned: another upstream has the address.
	AddressReassigned
	// ResponseTimeout: the upstream did not begin to answer until the deadline.
	ResponseTimeout
	// Unsent: the gateway sent nothing to the upstream.
	Unsent
)

var endings = [...]string{
	Answered:          "answered",
	CallerLeft:        "caller_left",
	NotRun:            "not_run",
	Unreachable:       "unreachable",
	Broken:            "broken",
	Failed:            "failed",
	AddressReassigned: "gone",
	ResponseTimeout:   "silent",
	Unsent:            "unsent",
}

// String returns the ending's name in logs.
func (e Outcome) String() string {
	if int(e) < len(endings) {
		return endings[e]
	}
	return "unknown"
}

// Upstream is one upstream as the platform's list has it.
type Upstream struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Slots is how many requests it runs at once.
	Slots int `cbor:"5,keyasint"`
	// Draining upstreams get no new requests.
	Draining bool `cbor:"6,keyasint,omitempty"`
}
