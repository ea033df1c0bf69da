package quarantine

import (
	"slices"
	"time"
)

// Constants of a Register.
const (
	// restrictRounds is the number of rounds from which a subject is quarantined. One
	// crash proves nothing, since all requests of the engine were there.
	restrictRounds = 2
	// confirmedRounds is the number of rounds from which a trial has failed.
	confirmedRounds = 3
	// finalRounds is the number of rounds from which refusals are final. The last two come TrialWait
	// after the ones before, which is longer than upstreams are likely to crash for other causes.
	finalRounds = 5
	// maxLateTrials is the number of trials after Kind.lateCrashes. After them only an
	// operator or disuse releases the subject.
	maxLateTrials = 2
	// answeredGrace is the time after the first round in which a subject is not quarantined
	// that had an answer within answerMemory before. If it is sound, another answer ends in
	// that time.
	answeredGrace = time.Second
	answerMemory  = 10 * time.Second
	// completeMemory is the time after which a segment without a complete answer is known to have
	// none. Most answers take less.
	completeMemory = 30 * time.Second
	// abortedTrialWait is the least wait after a trial whose end is unknown.
	abortedTrialWait = time.Second
	// suspectTimeout is the time after which a subject with fewer than restrictRounds
	// rounds is forgotten.
	suspectTimeout = 10 * time.Minute
	// idleTimeout is the time without a request for it after which a quarantined subject
	// is forgotten.
	idleTimeout = time.Hour
	// sweepInterval is the least time between two searches for subjects to forget.
	sweepInterval = 10 * time.Second
	// releaseMemory is the time for which a released subject is remembered, so that older
	// reports don't restore it.
	releaseMemory = 10 * time.Minute
	// maxEntries bounds the subjects of each kind with any evidence, MaxQuarantined those of
	// all kinds that are quarantined, maxReleased the released ones that are remembered, and
	// maxAnswered those of each kind whose last answer is.
	maxEntries     = 8192
	maxAnswered    = 8192
	MaxQuarantined = 1024
	maxReleased    = 1024
	// maxCompanions is the number of companions in a record.
	maxCompanions = 8
	// maxServices is the number of last services in an entry of a request.
	maxServices = 4
	// maxCrashSets is the number of crashes whose subjects are kept.
	maxCrashSets = 256
	// rememberedCrashes is the number of last crashes that an entry holds, to count each once.
	rememberedCrashes = 8
)

// TrialWait returns the time from a round to the next trial.
func TrialWait(rounds int) time.Duration {
	switch {
	case rounds <= restrictRounds:
		return 0
	case rounds == 3:
		return 5 * time.Second
	case rounds == 4:
		return 30 * time.Second
	case rounds == 5:
		return 5 * time.Minute
	}
	return time.Hour
}

// NextTrialWait returns the time to the next trial of a subject if the end of its last trial may
// not be known. Late trials count like failed ones, as they do for maxLateTrials.
func NextTrialWait(rounds, lateTrials int) time.Duration {
	if lateTrials > 0 {
		rounds = max(rounds, confirmedRounds+lateTrials)
	}
	return TrialWait(rounds)
}

// Register holds the evidence against subjects.
type Register struct {
	entries     map[uint64]*entry
	held        [Request + 1]int // number of entries of each kind
	quarantined [Request + 1]int // number of quarantined subjects of each kind
	released    map[uint64]time.Time
	// answered are the last answers that cleared subjects, completed the complete ones to
	// requests with segments.
	answered  [Request + 1]answers
	completed answers
	changes   []Change
	nextSweep time.Time
	// crashSets are the subjects of all unanswered requests at the last crashes, whose
	// identifiers crashOrder has in order.
	crashSets  map[uint64]map[uint64]bool
	crashOrder []uint64
}

// New returns an empty Register.
func New() *Register {
	return &Register{
		entries:  make(map[uint64]*entry),
		released: make(map[uint64]time.Time),
		answered: [Request + 1]answers{
			Segment: {
				memory: answerMemory,
			},
			Request: {
				memory: answerMemory,
			},
		},
		completed: answers{
			memory: completeMemory,
		},

		crashSets: make(map[uint64]map[uint64]bool),
	}
}

