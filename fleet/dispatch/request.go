package dispatch

import (
	"slices"
	"time"

	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/quarantine"
)

// Key identifies a request within the fleet: ID is unique within its gateway.
type Key struct {
	Gateway string
	ID      uint64
}

// PromptSegment is a part of a prompt that other requests may share.
type PromptSegment struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Prompt describes the tokens that a model engine has to prefill and may generate.
type Prompt struct {
	// Segments are the prompt's segments in order. Engines cache segments that they have
	// prefilled. A cached segment is of use only if all segments before it are cached.
	Segments []PromptSegment `cbor:"1,keyasint,omitempty"`
	// Tokens is the length of the whole prompt, or 0 for a request to a plain service.
	Tokens int `cbor:"2,keyasint,omitempty"`
	// MaxOutput is the largest number of tokens that may be generated.
	MaxOutput int `cbor:"3,keyasint,omitempty"`
	// Hint is the caller's estimate of the tokens generated, or 0 if there is none.
	Hint int `cbor:"4,keyasint,omitempty"`
}

// unhintedFraction is the fraction of MaxOutput that a request without a hint is expected
// to generate.
const unhintedFraction = 0.4

// ExpectedOutput returns the number of tokens that are expected to be generated: the hint,
// bounded by a positive MaxOutput, or else a fraction of MaxOutput.
func (p Prompt) ExpectedOutput() float64 {
	if p.Hint > 0 && (p.MaxOutput == 0 || p.Hint < p.MaxOutput) {
		return float64(p.Hint)
	}
	if p.Hint > 0 {
		return float64(p.MaxOutput)
	}
	return unhintedFraction * float64(p.MaxOutput)
}

// Shared returns the segments that other requests may share: all but the last one, which
// belongs to the request or its session alone.
func (p Prompt) Shared() []PromptSegment {
	if len(p.Segments) == 0 {
		return nil
	}
	return p.Segments[:len(p.Segments)-1]
}

// Request is a gateway's request for a Decision.
type Request struct {
	ID      uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Class groups requests of one kind, for the statistics of request sizes.
	Class string `cbor:"11,keyasint,omitempty"`
	// Team is the calling team, or empty on routes that need no key.
	Team string `cbor:"3,keyasint,omitempty"`
	// Zone is the availability zone of the asking gateway.
	Zone   string `cbor:"4,keyasint,omitempty"`
	Prompt Prompt `cbor:"5,keyasint,omitempty"`
	// Objective is the latency objective: the time from the caller's request to the first
	// event, or to the response, within which it is on time.
	Objective time.Duration `cbor:"6,keyasint,omitempty"`
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration `cbor:"7,keyasint,omitempty"`
	// Excluded lists upstreams that must not get this request: those that it was sent to
	// before, and those that want no requests from its gateway.
	Excluded []string `cbor:"8,keyasint,omitempty"`
	// Among, unless it is empty, lists the only upstreams that may get this request: those that it
	// was sent to before and that have not failed. Leaders of former versions ignore it.
	Among []string `cbor:"17,keyasint,omitempty"`
	// Resumed reports whether the request continues an interrupted stream. Such a request
	// was admitted before, so it is not refused for its team's share. One that is resumed
	// within its answer is not refused because engines are busy either.
	Resumed bool `cbor:"9,keyasint,omitempty"`
	// Digest identifies requests with the same target, team and body, at any gateway. It is
	// zero if the gateway sends none.
	Digest uint64 `cbor:"12,keyasint,omitempty"`
	// Idempotent reports whether the request may be sent again if it fails. Such requests
	// are the first to probe an upstream after a suspension.
	Idempotent bool `cbor:"10,keyasint,omitempty"`
	// Stream identifies the stream that the request begins or, if Continues is true, the one
	// of an earlier request that its caller resumes. It is zero for requests whose answers
	// can't be resumed.
	Stream    origin.Stream `cbor:"13,keyasint,omitempty"`
	Continues bool          `cbor:"14,keyasint,omitempty"`
	// Version is the software version of the upstreams that may get the request, the one that
	// began its stream. Empty means any version, unless Continues is true.
	Version string `cbor:"15,keyasint,omitempty"`
	// Services are those that may get a request which continues a stream: the one that began it gets
	// it. Empty means Service only.
	Services []string `cbor:"16,keyasint,omitempty"`
}

