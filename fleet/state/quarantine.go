package state

import (
	"cmp"
	"slices"
	"time"

	"baobabpaddle/fleet/quarantine"
)

// QuarantinedSubject is a prompt segment whose requests are refused, or a request that is,
// since upstreams crashed with them.
type QuarantinedSubject struct {
	// ID is the segment's identifier or the request's digest.
	ID         uint64          `json:"segment"`
	Kind       quarantine.Kind `json:"kind,omitempty"`
	Rounds     int             `json:"rounds"`
	Crashes    int             `json:"crashes"`
	LateTrials int             `json:"late_trials"`
	// MidAnswer reports whether upstreams crashed in the middle of answers.
	MidAnswer bool `json:"mid_answer,omitempty"`
	// Of is the digest of the request if the subject is a request at one service only.
	Of uint64 `json:"of,omitempty"`
	// Services identify the services at which upstreams crashed with a request.
	Services []uint64 `json:"services,omitempty"`
	// Companions are other quarantined subjects that were at all of the crashes.
	Companions []uint64 `json:"companions,omitempty"`
	// Since is the leader's clock when the subject was first recorded.
	Since time.Time `json:"since"`
}

// QuarantineChange records quarantined subjects and releases others.
type QuarantineChange struct {
	Put     []QuarantinedSubject `json:"put,omitempty"`
	Release []uint64             `json:"release,omitempty"`
}

// changeQuarantine applies a change. It returns CodeNotFound if the change only releases
// subjects of which none is recorded.
func (s *State) changeQuarantine(now time.Time, c QuarantineChange) Result {
	changed := len(c.Put) > 0
	for _, id := range c.Release {
		if _, ok := s.Quarantine[id]; ok {
			delete(s.Quarantine, id)
			changed = true
		}
	}
	for _, q := range c.Put {
		present, exists := s.Quarantine[q.ID]
		q.Since = now
		if exists {
			q.Since = present.Since
		} else if len(s.Quarantine) >= quarantine.MaxQuarantined {
			delete(s.Quarantine, s.QuarantineList()[0].ID)
		}
		s.Quarantine[q.ID] = q
	}
	if !changed {
		return Result{
			Code:   CodeNotFound,
			Detail: "neither a segment nor a request with this identifier is quarantined",
		}
	}
	s.QuarantineRevision++
	return Result{
		Code: CodeOK,
	}
}

// QuarantineList returns the quarantined subjects, the earliest recorded first.
func (s *State) QuarantineList() []QuarantinedSubject {
	out := make([]QuarantinedSubject, 0, len(s.Quarantine))
	for _, q := range s.Quarantine {
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b QuarantinedSubject) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID))
	})
	return out
}
