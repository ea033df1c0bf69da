package state

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/resource"
)

// Code is the outcome of a command.
type Code string

// The codes of a Result. CodeOK means that the command was applied.
const (
	CodeOK Code = "ok"
	// CodeInvalid means that the command's content is not acceptable.
	CodeInvalid Code = "invalid"
	// CodeVersionConflict means that the resource has another version, or that
	// the configuration's version belongs to another document.
	CodeVersionConflict Code = "version_conflict"
	// CodeNotFound means that there is no such resource or claim.
	CodeNotFound Code = "not_found"
	// CodeRequestIDReused means that the request identifier belongs to a
	// different change.
	CodeRequestIDReused Code = "request_id_reused"
	// CodeKeyReused means that the idempotency key belongs to a different
	// request.
	CodeKeyReused Code = "idempotency_key_reused"
	// CodeClaimSettled means that the claim's state does not allow the command;
	// the Result carries the claim.
	CodeClaimSettled Code = "claim_settled"
	// CodeLeaseHeld means that another holder's lease has not expired; the
	// Result carries that lease.
	CodeLeaseHeld Code = "lease_held"
	// CodeDiskReplaced means that the replica's identifier is bound to another
	// disk.
	CodeDiskReplaced Code = "disk_replaced"
)

// Command is the content of one entry of the replicated log. Exactly one of its
// pointers is set.
type Command struct {
	// Time is the leader's clock when the command was proposed.
	Time time.Time `json:"time"`
	// RequestID identifies a Put or Delete, so that a retry gets the result of
	// the first attempt. Empty means no such protection.
	RequestID string `json:"request_id,omitempty"`

	Put    *Put          `json:"put,omitempty"`
	Delete *Delete       `json:"delete,omitempty"`
	Claim  *ClaimRequest `json:"claim,omitempty"`
	Finish *Finish       `json:"finish,omitempty"`
	Start  *SidecarStart `json:"start,omitempty"`
	Lease  *LeaseRequest `json:"lease,omitempty"`
	Disk   *DiskBinding  `json:"disk,omitempty"`

	Replace *Configuration `json:"replace,omitempty"`

	Quarantine *QuarantineChange `json:"quarantine,omitempty"`

	Evacuation *EvacuationOrder `json:"evacuation,omitempty"`

	Origins *origin.Change `json:"origins,omitempty"`
}

// Put creates a resource if its Version is zero, or else replaces the resource
// that has this version.
type Put struct {
	Resource resource.Resource `json:"resource"`
}

// Delete removes a resource if it has this version.
type Delete struct {
	ID      resource.ID `json:"id"`
	Version uint64      `json:"version"`
}

// SidecarStart records that a sidecar runs under a new incarnation, so that no
// earlier one can answer any more.
type SidecarStart struct {
	Sidecar     string `json:"sidecar"`
	Incarnation string `json:"incarnation"`
}

// DiskBinding binds a replica's identifier to its disk permanently. A replica
// whose disk was replaced needs a new identifier, since it may have lost votes
// and entries that it acknowledged.
type DiskBinding struct {
	ReplicaID uint64 `json:"replica_id"`
	DiskID    string `json:"disk_id"`
}

// Result is the outcome of a Command. It is the same on all replicas, Detail
// included.
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
	// ErrEncoding is returned by Decode for bytes that do not encode the
	// expected value.
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

// Encode returns the deterministic CBOR encoding of a command, result or state.
func Encode(v any) ([]byte, error) {
	data, err := encodeMode.Marshal(v)
	return data, merry.Prepend(err, "encode")
}

// Decode decodes what Encode returned. It returns ErrEncoding for other bytes.
func Decode(data []byte, into any) error {
	if err := cbor.Unmarshal(data, into); err != nil {
		return merry.Prependf(ErrEncoding, "%v", err)
	}
	return nil
}
