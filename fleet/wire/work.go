package wire

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/share"
)

// Paths of unary calls to a sidecar.
const (
	// PathRun accepts a RunRequest and its body. The response is a stream of frames of
	// package answer.
	PathRun = "/v1/run"
	// PathFence accepts a Fence and returns a Fenced.
	PathFence = "/v1/fence"
)

// Codes with which a sidecar refuses a run. After each of them the request has
// certainly not been run.
const (
	// CodeBusy means that a request without a grant cannot start immediately, since no
	// slot is free or a team waits.
	CodeBusy problem.Code = "busy"
	// CodeGrantGone means that the granted slot is not reserved any more, or that
	// StartBy has passed.
	CodeGrantGone problem.Code = "grant_gone"
	// CodeStaleRevision means that the service or one of its upstreams has changed since
	// the gateway's Revision, or that the upstream is not in the configuration.
	CodeStaleRevision problem.Code = "stale_revision"
	// CodeOtherIncarnation means that the claim is missing or for another run of the
	// sidecar's process.
	CodeOtherIncarnation problem.Code = "other_incarnation"
	// CodeFenced means that a Fence forbids the attempt.
	CodeFenced problem.Code = "fenced"
)

// MaxRunHeaderBytes is the maximum size of an encoded RunRequest, without the body.
const MaxRunHeaderBytes = 256 << 10

// runLengthBytes is the size of the length in front of an encoded RunRequest.
const runLengthBytes = 4

// ErrBadRun is returned for a RunRequest that is malformed or too large.
var ErrBadRun = merry.Sentinel("invalid run request")

// RunRequest asks a sidecar to run one attempt of a caller's request. On the
// connection the request's body follows the encoded RunRequest.
type RunRequest struct {
	Request uint64          `cbor:"1,keyasint"`
	Attempt uint32          `cbor:"2,keyasint"`
	Service share.ServiceID `cbor:"3,keyasint"`
	Team    share.TeamID    `cbor:"4,keyasint"`
	// TeamName and ServiceName are used in metrics and logs only.
	TeamName    string  `cbor:"18,keyasint"`
	ServiceName string  `cbor:"6,keyasint"`
	Weight      float64 `cbor:"5,keyasint"`
	// Grant is the number of the granted slot to use. Zero asks the sidecar to
	// start the request immediately or to refuse it.
	Grant uint64 `cbor:"7,keyasint,omitempty"`
	// Revision is the revision of the replicated resources that the gateway has applied.
	Revision uint64 `cbor:"8,keyasint"`
	// StartBy is the time after which the attempt must not be started.
	StartBy time.Time `cbor:"9,keyasint"`
	// Idempotent is true if the request may be run more than once. All other requests
	// carry a claim, which allows one run.
	Idempotent bool `cbor:"10,keyasint,omitempty"`
	// ClaimKey and ClaimAttempt identify the attempt of the claim.
	ClaimKey     string `cbor:"11,keyasint,omitempty"`
	ClaimAttempt uint64 `cbor:"12,keyasint,omitempty"`
	// Incarnation is that of the sidecar which the gateway chose; the claim is valid at
	// no other.
	Incarnation string              `cbor:"13,keyasint,omitempty"`
	Method      string              `cbor:"14,keyasint"`
	Path        string              `cbor:"15,keyasint"`
	Header      map[string][]string `cbor:"16,keyasint,omitempty"`
	// TeamVersion is the version of the team's resource that Weight is from.
	TeamVersion uint64 `cbor:"17,keyasint,omitempty"`
}

// EncodeRun returns the encoding of a run request, preceded by its length. The error
// wraps ErrBadRun if it exceeds MaxRunHeaderBytes.
func EncodeRun(r *RunRequest) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, merry.Prepend(err, "encode the run request")
	}
	if len(data) > MaxRunHeaderBytes {
		return nil, merry.Prepend(ErrBadRun, "the encoded headers exceed MaxRunHeaderBytes")
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, runLengthBytes+len(data)), uint32(len(data)))
	return append(out, data...), nil
}

// ReadRun reads a run request and leaves the body in the reader. The error wraps
// ErrBadRun.
func ReadRun(reader io.Reader) (*RunRequest, error) {
	var length [runLengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return nil, merry.Prependf(ErrBadRun, "%v", err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxRunHeaderBytes {
		return nil, merry.Prepend(ErrBadRun, "too large")
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(reader, data); err != nil {
		return nil, merry.Prependf(ErrBadRun, "%v", err)
	}
	var r RunRequest
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, merry.Prependf(ErrBadRun, "%v", err)
	}
	return &r, nil
}

// Fence asks a sidecar never to run an attempt. The attempt is identified by Request
// and Attempt, or by ClaimKey and ClaimAttempt if the sender has only the claim.
type Fence struct {
	Request      uint64    `json:"request,omitempty"`
	Attempt      uint32    `json:"attempt,omitempty"`
	StartBy      time.Time `json:"start_by"`
	ClaimKey     string    `json:"claim_key,omitempty"`
	ClaimAttempt uint64    `json:"claim_try,omitempty"`
}

// Fenced is the reply to a Fence.
type Fenced struct {
	// NotRun is true if the attempt has not been run and never will be; false if it
	// was started.
	NotRun      bool   `json:"not_run"`
	Incarnation string `json:"incarnation"`
}
