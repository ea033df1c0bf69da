package resource

import (
	"bytes"
	"encoding/json"
	"regexp"

	"github.com/ansel1/merry/v2"
)

// Kind names a type of resource.
type Kind string

// The kinds of resources.
const (
	KindTeam      Kind = "team"
	KindService   Kind = "service"
	KindUpstream  Kind = "upstream"
	KindPlacement Kind = "placement"
)

// Kinds lists every kind in the order in which resources are applied.
var Kinds = []Kind{KindTeam, KindService, KindUpstream, KindPlacement}

// MaxSpecBytes is the largest size of a resource's specification in bytes of JSON.
const MaxSpecBytes = 64 << 10

// ErrInvalid is wrapped by every error about the content of a resource.
var ErrInvalid = merry.Sentinel("invalid resource")

// ID identifies a resource.
type ID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Resource is one declared object.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the revision of the last change. It is never used twice, not even
	// after the resource was deleted and created again.
	Version uint64 `json:"version"`
	// Number is the revision of the creation. The fleet's processes identify the
	// resource by it among themselves, since it is shorter than the name.
	Number uint64 `json:"number,omitempty"`
	// Deleted is true for a tombstone, which records that the resource was deleted.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// ID returns the resource's kind and name.
func (r *Resource) ID() ID {
	return ID{
		Kind: r.Kind,
		Name: r.Name,
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Check returns an error that wraps ErrInvalid if the name or the specification is
// invalid.
func (r *Resource) Check() error {
	if !namePattern.MatchString(r.Name) {
		return merry.Prependf(ErrInvalid, "name %q: want lower-case letters, digits, '.' and '-', at most 63", r.Name)
	}
	if len(r.Spec) > MaxSpecBytes {
		return merry.Prependf(ErrInvalid, "%s %s: the specification is over %d bytes", r.Kind, r.Name, MaxSpecBytes)
	}
	_, err := r.Decode()
	return err
}

// spec is implemented by the specification of every kind.
type spec interface {
	check() error
}

// Decode returns the checked specification: a *Team, *Service, *Upstream or
// *Placement. Errors wrap ErrInvalid.
func (r *Resource) Decode() (any, error) {
	var s spec
	switch r.Kind {
	case KindTeam:
		s = &Team{}
	case KindService:
		s = &Service{}
	case KindUpstream:
		s = &Upstream{}
	case KindPlacement:
		s = &Placement{}
	default:
		return nil, merry.Prependf(ErrInvalid, "unknown kind %q", r.Kind)
	}
	decoder := json.NewDecoder(bytes.NewReader(r.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, merry.Prependf(ErrInvalid, "%s %s: %v", r.Kind, r.Name, err)
	}
	if decoder.More() {
		return nil, merry.Prependf(ErrInvalid, "%s %s: more than one value", r.Kind, r.Name)
	}
	if err := s.check(); err != nil {
		return nil, merry.Prependf(err, "%s %s", r.Kind, r.Name)
	}
	return s, nil
}
