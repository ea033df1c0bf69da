package trace

import (
	"log/slog"
	"strconv"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// Messages of the lines about requests.
const (
	MsgRefused        = "request refused"
	MsgPlaced         = "request placed"
	MsgSilent         = "upstream silent"
	MsgTried          = "upstream tried"
	MsgNotRetried     = "request not retried"
	MsgUpstreamNotice = "upstream wants no requests"
	MsgEnded          = "request ended"
	MsgLeftOut        = "requests left out of the log"
)

// Keys of the lines' fields. Keys that end in _ms are durations in milliseconds.
const (
	KeyRequest         = "request"
	KeyRoute           = "route"
	KeyService         = "service"
	KeyTeam            = "team"
	KeyConfiguration   = "configuration"
	KeyProofLeft       = "proof_left_ms"
	KeyCallerWait      = "caller_waits_ms"
	KeyPromptTokens    = "prompt_tokens"
	KeyMaxOutput       = "max_output"
	KeyUpstream        = "upstream"
	KeyDecidedBy       = "decided_by"
	KeyQueueDelay      = "read_ahead_ms"
	KeyPrefillTime     = "read_own_ms"
	KeyObjective       = "objective_ms"
	KeyRunning         = "running"
	KeyUsableUpstreams = "usable_upstreams"
	KeyTeamAdmitted    = "team_received"
	KeyTeamShare       = "team_share"
	KeyTeamLead        = "team_lead_ms"
	KeyStatus          = "status"
	KeyReason          = "reason"
	KeyRetryAfter      = "retry_after_ms"
	KeyOutcome         = "outcome"
	KeyCause           = "cause"
	KeyRequestCause    = "request_cause"
	KeyTook            = "took_ms"
	KeyFirstByte       = "first_ms"
	KeyLastEvent       = "last_event"
	KeyResumes         = "resumes"
	KeyResumesAfter    = "resumes_after"
	KeyUpstreamVersion = "upstream_version"
	KeyTries           = "tries"
	KeyCount           = "requests"
	KeyLeaving         = "leaving"
	KeyBackoff         = "rest_ms"
	KeySegments        = "shared_segments"
	KeyDigest          = "request_digest"
	KeyRateLimit       = "rate_limit_per_s"
)

// Step is a decision about a request or its result, which is written as one line.
type Step interface {
	message() string
	// attrs appends the fields of the line: what decides, the request's identifier and the
	// rest, since collectors cut off long lines.
	attrs(dst []slog.Attr, request string) []slog.Attr
}

// RequestInfo describes a request and the state of its gateway on arrival. Fields that
// are not determined yet are empty.
type RequestInfo struct {
	Route   string
	Service string
	Team    string
	// Version is the version of the configuration in force.
	Version uint64
	// ProofLeft is for how long that configuration is still proven to be the newest;
	// negative if the proof has expired.
	ProofLeft time.Duration
	// CallerWait is how long the caller waits for its answer.
	CallerWait time.Duration
	Prompt     dispatch.Prompt
	// Resumes and ResumesAfter are the attempt that began the stream that the request resumes
	// and the last event that the caller has of it.
	Resumes      string
	ResumesAfter string
}

// attrs appends the configuration in force, the request's identifier and the other fields.
func (info RequestInfo) attrs(dst []slog.Attr, request string) []slog.Attr {
	dst = append(dst, slog.Uint64(KeyConfiguration, info.Version), millis(KeyProofLeft, info.ProofLeft),
		slog.String(KeyRequest, request))
	dst = appendText(dst, KeyRoute, info.Route)
	dst = appendText(dst, KeyService, info.Service)
	dst = appendText(dst, KeyTeam, info.Team)
	if info.CallerWait > 0 {
		dst = append(dst, millis(KeyCallerWait, info.CallerWait))
	}
	if info.Prompt.Tokens > 0 {
		dst = append(dst, slog.Int(KeyPromptTokens, info.Prompt.Tokens), slog.Int(KeyMaxOutput, info.Prompt.MaxOutput))
	}
	dst = appendText(dst, KeyResumes, bounded(info.Resumes))
	return appendText(dst, KeyResumesAfter, bounded(info.ResumesAfter))
}

// maxLoggedText is the maximum number of bytes of a caller's text in one field.
const maxLoggedText = 64

// bounded returns the beginning of a text that a caller chose.
func bounded(text string) string { return text[:min(len(text), maxLoggedText)] }

// appendInputs appends the inputs of the placement decision.
func appendInputs(dst []slog.Attr, in dispatch.Inputs) []slog.Attr {
	dst = appendText(dst, KeyDecidedBy, in.DecidedBy)
	if in.DecidedBy == "" {
		return dst
	}
	dst = append(dst, slog.Int(KeyUsableUpstreams, in.Usable), slog.Int(KeyRunning, in.Running),
		millis(KeyQueueDelay, in.QueueDelay), millis(KeyPrefillTime, in.PrefillTime), millis(KeyObjective, in.Objective))
	if in.Share > 0 {
		dst = append(dst, slog.Int64(KeyTeamAdmitted, in.Admitted), slog.Int64(KeyTeamShare, in.Share),
			millis(KeyTeamLead, in.Lead))
	}
	if in.RateLimit > 0 {
		dst = append(dst, slog.Float64(KeyRateLimit, in.RateLimit))
	}
	return dst
}

// Refused records that a request was refused without being sent to an upstream.
type Refused struct {
	RequestInfo
	Status     int
	Reason     string
	Cause      string
	RetryAfter time.Duration
	Inputs     dispatch.Inputs
}

func (s Refused) message() string { return MsgRefused }

func (s Refused) attrs(dst []slog.Attr, request string) []slog.Attr {
	dst = append(dst, slog.Int(KeyStatus, s.Status), slog.String(KeyReason, s.Reason))
	dst = s.RequestInfo.attrs(appendText(dst, KeyCause, s.Cause), request)
	if s.RetryAfter > 0 {
		dst = append(dst, millis(KeyRetryAfter, s.RetryAfter))
	}
	dst = appendInputs(dst, s.Inputs)
	if s.Inputs.Quarantine == nil {
		return dst
	}
	return appendText(appendQuarantine(dst, *s.Inputs.Quarantine), KeySegments, SegmentIDs(s.Prompt.Shared()))
}

// Placed records the upstream chosen for a request.
type Placed struct {
	RequestInfo
	Upstream string
	Inputs   dispatch.Inputs
}

func (s Placed) message() string { return MsgPlaced }

func (s Placed) attrs(dst []slog.Attr, request string) []slog.Attr {
	return appendInputs(s.RequestInfo.attrs(append(dst, slog.String(KeyUpstream, s.Upstream)), request), s.Inputs)
}

// Silent records that an upstream has sent nothing for so long that another one gets the request, too.
type Silent struct {
	Upstream string
	// Took is the time since the request was sent to the upstream.
	Took time.Duration
	// LastEvent is the identifier of the last event of a stream that was forwarded to
	// the caller.
	LastEvent string
}

func (s Silent) message() string { return MsgSilent }

func (s Silent) attrs(dst []slog.Attr, request string) []slog.Attr {
	dst = append(dst, millis(KeyTook, s.Took), slog.String(KeyUpstream, s.Upstream), slog.String(KeyRequest, request))
	return appendText(dst, KeyLastEvent, s.LastEvent)
}

// Tried records the result of sending a request to an upstream.
type Tried struct {
	Upstream string
	// Version is the version of the upstream's software.
	Version string
	Outcome string
	// Status is the status of the upstream's answer; zero if there was none.
	Status int
	Cause  string
	// RequestErr is why the request was not written completely although it was answered.
	RequestErr error
	Took       time.Duration
	// LastEvent is the identifier of the last event of a stream that was forwarded to
	// the caller.
	LastEvent string
	// SharedSegments are the prompt's segments that other requests may share; set if the
	// answer broke off.
	SharedSegments []dispatch.PromptSegment
	// Digest identifies requests with the same target, team and body; set if the answer broke
	// off, otherwise zero.
	Digest uint64
	// RateLimit is what the answer said about the rate of requests that the upstream accepts.
	RateLimit dispatch.RateLimit
}

func (s Tried) message() string { return MsgTried }

func (s Tried) attrs(dst []slog.Attr, request string) []slog.Attr {
	dst = append(dst, slog.String(KeyOutcome, s.Outcome))
	if s.Status > 0 {
		dst = append(dst, slog.Int(KeyStatus, s.Status))
	}
	dst = append(appendText(dst, KeyCause, s.Cause), millis(KeyTook, s.Took), slog.String(KeyUpstream, s.Upstream),
		slog.String(KeyRequest, request))
	dst = appendText(dst, KeyUpstreamVersion, s.Version)
	if s.RequestErr != nil {
		dst = append(dst, slog.String(KeyRequestCause, s.RequestErr.Error()))
	}
	dst = appendText(dst, KeyLastEvent, s.LastEvent)
	switch {
	case s.RateLimit.Stated:
		dst = append(dst, slog.Float64(KeyRateLimit, s.RateLimit.PerSecond))
	case s.RateLimit.Malformed:
		dst = append(dst, slog.String(KeyRateLimit, "malformed"))
	}
	if s.Digest != 0 {
		dst = append(dst, slog.String(KeyDigest, SubjectID(s.Digest)))
	}
	return appendText(dst, KeySegments, SegmentIDs(s.SharedSegments))
}

// maxLoggedSegments is the maximum number of segments in one line.
const maxLoggedSegments = 8

// SegmentIDs returns the identifiers of the first maxLoggedSegments segments in
// hexadecimal, separated by commas.
func SegmentIDs(segments []dispatch.PromptSegment) string {
	var text []byte
	for i, s := range segments[:min(len(segments), maxLoggedSegments)] {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, s.ID, 16)
	}
	return string(text)
}

