// Package problem writes errors to callers and operators as problem+json
// (RFC 9457), with a stable code and whether the request was run.
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

// The codes callers and operators may see. docs/API.md tells what to do about
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
	MalformedBody    Code = "malformed_body"
	TooManyWaiting   Code = "too_many_waiting"
	DeadlinePassed   Code = "deadline_passed"
	NoUpstream       Code = "no_upstream"
	NoQuorum         Code = "no_quorum"
	NotReady         Code = "not_ready"
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
)

// Run tells whether a request was run by an upstream.
type Run string

// What may be known about a run.
const (
	NotRun     Run = "not_run"
	RunUnknown Run = "unknown"
	Done       Run = "done"
)

// Problem is the body of an error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
	Run    Run    `json:"run,omitempty"`
	// RequestID names the request for GET /v1/requests/{id}.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is when to come back; it is sent as a header in whole seconds.
	RetryAfter time.Duration `json:"-"`
	// Present is the present resource of a version conflict.
	Present any `json:"present,omitempty"`
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

// New returns a problem with a status, a code and a detail.
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

// Write sends the problem as the answer.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(p)
}
