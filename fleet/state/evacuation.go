package state

import (
	"cmp"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// Limits of evacuations.
const (
	// MaxZoneBytes is the largest length of an availability zone's name in bytes.
	MaxZoneBytes = 255
	// MaxEvacuations is the largest number of zones whose evacuations are recorded.
	MaxEvacuations = 1024
)

// Evacuation is the newest order of the operators about an availability zone.
type Evacuation struct {
	Zone string `json:"zone"`
	// Active reports whether the zone's upstreams get no requests. Otherwise the evacuation
	// has ended.
	Active bool `json:"active"`
	// Since is the leader's clock when the order that changed Active was proposed.
	Since time.Time `json:"since"`
	// Revision is the EvacuationRevision of that change.
	Revision uint64 `json:"revision"`
}

// EvacuationOrder begins the evacuation of an availability zone or, if End is true, ends it.
type EvacuationOrder struct {
	Zone string `json:"zone"`
	End  bool   `json:"end,omitempty"`
	// After is the Revision of the zone's last change that the order follows, zero if there is
	// none. An order that was delayed while another one was applied changes nothing.
	After uint64 `json:"after,omitempty"`
}

// ErrZoneName is returned by CheckZone.
var ErrZoneName = merry.Sentinel("the name of the availability zone is malformed")

// CheckZone returns ErrZoneName unless zone can be the name of an availability zone: 1 to
// MaxZoneBytes bytes of UTF-8 without spaces, control characters and slashes.
func CheckZone(zone string) error {
	if zone == "" || len(zone) > MaxZoneBytes || !utf8.ValidString(zone) {
		return merry.Appendf(ErrZoneName, "want 1 to %d bytes of UTF-8", MaxZoneBytes)
	}
	if strings.ContainsFunc(zone, func(r rune) bool { return r == '/' || unicode.IsSpace(r) || !unicode.IsGraphic(r) }) {
		return merry.Append(ErrZoneName, "it has a space, a control character or a slash")
	}
	return nil
}

// evacuate applies an order. The order that was applied last holds; one that changes nothing
// succeeds too, since operators repeat orders whose confirmations were lost. It returns
// CodeVersionConflict for an order that another one has overtaken.
func (s *State) evacuate(now time.Time, o EvacuationOrder) Result {
	if err := CheckZone(o.Zone); err != nil {
		return invalidResult(err)
	}
	present, known := s.Evacuations[o.Zone]
	if present.Active == !o.End {
		return Result{
			Code: CodeOK,
		}
	}
	if o.After != present.Revision {
		return Result{
			Code:   CodeVersionConflict,
			Detail: "another order about the zone was applied first",
		}
	}
	if !known && len(s.Evacuations) >= MaxEvacuations && !s.forgetEvacuation() {
		return Result{
			Code:   CodeInvalid,
			Detail: "too many zones are evacuated",
		}
	}
	s.EvacuationRevision++
	s.Evacuations[o.Zone] = Evacuation{
		Zone:     o.Zone,
		Active:   !o.End,
		Since:    now,
		Revision: s.EvacuationRevision,
	}
	return Result{
		Code: CodeOK,
	}
}

// forgetEvacuation removes the evacuation that ended first. It returns false if all recorded
// ones are active.
func (s *State) forgetEvacuation() bool {
	var first *Evacuation
	for _, e := range s.EvacuationList() {
		if !e.Active && (first == nil || e.Since.Before(first.Since)) {
			first = &e
		}
	}
	if first == nil {
		return false
	}
	delete(s.Evacuations, first.Zone)
	return true
}

// EvacuationList returns the recorded evacuations, active and ended, ordered by zone.
func (s *State) EvacuationList() []Evacuation {
	out := make([]Evacuation, 0, len(s.Evacuations))
	for _, e := range s.Evacuations {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
