package quarantine

import "time"

// Verdict is the decision on a request.
type Verdict uint8

// The values of Verdict.
const (
	// Allow: no subject of the request is quarantined.
	Allow Verdict = iota
	// Trial: the request may be sent to an engine as a trial of its subjects.
	Trial
	// Defer: the request must not be sent to an engine now, and may be a little later.
	Defer
	// Refuse: the request must not be sent to an engine, and a retry won't help.
	Refuse
)

// Check decides on a request with the given subjects. The record is that of the quarantined
// subject which the verdict follows from; it is empty if the verdict is Allow.
func (r *Register) Check(now time.Time, subjects []Subject) (Verdict, Record) {
	verdict, decisive := Allow, Record{}
	for _, subject := range subjects {
		e := r.entries[subject.ID]
		if e == nil || !e.quarantined() {
			continue
		}
		e.lastRequest = now
		if v := r.check(now, subject, e, subjects); v > verdict || v == verdict && e.rounds > decisive.Rounds {
			verdict, decisive = v, r.record(now, subject.ID, e)
		}
	}
	return verdict, decisive
}

// check returns the verdict on a request because of one of its subjects.
func (r *Register) check(now time.Time, subject Subject, e *entry, subjects []Subject) Verdict {
	if r.separates(subject.ID, e, subjects) || r.answeredAtService(now, subject, e) {
		if e.trialing || now.Before(e.abortedUntil) {
			return Defer
		}
		return Trial
	}
	switch {
	case !e.trialing && !now.Before(e.trialAt) && !e.exhausted():
		return Trial
	case e.rounds >= finalRounds || e.exhausted() && !e.trialing:
		return Refuse
	}
	return Defer
}

// Wait returns the time after which a trial of a quarantined subject may start. It is zero if one
// is in flight.
func (r *Register) Wait(now time.Time, id uint64) time.Duration {
	e := r.entries[id]
	switch {
	case e == nil || e.trialing:
		return 0
	case now.Before(e.abortedUntil):
		return e.abortedUntil.Sub(now)
	}
	return max(e.trialAt.Sub(now), 0)
}

// StartTrial records that a request is sent to an engine as a trial of its quarantined
// subjects. FailTrial, EndTrial or AbortTrial must follow.
func (r *Register) StartTrial(now time.Time, subjects []Subject) {
	for _, subject := range subjects {
		e := r.entries[subject.ID]
		if e == nil || !e.quarantined() {
			continue
		}
		e.trialing, e.trialService = true, subject.Service
		if e.crashes >= e.kind.lateCrashes() && e.rounds >= confirmedRounds && !r.separates(subject.ID, e, subjects) && !r.answeredAtService(now, subject, e) {
			e.lateTrials++
			r.change(r.record(now, subject.ID, e), Tried)
		}
	}
}

// FailTrial records that the engine of a trial crashed, and no cause but the trial is known.
func (r *Register) FailTrial(now time.Time, subjects []Subject) {
	for _, subject := range subjects {
		if e := r.entries[subject.ID]; e != nil && e.trialing {
			e.trialing = false
			r.addRound(now, subject.ID, e)
		}
	}
}

// EndTrial records that a trial has ended and showed nothing, or an answer, which
// RecordAnswer records.
func (r *Register) EndTrial(subjects []Subject) {
	for _, subject := range subjects {
		if e := r.entries[subject.ID]; e != nil {
			e.trialing = false
		}
	}
}

// AbortTrial records that the end of a trial will not be known. The next one waits as
// after a crash, and as after a failed trial if the aborted one was late.
func (r *Register) AbortTrial(now time.Time, subjects []Subject) {
	for _, subject := range subjects {
		e := r.entries[subject.ID]
		if e == nil || !e.trialing {
			continue
		}
		e.trialing = false
		e.abortedUntil = now.Add(abortedTrialWait)
		e.trialAt = now.Add(max(NextTrialWait(e.rounds, e.lateTrials), abortedTrialWait))
	}
}
