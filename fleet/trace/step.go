package trace

import (
	"log/slog"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// Messages of the lines about requests.
const (
	MsgRefused    = "request refused"
	MsgPlaced     = "request placed"
	MsgTried      = "upstream tried"
	MsgNotRetried = "request not retried"
	MsgWord       = "upstream wants no requests"
	MsgEnded      = "request ended"
	MsgLeftOut    = "requests left out of the log"
)

// Keys of the lines' fields. Times end in _ms and are in milliseconds.
const (
	KeyRequest    = "request"
	KeyRoute      = "route"
	KeyService    = "service"
	KeyTeam       = "team"
	KeyVersion    = "configuration"
	KeyProofLeft  = "proof_left_ms"
	KeyWaits      = "caller_waits_ms"
	KeyTokens     = "prompt_tokens"
	KeyMaxOutput  = "max_output"
	KeyUpstream   = "upstream"
	KeyBy         = "decided_by"
	KeyAhead      = "read_ahead_ms"
	KeyOwn        = "read_own_ms"
	KeyObjective  = "objective_ms"
	KeyRunning    = "running"
	KeyUsable     = "usable_upstreams"
	KeyReceived   = "team_received"
	KeyShare      = "team_share"
	KeyLead       = "team_lead_ms"
	KeyStatus     = "status"
	KeyReason     = "reason"
	KeyRetryAfter = "retry_after_ms"
	KeyOutcome    = "outcome"
	KeyCause      = "cause"
	KeyTook       = "took_ms"
	KeyFirst      = "first_ms"
	KeyEvent      = "last_event"
	KeyTries      = "tries"
	KeyCount      = "requests"
	KeyLeaving    = "leaving"
	KeyRest       = "rest_ms"
)

// Step is one decision about a request.
type Step interface {
	message() string
	attrs(dst []slog.Attr) []slog.Attr
}

// About is what a request is and what its gateway knew as it arrived. Fields that
// were not found yet are empty.
type About struct {
	Route   string
	Service string
	Team    string
	// Version is the configuration's that was in force.
	Version uint64
	// ProofLeft is for how long that configuration is still known to be the newest;
	// negative when the proof has run out.
	ProofLeft time.Duration
	// Waits is how long the caller waits for its answer.
	Waits  time.Duration
	Prompt dispatch.Prompt
}

func (a About) attrs(dst []slog.Attr) []slog.Attr {
	dst = text(dst, KeyRoute, a.Route)
	dst = text(dst, KeyService, a.Service)
	dst = text(dst, KeyTeam, a.Team)
	dst = append(dst, slog.Uint64(KeyVersion, a.Version), millis(KeyProofLeft, a.ProofLeft))
	if a.Waits > 0 {
		dst = append(dst, millis(KeyWaits, a.Waits))
	}
	if a.Prompt.Tokens > 0 {
		dst = append(dst, slog.Int(KeyTokens, a.Prompt.Tokens), slog.Int(KeyMaxOutput, a.Prompt.MaxOutput))
	}
	return dst
}

// inputs adds what the placing of a request was decided by.
func inputs(dst []slog.Attr, in dispatch.Inputs) []slog.Attr {
	dst = text(dst, KeyBy, in.DecidedBy)
	if in.DecidedBy == "" {
		return dst
	}
	dst = append(dst, slog.Int(KeyUsable, in.Usable), slog.Int(KeyRunning, in.Running),
		millis(KeyAhead, in.QueueDelay), millis(KeyOwn, in.PrefillTime), millis(KeyObjective, in.Objective))
	if in.Share > 0 {
		dst = append(dst, slog.Int64(KeyReceived, in.Received), slog.Int64(KeyShare, in.Share),
			millis(KeyLead, in.Lead))
	}
	return dst
}

// Refused tells that a request was answered without being sent to an upstream.
type Refused struct {
	About
	Status     int
	Reason     string
	Cause      string
	RetryAfter time.Duration
	Inputs     dispatch.Inputs
}

func (s Refused) message() string { return MsgRefused }

func (s Refused) attrs(dst []slog.Attr) []slog.Attr {
	dst = append(dst, slog.Int(KeyStatus, s.Status), slog.String(KeyReason, s.Reason))
	dst = text(dst, KeyCause, s.Cause)
	if s.RetryAfter > 0 {
		dst = append(dst, millis(KeyRetryAfter, s.RetryAfter))
	}
	return inputs(s.About.attrs(dst), s.Inputs)
}

// Placed tells where a request goes.
type Placed struct {
	About
	Upstream string
	Inputs   dispatch.Inputs
}

func (s Placed) message() string { return MsgPlaced }

func (s Placed) attrs(dst []slog.Attr) []slog.Attr {
	return inputs(s.About.attrs(append(dst, slog.String(KeyUpstream, s.Upstream))), s.Inputs)
}

// Tried tells what became of a request at one upstream.
type Tried struct {
	Upstream string
	Outcome  string
	// Status is that of the upstream's answer; zero when there was none.
	Status int
	Cause  string
	Took   time.Duration
	// LastEvent names the last event of a stream that was passed on.
	LastEvent string
}

func (s Tried) message() string { return MsgTried }

func (s Tried) attrs(dst []slog.Attr) []slog.Attr {
	dst = append(dst, slog.String(KeyUpstream, s.Upstream), slog.String(KeyOutcome, s.Outcome), millis(KeyTook, s.Took))
	if s.Status > 0 {
		dst = append(dst, slog.Int(KeyStatus, s.Status))
	}
	dst = text(dst, KeyCause, s.Cause)
	return text(dst, KeyEvent, s.LastEvent)
}

// Word tells what an upstream has said of itself in its answer.
type Word struct {
	dispatch.Notice
}

func (s Word) message() string { return MsgWord }

func (s Word) attrs(dst []slog.Attr) []slog.Attr {
	return append(dst, slog.String(KeyUpstream, s.Upstream), slog.Bool(KeyLeaving, s.Leaving), millis(KeyRest, s.Backoff))
}

// NotRetried tells why a request that failed at one upstream goes to no other.
type NotRetried struct {
	Reason string
}

func (s NotRetried) message() string { return MsgNotRetried }

func (s NotRetried) attrs(dst []slog.Attr) []slog.Attr {
	return append(dst, slog.String(KeyReason, s.Reason))
}

// Ended tells how a request that was sent to upstreams ended for its caller.
type Ended struct {
	// Status is what the caller got; zero when it got none.
	Status  int
	Outcome string
	// First is the time to the first byte of the answer; zero when there was none.
	First time.Duration
	Took  time.Duration
	Tries int
}

func (s Ended) message() string { return MsgEnded }

func (s Ended) attrs(dst []slog.Attr) []slog.Attr {
	dst = append(dst, slog.String(KeyOutcome, s.Outcome), slog.Int(KeyTries, s.Tries), millis(KeyTook, s.Took))
	if s.First > 0 {
		dst = append(dst, millis(KeyFirst, s.First))
	}
	if s.Status > 0 {
		dst = append(dst, slog.Int(KeyStatus, s.Status))
	}
	return dst
}

func text(dst []slog.Attr, key, value string) []slog.Attr {
	if value == "" {
		return dst
	}
	return append(dst, slog.String(key, value))
}

func millis(key string, d time.Duration) slog.Attr {
	return slog.Int64(key, d.Milliseconds())
}
