package quarantine

import (
	"slices"
	"time"
)

// entry is the evidence against one subject.
type entry struct {
	kind Kind
	// of is Subject.Of.
	of         uint64
	rounds     int
	crashes    int
	lateTrials int
	// midAnswer reports whether a crash in the middle of an answer counts against the subject.
	// Only a complete answer clears it then.
	midAnswer bool
	// services are those at which engines crashed with a request, at most maxServices.
	services []uint64
	// lastRound is the time of the last round's crash, and graceUntil the time before which
	// the subject is not quarantined.
	lastRound  time.Time
	graceUntil time.Time
	// recent are the identifiers of the last crashes, and next the index of the oldest.
	recent [rememberedCrashes]uint64
	next   int
	// companions are the subjects that were at all crashes which another process counted,
	// or nil if there are none.
	companions []uint64
	// trialAt is the time before which no trial starts; trialing reports whether one is
	// in flight.
	trialAt  time.Time
	trialing bool
	// trialService is the service of the last trial of a request, or zero.
	trialService uint64
	// abortedUntil is the time before which no trial starts that distinguishes the subject
	// from others, since the end of the last one is not known.
	abortedUntil time.Time
	// lastRequest is the time of the last request that held the subject.
	lastRequest time.Time
}

// addService adds the service of a crash.
func (e *entry) addService(service uint64) {
	if service == 0 || slices.Contains(e.services, service) {
		return
	}
	if len(e.services) == maxServices {
		e.services = e.services[1:]
	}
	e.services = append(slices.Clip(e.services), service)
}

func (e *entry) quarantined() bool { return e.rounds >= restrictRounds }

// record returns a subject's entry as it is reported. Other processes may not learn of the end of
// a trial in flight.
func (r *Register) record(now time.Time, id uint64, e *entry) Record {
	trialIn := max(e.trialAt.Sub(now), 0)
	if e.trialing && e.lateTrials > 0 {
		trialIn = max(trialIn, NextTrialWait(e.rounds, e.lateTrials))
	}
	return Record{
		Subject: Subject{
			ID:   id,
			Kind: e.kind,
			Of:   e.of,
		},
		Rounds:     e.rounds,
		Crashes:    e.crashes,
		LateTrials: e.lateTrials,
		MidAnswer:  e.midAnswer,
		SinceCrash: max(now.Sub(e.lastRound), 0),
		TrialIn:    trialIn,
		Companions: r.companionsOf(id, e),
		Services:   e.services,
	}
}

// exhausted reports whether no trial is left.
func (e *entry) exhausted() bool {
	return e.crashes >= e.kind.lateCrashes() && e.lateTrials >= maxLateTrials
}
