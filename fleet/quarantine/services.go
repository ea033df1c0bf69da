package quarantine

import (
	"slices"
	"time"
)

// keepAtServices holds the evidence against a request, which an answer of one service has
// cleared, against the request at the other services whose engines crashed with it.
func (r *Register) keepAtServices(now time.Time, answered Subject, e *entry) {
	for _, service := range e.services {
		if service == answered.Service {
			continue
		}
		subject := atService(answered.ID, service)
		held := r.entries[subject.ID]
		if held == nil {
			if held = r.add(now, subject); held == nil {
				continue
			}
		}
		held.trialing = held.trialing || e.trialing && e.trialService == service
		r.strengthen(now, subject.ID, held, e)
	}
}

// answeredAtService reports whether a request had a complete answer within answerMemory at the
// service that it is to be placed at, and only engines of other services crashed with it. Its
// answer distinguishes the services.
func (r *Register) answeredAtService(now time.Time, subject Subject, e *entry) bool {
	if subject.Service == 0 || len(e.services) == 0 || slices.Contains(e.services, subject.Service) {
		return false
	}
	at, ok := r.answered[subject.Kind].last[subject.answeredID()]
	return ok && now.Sub(at) <= answerMemory
}

// strengthen adds the evidence of another entry to that of a subject. The stronger of the two
// counts.
func (r *Register) strengthen(now time.Time, id uint64, e, other *entry) {
	wasQuarantined, before := e.quarantined(), e.rounds
	rounds := max(e.rounds, other.rounds)
	if !wasQuarantined && rounds >= restrictRounds {
		if r.Quarantined() >= MaxQuarantined {
			rounds = restrictRounds - 1
		} else {
			r.quarantined[e.kind]++
		}
	}
	e.rounds = rounds
	e.crashes = max(e.crashes, other.crashes)
	e.lateTrials = max(e.lateTrials, other.lateTrials)
	e.midAnswer = e.midAnswer || other.midAnswer
	if other.graceUntil.After(e.graceUntil) {
		e.graceUntil = other.graceUntil
	}
	if other.lastRound.After(e.lastRound) {
		e.lastRound = other.lastRound
	}
	if other.trialAt.After(e.trialAt) {
		e.trialAt = other.trialAt
	}
	for _, crash := range other.recent {
		if crash != 0 && !slices.Contains(e.recent[:], crash) {
			e.recent[e.next] = crash
			e.next = (e.next + 1) % rememberedCrashes
		}
	}
	if e.quarantined() && e.rounds != before {
		r.change(r.record(now, id, e), Crashed)
	}
}