// Allows reports whether a request that continues a stream may go to a service.
func (r *Request) Allows(service string) bool {
	return service == r.Service || slices.Contains(r.Services, service)
}

// names reports whether Excluded and Among let an upstream get the request.
func (r *Request) names(upstream string) bool {
	return !slices.Contains(r.Excluded, upstream) && (len(r.Among) == 0 || slices.Contains(r.Among, upstream))
}

// countsForTeam reports whether the request adds to its team's demand. Resumed requests
// don't, since they were counted when they were first placed.
func (r *Request) countsForTeam() bool { return r.Team != "" && r.Prompt.Tokens > 0 && !r.Resumed }

// Weight returns the weight of a request in the fraction of the fleet's requests that a
// gateway sees.
func (r *Request) Weight() float64 { return 1 + tokenCost(r.Prompt) }

// Decision is the response to a Request.
type Decision struct {
	ID uint64 `cbor:"1,keyasint"`
	// Upstream identifies where to send the request; empty if the request is refused.
	Upstream string `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the delay after which the caller of a refused request should retry.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Reason is the reason of a refusal.
	Reason Reason `cbor:"4,keyasint,omitempty"`
	// RefuseFor is the time for which the gateway refuses further requests of the same team
	// on the same route by itself, or zero if it asks about each.
	RefuseFor time.Duration `cbor:"7,keyasint,omitempty"`
	// Inputs are the values that the decision is based on.
	Inputs Inputs `cbor:"8,keyasint,omitempty"`
	// Version is the software version that began the stream that the request continues; empty
	// if it is not known or the request continues none.
	Version string `cbor:"9,keyasint,omitempty"`
	// VersionUncertain reports that the chosen upstream may run another software version than
	// the list shows. It is set for requests that begin a stream which can be resumed.
	VersionUncertain bool `cbor:"10,keyasint,omitempty"`
	// Service is the service that began the stream, if the request continues one and names another.
	Service string `cbor:"11,keyasint,omitempty"`
}

// Values of Inputs.DecidedBy.
const (
	ByLeader  = "leader"
	ByGateway = "gateway"
)

// Inputs are the values that a Decision is based on, for logs.
type Inputs struct {
	// DecidedBy is ByLeader if the leader decided with its view of the whole fleet, and
	// ByGateway if the gateway decided alone.
	DecidedBy string `cbor:"-"`
	// Usable is the number of upstreams that could have taken the request.
	Usable int `cbor:"2,keyasint,omitempty"`
	// Running is the number of requests in flight at the best of them.
	Running int `cbor:"3,keyasint,omitempty"`
	// QueueDelay is the estimated time until the best upstream has prefilled the prompts
	// placed before this one, and PrefillTime the estimated time to prefill this one.
	QueueDelay  time.Duration `cbor:"4,keyasint,omitempty"`
	PrefillTime time.Duration `cbor:"5,keyasint,omitempty"`
	// Objective is the request's latency objective.
	Objective time.Duration `cbor:"6,keyasint,omitempty"`
	// Admitted is the number of tokens that the team was admitted within the share window,
	// and Share its max-min fair share. Both are zero while no shares are computed.
	Admitted int64 `cbor:"7,keyasint,omitempty"`
	Share    int64 `cbor:"8,keyasint,omitempty"`
	// Lead is how far the team was ahead of the backlogged teams' virtual time.
	Lead time.Duration `cbor:"9,keyasint,omitempty"`
	// RateLimit is the rate limit, in requests a second, of the upstream that takes requests
	// first, if all usable ones have a limit that is used up; otherwise zero.
	RateLimit float64 `cbor:"11,keyasint,omitempty"`
	// Quarantine is the record of the quarantined subject, a segment of the prompt or the
	// request itself; nil if there is none.
	Quarantine *quarantine.Record `cbor:"10,keyasint,omitempty"`
}

// Reason is the reason of a refusal.
type Reason string

// The reasons of refusals.
const (
	// NoUpstream: the service has no upstream that takes requests.
	NoUpstream Reason = "no_upstream"
	// OverShare: the team was admitted its share or more, and no engine is idle.
	OverShare Reason = "over_share"
	// AheadOfOthers: the team is not over its share, but received more than other
	// backlogged teams, and the queue at every engine is too long for its lead. The team's
	// next request may be placed.
	AheadOfOthers Reason = "ahead"
	// Busy: no upstream can start the request in time.
	Busy Reason = "busy"
	// RateLimited: all usable upstreams have rate limits that are used up.
	RateLimited Reason = "rate_limited"
	// ColdUpstreams: all usable upstreams are cold, or have rate limits, and the one that takes
	// requests first is cold.
	ColdUpstreams Reason = "cold"
	// Quarantined: upstreams crashed with this request, or with requests that hold one of
	// its prompt's segments. A retry won't help if RetryAfter is zero.
	Quarantined Reason = "quarantined"
	// UnknownVersion: it is not known which software version began the stream that the request
	// continues. A retry won't help if RetryAfter is zero.
	UnknownVersion Reason = "unknown_version"
	// VersionUnavailable: no listed upstream runs the software version that began the stream.
	// A retry won't help.
	VersionUnavailable Reason = "version_unavailable"
)

// Outcome is how a request at an upstream ended.
type Outcome uint8

// The outcomes of requests.
const (
	// Answered: the upstream's response was complete.
	Answered Outcome = iota
	// CallerLeft: the caller disconnected or its deadline passed.
	CallerLeft
	// NotRun: the upstream responded that it did not run the request.
	NotRun
	// Unreachable: no connection could be made in time, so nothing was sent.
	Unreachable
	// Broken: the connection broke or the response was invalid.
	Broken
	// Failed: the upstream responded with an error of its own.
	Failed
	// AddressReassigned: another upstream responds at the address.
	AddressReassigned
	// ResponseTimeout: the upstream did not begin to respond before the deadline.
	ResponseTimeout
	// Unsent: the gateway sent nothing to the upstream.
	Unsent
	// Crashed: the connection broke, and the upstream's host refuses new ones.
	Crashed
	// AnsweredError: the upstream's response was complete and an error of its own.
	AnsweredError
	// ConnectionRefused: the upstream's host refused the connection, so nothing was sent.
	ConnectionRefused
)

var outcomeNames = [...]string{
	Answered:          "answered",
	CallerLeft:        "caller_left",
	NotRun:            "not_run",
	Unreachable:       "unreachable",
	Broken:            "broken",
	Failed:            "failed",
	AddressReassigned: "gone",
	ResponseTimeout:   "silent",
	Unsent:            "unsent",
	Crashed:           "crashed",
	AnsweredError:     "answered_error",
	ConnectionRefused: "refused",
}

// String returns the outcome's name in logs, or "unknown" if there is none.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Upstream is an entry of the platform's list of upstreams.
type Upstream struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `cbor:"5,keyasint"`
	// Draining upstreams get no new requests.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// Version is the version of the upstream's software, or empty if a controller that
	// doesn't read it sent the entry.
	Version string `cbor:"7,keyasint,omitempty"`
	// Cold is what the platform's list said when it was read. It is not part of the list that
	// processes pass on, since it differs at each reading; see ColdReport.
	Cold ColdEntry `cbor:"-"`
}