// Empty reports whether there is no evidence against any subject.
func (r *Register) Empty() bool { return len(r.entries) == 0 }

// Quarantined returns the number of quarantined subjects.
func (r *Register) Quarantined() int { return r.quarantined[Segment] + r.quarantined[Request] }

// QuarantinedOf returns the number of quarantined subjects of a kind.
func (r *Register) QuarantinedOf(kind Kind) int { return r.quarantined[kind] }

// IsSuspect reports whether there is evidence against a subject.
func (r *Register) IsSuspect(subject Subject) bool { return r.entries[subject.ID] != nil }

// Completes reports whether a crash now with a request that was sent at placedAt would
// quarantine a subject.
func (r *Register) Completes(now time.Time, subject Subject, placedAt time.Time) bool {
	e := r.entries[subject.ID]
	return e != nil && e.rounds == restrictRounds-1 && placedAt.After(e.lastRound) && !now.Before(e.graceUntil)
}

// RecordCrash records that an engine crashed with an unanswered request. The subjects are the
// request itself and the segments that it shares with others, and placedAt is when it was sent
// to the engine. All requests at the engine name the same crash. Once a subject is
// quarantined, only FailTrial adds rounds.
func (r *Register) RecordCrash(now, placedAt time.Time, crash uint64, subjects []Subject) {
	r.recordCrash(now, placedAt, crash, subjects, false)
}

// RecordMidAnswerCrash is like RecordCrash, for a request whose answer had begun well before the
// crash. Only complete answers clear its subjects from then on.
func (r *Register) RecordMidAnswerCrash(now, placedAt time.Time, crash uint64, subjects []Subject) {
	r.recordCrash(now, placedAt, crash, subjects, true)
}

func (r *Register) recordCrash(now, placedAt time.Time, crash uint64, subjects []Subject, midAnswer bool) {
	r.addToCrash(crash, subjects)
	for _, subject := range subjects {
		e := r.entries[subject.ID]
		if e == nil {
			if subject.Of != 0 {
				continue // the request as such has evidence against it
			}
			if e = r.add(now, subject); e == nil {
				continue
			}
		}
		e.addService(subject.Service)
		if !slices.Contains(e.recent[:], crash) {
			e.recent[e.next] = crash
			e.next = (e.next + 1) % rememberedCrashes
			e.crashes++
		}
		e.lastRequest = now
		e.midAnswer = e.midAnswer || midAnswer
		if e.quarantined() || e.rounds > 0 && !placedAt.After(e.lastRound) {
			continue
		}
		if e.rounds == restrictRounds-1 {
			if now.Before(e.graceUntil) || r.Quarantined() >= MaxQuarantined {
				continue
			}
			r.quarantined[e.kind]++
		}
		r.addRound(now, subject.ID, e)
	}
}

// addRound adds a round to the evidence against a subject.
func (r *Register) addRound(now time.Time, id uint64, e *entry) {
	e.rounds++
	e.lastRound = now
	e.trialAt = now.Add(TrialWait(e.rounds))
	if e.quarantined() {
		r.change(r.record(now, id, e), Crashed)
	}
}

// add returns a new entry, or nil if there is no room for it. Suspects of the same kind that
// are not quarantined make room, those with a single crash first, since the evidence
// against them is weakest.
func (r *Register) add(now time.Time, subject Subject) *entry {
	for crashes := 1; crashes <= restrictRounds && r.held[subject.Kind] >= maxEntries; crashes++ {
		for id, e := range r.entries {
			if e.kind == subject.Kind && !e.quarantined() && e.lastRound.Before(now) && (e.crashes <= crashes || crashes == restrictRounds) {
				r.drop(id, e)
			}
		}
	}
	if r.held[subject.Kind] >= maxEntries {
		return nil
	}
	e := &entry{
		kind:        subject.Kind,
		of:          subject.Of,
		lastRequest: now,
	}
	if at, ok := r.answered[subject.Kind].last[subject.answeredID()]; ok && now.Sub(at) <= answerMemory {
		e.graceUntil = now.Add(answeredGrace)
	}
	r.entries[subject.ID] = e
	r.held[subject.Kind]++
	return e
}

