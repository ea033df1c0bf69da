package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// confirmLate records the rounds of a segment after which each trial is a late one, and returns
// the time of the next trial.
func confirmLate(r *Register, segment uint64) time.Time {
	for crash := range uint64(3) { // one round
		r.RecordCrash(at(100), at(0), crash+1, segments(segment))
	}
	r.RecordCrash(at(300), at(200), 4, segments(segment))
	failTrial(r, at(400), 5, segment)
	return at(400).Add(TrialWait(confirmedRounds))
}

// TestLateTrialWithoutKnownEnd guards against refusals that are final seconds after a leader was
// lost during a trial, or after its gateway was: the wait for the last trial follows as after a
// failed one.
func TestLateTrialWithoutKnownEnd(t *testing.T) {
	for name, lose := range map[string]func(r *Register, now time.Time) *Register{
		"records of a leader": func(r *Register, now time.Time) *Register {
			next := New()
			next.Merge(now, r.Records(now))
			return next
		},
		"changes at a gateway": func(r *Register, now time.Time) *Register {
			known, next := New(), New()
			for _, c := range r.TakeChanges() {
				known.Merge(now, []Record{c.Record})
			}
			next.Merge(now, known.Records(now))
			return next
		},
		"aborted": func(r *Register, now time.Time) *Register {
			r.AbortTrial(now, segments(7))
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			now := confirmLate(r, 7)
			is.Equal(verdict(r, now, 7), Trial)
			r.StartTrial(now, segments(7))
			r = lose(r, now)
			last := now.Add(TrialWait(confirmedRounds + 1))
			is.Equal(verdict(r, last.Add(-1), 7), Defer)
			is.Equal(verdict(r, last, 7), Trial)
			failTrial(r, last, 9, 7)
			is.Equal(verdict(r, last, 7), Refuse)
		})
	}
}
