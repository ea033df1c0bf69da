package evacuation

import (
	"time"

	"baobabpaddle/fleet/state"
)

const (
	// returnTime is the time after the end of an evacuation within which the end is told to
	// processes that did not know the evacuation. Later the platform's list shows which
	// engines are cold.
	returnTime = 5 * time.Second
	// clockMargin is subtracted from the time since an evacuation has ended, as the clocks of
	// two leaders may differ and may jump.
	clockMargin = 10 * time.Second
)

// Set is what the replicated state holds of evacuations at one revision.
type Set struct {
	// Revision grows with each change. Zero stands for a state without orders.
	Revision uint64
	// Active are the evacuated availability zones in ascending order.
	Active []string
	// Returned are zones whose evacuations ended within returnTime.
	Returned []Return
}

// Return is the end of an availability zone's evacuation.
type Return struct {
	Zone string
	// Revision is that of the change which ended the evacuation.
	Revision uint64
	At       time.Time
}

// FromState returns the evacuations in a replicated state.
func FromState(now time.Time, s *state.State) Set {
	out := Set{
		Revision: s.EvacuationRevision,
	}
	for _, e := range s.EvacuationList() {
		if e.Active {
			out.Active = append(out.Active, e.Zone)
			continue
		}
		if ago := max(now.Sub(e.Since)-clockMargin, 0); ago < returnTime {
			out.Returned = append(out.Returned, Return{
				Zone:     e.Zone,
				Revision: e.Revision,
				At:       now.Add(-ago),
			})
		}
	}
	return out
}

// Frame is a Set as controllers send it to gateways.
type Frame struct {
	Revision uint64        `cbor:"1,keyasint"`
	Active   []string      `cbor:"2,keyasint,omitempty"`
	Returned []FrameReturn `cbor:"3,keyasint,omitempty"`
}

// FrameReturn is a Return with the time since the end instead of a time of day, as clocks
// differ.
type FrameReturn struct {
	Zone     string        `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	Ago      time.Duration `cbor:"3,keyasint,omitempty"`
}

// Frame returns the set to be sent now, or nil for a state without orders.
func (s Set) Frame(now time.Time) *Frame {
	if s.Revision == 0 {
		return nil
	}
	out := &Frame{
		Revision: s.Revision,
		Active:   s.Active,
	}
	for _, r := range s.Returned {
		if ago := max(now.Sub(r.At), 0); ago < returnTime {
			out.Returned = append(out.Returned, FrameReturn{
				Zone:     r.Zone,
				Revision: r.Revision,
				Ago:      ago,
			})
		}
	}
	return out
}

// Set returns the set of a frame that arrives now.
func (f *Frame) Set(now time.Time) Set {
	out := Set{
		Revision: f.Revision,
		Active:   f.Active,
	}
	for _, r := range f.Returned {
		out.Returned = append(out.Returned, Return{
			Zone:     r.Zone,
			Revision: r.Revision,
			At:       now.Add(-max(r.Ago, 0)),
		})
	}
	return out
}