// drop removes an entry.
func (r *Register) drop(id uint64, e *entry) {
	delete(r.entries, id)
	r.held[e.kind]--
}

// RecordAnswer records that an engine answered a request completely, which clears its subjects.
// It returns the number of subjects that there was evidence against.
func (r *Register) RecordAnswer(now time.Time, subjects []Subject) int {
	cleared := 0
	for _, subject := range subjects {
		if subject.Kind == Segment {
			r.completed.remember(now, subject.ID)
		}
		cleared += r.clear(now, subject)
	}
	return cleared
}

// RecordPartialAnswer records that an engine has sent the beginning of the answer to a request.
// It clears the subjects that no crash in the middle of an answer counts against, and returns
// the number of those that there was evidence against.
func (r *Register) RecordPartialAnswer(now time.Time, subjects []Subject) int {
	cleared := 0
	for _, subject := range subjects {
		if e := r.entries[subject.ID]; e == nil || !e.midAnswer {
			cleared += r.clear(now, subject)
		}
	}
	return cleared
}

// clear clears a subject and returns 1 if there was evidence against it, and 0 otherwise.
func (r *Register) clear(now time.Time, subject Subject) int {
	if subject.Of == 0 {
		r.answered[subject.Kind].remember(now, subject.answeredID())
	}
	e := r.entries[subject.ID]
	if e == nil {
		return 0
	}
	r.remove(now, subject.ID, Answered)
	if subject.Service != 0 {
		r.keepAtServices(now, subject, e)
	}
	return 1
}

// LacksAnswers reports whether no request with the segment has had a complete answer within
// completeMemory. It returns false while that isn't known.
func (r *Register) LacksAnswers(now time.Time, segment Subject) bool {
	return r.completed.lacks(now, segment.ID)
}

// Release releases a subject at an operator's request, and a request at single services as
// well.
func (r *Register) Release(now time.Time, id uint64) {
	if r.entries[id] == nil {
		return
	}
	r.remove(now, id, ByOperator)
	for other, e := range r.entries {
		if e.of == id {
			r.remove(now, other, ByOperator)
		}
	}
}

// remove forgets a subject.
func (r *Register) remove(now time.Time, id uint64, cause Cause) {
	e := r.entries[id]
	if e == nil {
		return
	}
	r.drop(id, e)
	if !e.quarantined() {
		return
	}
	r.quarantined[e.kind]--
	r.remember(now, id)
	r.change(Record{
		Subject: Subject{
			ID:   id,
			Kind: e.kind,
			Of:   e.of,
		},
		Released: true,
	}, cause)
}

// remember remembers that a subject was released.
func (r *Register) remember(now time.Time, id uint64) {
	if len(r.released) >= maxReleased {
		for id, at := range r.released {
			if now.Sub(at) > releaseMemory {
				delete(r.released, id)
			}
		}
		if len(r.released) >= maxReleased {
			clear(r.released)
		}
	}
	r.released[id] = now
}

func (r *Register) change(record Record, cause Cause) {
	r.changes = append(r.changes, Change{
		Record: record,
		Cause:  cause,
	})
}

// TakeChanges returns the changes of quarantined subjects since the last call, in order.
func (r *Register) TakeChanges() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// Sweep forgets subjects without new evidence or requests. It does nothing within
// sweepInterval of the last call that did.
func (r *Register) Sweep(now time.Time) {
	if now.Before(r.nextSweep) {
		return
	}
	r.nextSweep = now.Add(sweepInterval)
	for id, e := range r.entries {
		switch {
		case !e.quarantined() && now.Sub(e.lastRound) > suspectTimeout:
			r.drop(id, e)
		case e.quarantined() && now.Sub(e.lastRequest) > idleTimeout:
			r.remove(now, id, Unused)
		}
	}
}
