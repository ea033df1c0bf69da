package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Records returns the records of all quarantined subjects, ordered by identifier.
func (r *Register) Records(now time.Time) []Record {
	if r.Quarantined() == 0 {
		return nil
	}
	var out []Record
	for id, e := range r.entries {
		if e.quarantined() {
			out = append(out, r.record(now, id, e))
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// maxSuspects is the number of suspects that are reported.
const maxSuspects = 64

// Suspects returns the records of requests that an engine crashed with at least minAge ago, and that are
// not quarantined, at most maxSuspects of them. Skip reports whether one is left out.
func (r *Register) Suspects(now time.Time, minAge time.Duration, skip func(digest uint64) bool) []Record {
	var out []Record
	for id, e := range r.entries {
		if e.kind == Request && e.of == 0 && !e.quarantined() && now.Sub(e.lastRound) >= minAge && !skip(id) {
			out = append(out, r.record(now, id, e))
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Or(cmp.Compare(a.SinceCrash, b.SinceCrash), cmp.Compare(a.ID, b.ID)) })
	return out[:min(len(out), maxSuspects)]
}

// MergeSuspects adds suspects that another process reported, unless there is evidence against them
// here.
func (r *Register) MergeSuspects(now time.Time, suspects []Record) {
	for _, record := range suspects {
		crashedAt := now.Add(-record.SinceCrash)
		if r.entries[record.ID] != nil || record.Rounds != restrictRounds-1 || now.Sub(crashedAt) > suspectTimeout {
			continue
		}
		e := r.add(now, record.Subject)
		if e == nil {
			return
		}
		e.rounds, e.crashes, e.midAnswer, e.lastRound = record.Rounds, record.Crashes, record.MidAnswer, crashedAt
		for _, service := range record.Services {
			e.addService(service)
		}
	}
}

// Merge adds records that another process reported. The stronger evidence of the two
// counts. A record is ignored if the subject was released after its last crash.
func (r *Register) Merge(now time.Time, records []Record) {
	for _, record := range records {
		if record.Released {
			r.remove(now, record.ID, Reported)
			continue
		}
		crashedAt := now.Add(-record.SinceCrash)
		if at, ok := r.released[record.ID]; ok && !crashedAt.After(at) || record.Rounds < restrictRounds {
			continue
		}
		r.merge(now, crashedAt, record)
	}
}

// merge adds one record, unless there is no room for it.
func (r *Register) merge(now, crashedAt time.Time, record Record) {
	e := r.entries[record.ID]
	if e == nil {
		if e = r.add(now, record.Subject); e == nil {
			return
		}
	}
	before := *e
	e.lastRequest = now
	if len(record.Companions) > 0 || e.recent[0] == 0 { // no crash was counted here
		e.companions = record.Companions
	}
	if !e.quarantined() {
		if r.Quarantined() >= MaxQuarantined {
			return
		}
		r.quarantined[e.kind]++
	}
	e.rounds = max(e.rounds, record.Rounds)
	e.crashes = max(e.crashes, record.Crashes)
	e.lateTrials = max(e.lateTrials, record.LateTrials)
	e.midAnswer = e.midAnswer || record.MidAnswer
	for _, service := range record.Services {
		e.addService(service)
	}
	if crashedAt.After(e.lastRound) {
		e.lastRound = crashedAt
	}
	if at := now.Add(record.TrialIn); at.After(e.trialAt) {
		e.trialAt = at
	}
	if e.rounds != before.rounds || e.crashes > before.crashes || e.lateTrials != before.lateTrials {
		r.change(r.record(now, record.ID, e), Reported)
	}
}

// Replace replaces all evidence by the records that another process reported. No changes
// are recorded.
func (r *Register) Replace(now time.Time, records []Record) {
	clear(r.entries)
	clear(r.released)
	r.held = [Request + 1]int{}
	r.quarantined = [Request + 1]int{}
	r.Merge(now, records)
	r.changes = nil
}