// UpstreamNotice records that an upstream, in its answer, announced its shutdown or
// asked for backoff.
type UpstreamNotice struct {
	dispatch.Notice
}

func (s UpstreamNotice) message() string { return MsgUpstreamNotice }

func (s UpstreamNotice) attrs(dst []slog.Attr, request string) []slog.Attr {
	return append(dst, slog.Bool(KeyLeaving, s.Leaving), millis(KeyBackoff, s.Backoff), slog.String(KeyUpstream, s.Upstream),
		slog.String(KeyRequest, request))
}

// NotRetried records why a request that failed at an upstream is not sent to another.
type NotRetried struct {
	Reason string
}

func (s NotRetried) message() string { return MsgNotRetried }

func (s NotRetried) attrs(dst []slog.Attr, request string) []slog.Attr {
	return append(dst, slog.String(KeyReason, s.Reason), slog.String(KeyRequest, request))
}

// Ended records how a request that was sent to upstreams ended for its caller.
type Ended struct {
	// Status is the status that the caller received; zero if it received none.
	Status  int
	Outcome string
	// FirstByte is the time to the first byte of the answer; zero if there was none.
	FirstByte time.Duration
	// Took is the time from the request's arrival to its end.
	Took time.Duration
	// Tries is the number of upstreams to which the request was sent.
	Tries int
}

func (s Ended) message() string { return MsgEnded }

func (s Ended) attrs(dst []slog.Attr, request string) []slog.Attr {
	dst = append(dst, slog.String(KeyOutcome, s.Outcome))
	if s.Status > 0 {
		dst = append(dst, slog.Int(KeyStatus, s.Status))
	}
	dst = append(dst, slog.Int(KeyTries, s.Tries), millis(KeyTook, s.Took))
	if s.FirstByte > 0 {
		dst = append(dst, millis(KeyFirstByte, s.FirstByte))
	}
	return append(dst, slog.String(KeyRequest, request))
}

// appendText appends a field unless its value is empty.
func appendText(dst []slog.Attr, key, value string) []slog.Attr {
	if value == "" {
		return dst
	}
	return append(dst, slog.String(key, value))
}

// millis returns a field with a duration in milliseconds.
func millis(key string, d time.Duration) slog.Attr {
	return slog.Int64(key, d.Milliseconds())
}
