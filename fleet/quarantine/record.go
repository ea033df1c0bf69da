package quarantine

import "time"

// Record is what is known of a quarantined subject, as processes report it to each other.
type Record struct {
	Subject
	// Rounds is the number of crashes in sequence, Crashes the number of engines that
	// crashed with an unanswered request that held the subject.
	Rounds  int `cbor:"2,keyasint,omitempty"`
	Crashes int `cbor:"3,keyasint,omitempty"`
	// LateTrials is the number of trials since Crashes reached lateCrashes.
	LateTrials int `cbor:"4,keyasint,omitempty"`
	// MidAnswer reports whether engines crashed in the middle of answers to requests that held
	// the subject.
	MidAnswer bool `cbor:"10,keyasint,omitempty"`
	// Services are those at which engines crashed with a request, at most maxServices.
	Services []uint64 `cbor:"11,keyasint,omitempty"`
	// SinceCrash is the time since the last crash, and TrialIn the time until the next
	// trial may start, with one in flight after Crashes reached lateCrashes taken as failed. Both
	// count from when the record is sent.
	SinceCrash time.Duration `cbor:"5,keyasint,omitempty"`
	TrialIn    time.Duration `cbor:"6,keyasint,omitempty"`
	// Companions are other quarantined subjects that were at all of the crashes, in the same
	// request or in others, at most maxCompanions.
	Companions []uint64 `cbor:"8,keyasint,omitempty"`
	// Released reports that the subject is no longer quarantined. The fields above are
	// zero then, except for Subject.
	Released bool `cbor:"7,keyasint,omitempty"`
}

// Confirmed reports whether a trial of the subject has failed.
func (r Record) Confirmed() bool { return r.Rounds >= confirmedRounds }

// Cause is why the record of a subject changed.
type Cause string

// The causes of changes.
const (
	// Crashed: an engine crashed with a request that holds the subject.
	Crashed Cause = "crash"
	// Tried: a trial of the subject was sent to an engine.
	Tried Cause = "trial"
	// Answered: an engine answered a request that holds the subject.
	Answered Cause = "answered"
	// ByOperator: an operator released the subject.
	ByOperator Cause = "operator"
	// Unused: no request held the subject for idleTimeout.
	Unused Cause = "unused"
	// Reported: another process reported the record.
	Reported Cause = "reported"
)

// Change is a change of a quarantined subject's record.
type Change struct {
	Record
	Cause Cause
}
