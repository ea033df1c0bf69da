// Package problem writes errors to callers and operators as problem+json
// (RFC 9457), with a stable code and the knowledge whether an upstream ran the
// request. New and NewNotRun make a Problem, its Write method sends it.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a Problem.
const ContentType = "application/problem+json"

// Code is the stable name of an error.
type Code string

// The codes that callers and operators may receive. docs/API.md says how to react to
// each.
const (
	Unauthorized     Code = "unauthorized"
	Forbidden        Code = "forbidden"
	UnknownService   Code = "unknown_service"
	NotFound         Code = "not_found"
	MethodNotAllowed Code = "method_not_allowed"
	BodyTooLarge     Code = "body_too_large"
	HeadTooLarge     Code = "head_too_large"
	BodyTruncated    Code = "body_truncated"
	HeadTruncated    Code = "head_truncated"
	MalformedBody    Code = "malformed_body"
	PromptCrashes    Code = "prompt_crashes_upstreams"
	RequestCrashes   Code = "request_crashes_upstreams"
	TooManyWaiting   Code = "too_many_waiting"
	DeadlinePassed   Code = "deadline_passed"
	NoUpstream       Code = "no_upstream"
	NoQuorum         Code = "no_quorum"
	NotReady         Code = "not_ready"
	NotResumable     Code = "stream_not_resumable"
	Draining         Code = "draining"
	UpstreamFailed   Code = "upstream_failed"
	AnswerLost       Code = "answer_lost"
	KeyReused        Code = "idempotency_key_reused"
	OutcomeUnknown   Code = "outcome_unknown"
	AnswerNotKept    Code = "answer_not_kept"
	StillRunning     Code = "still_running"
	VersionConflict  Code = "version_conflict"
	RequestIDReused  Code = "request_id_reused"
	InvalidResource  Code = "invalid_resource"
	RevisionGone     Code = "revision_gone"
	MemberRefused    Code = "member_refused"
	InternalError    Code = "internal_error"
)

// Run says whether an upstream ran the request, and so whether a retry is safe.
type Run string

// The values of Run.
const (
	// NotRun requests were certainly not run and can be retried.
	NotRun Run = "not_run"
	// RunUnknown requests may have been run.
	RunUnknown Run = "unknown"
	// Done requests were run.
	Done Run = "done"
)

// Problem is the body of an error response. It implements error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
	Run    Run    `json:"run,omitempty"`
	// RequestID identifies the request for GET /v1/requests/{id}.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is the time after which to retry. It is sent in the Retry-After
	// header, rounded up to whole seconds; zero sends none.
	RetryAfter time.Duration `json:"-"`
	// Present is the current resource in a version conflict.
	Present any `json:"present,omitempty"`
}

// Error returns the code and the detail, separated by a colon.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

// New returns a problem with the HTTP status and its text as title. It leaves open
// whether the request was run.
func New(status int, code Code, detail string) *Problem {
	return &Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Code:   code,
		Detail: detail,
	}
}

// NewNotRun returns a problem for a request that was certainly not run.
func NewNotRun(status int, code Code, detail string) *Problem {
	p := New(status, code, detail)
	p.Run = NotRun
	return p
}

// Write sends the problem as the response.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	// The caller may have disconnected; there is nobody left to report the error to.
	_ = json.NewEncoder(w).Encode(p)
}
