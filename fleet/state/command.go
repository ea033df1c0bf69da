package state

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"baobabpaddle/fleet/resource"
)

// Code tells how a command ended.
type Code string

// The codes of a Result.
const (
	CodeOK              Code = "ok"
	CodeInvalid         Code = "invalid"
	CodeVersionConflict Code = "version_conflict"
	CodeNotFound        Code = "not_found"
	CodeRequestIDReused Code = "request_id_reused"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeClaimSettled    Code = "claim_settled"
	CodeLeaseHeld       Code = "lease_held"
	CodeDiskReplaced    Code = "disk_replaced"
)

// Command is one entry of the replicated log. Exactly one of the pointers is set.
type Command struct {
	// Time is the leader's clock when it proposed the command.
	Time time.Time `json:"time"`
	// RequestID names a change of resources so that a repeat gets the first answer.
	RequestID string `json:"request_id,omitempty"`

	Put    *Put          `json:"put,omitempty"`
	Delete *Delete       `json:"delete,omitempty"`
	Claim  *ClaimRequest `json:"claim,omitempty"`
	Finish *Finish       `json:"finish,omitempty"`
	Start  *SidecarStart `json:"start,omitempty"`
	Lease  *LeaseRequest `json:"lease,omitempty"`
	Disk   *DiskBinding  `json:"disk,omitempty"`

	Replace *Configuration `json:"replace,omitempty"`
}

// Put creates a resource (Version zero) or replaces the one with that version.
type Put struct {
	Resource resource.Resource `json:"resource"`
}

// Delete removes the resource that has that version.
type Delete struct {
	ID      resource.ID `json:"id"`
	Version uint64      `json:"version"`
}

// SidecarStart tells that a sidecar runs under a new incarnation, so that no
// earlier one can answer any more.
type SidecarStart struct {
	Sidecar     string `json:"sidecar"`
	Incarnation string `json:"incarnation"`
}

// DiskBinding binds a replica's identifier to its disk for good.
type DiskBinding struct {
	ReplicaID uint64 `json:"replica_id"`
	DiskID    string `json:"disk_id"`
}

// Result is the answer to a Command.
type Result struct {
	Code     Code               `json:"code"`
	Detail   string             `json:"detail,omitempty"`
	Resource *resource.Resource `json:"resource,omitempty"`
	Claim    *Claim             `json:"claim,omitempty"`
	Lease    *Lease             `json:"lease,omitempty"`
	Revision uint64             `json:"revision,omitempty"`
}

var (
	encodeMode = mustEncodeMode()
	// ErrEncoding tells that bytes are no command, result or state.
	ErrEncoding = merry.Sentinel("invalid encoding")
)

func mustEncodeMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic encoding of a command, result or state.
func Encode(v any) ([]byte, error) {
	data, err := encodeMode.Marshal(v)
	return data, merry.Prepend(err, "encode")
}

// Decode reads what Encode wrote.
func Decode(data []byte, into any) error {
	if err := cbor.Unmarshal(data, into); err != nil {
		return merry.Prependf(ErrEncoding, "%v", err)
	}
	return nil
}
