package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPartialAnswerReleases checks that a part of an answer releases a segment, but not one that
// crashes engines in the middle of answers, also in a process that has its record.
func TestPartialAnswerReleases(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range restrictRounds {
		now := at(500 * i)
		r.RecordCrash(now, now.Add(-100*time.Millisecond), uint64(2*i+1), segments(7))
		r.RecordMidAnswerCrash(now, now.Add(-400*time.Millisecond), uint64(2*i+2), segments(8))
	}
	now := at(1000)
	other := New()
	other.Merge(now, r.Records(now))
	for _, r := range []*Register{r, other} {
		is.Equal(r.Quarantined(), 2)
		is.Equal(r.RecordPartialAnswer(now, segments(7, 8)), 1)
		is.Equal(verdict(r, now, 7), Allow)
		is.True(verdict(r, now, 8) != Allow)
		is.Equal(r.RecordAnswer(now, segments(7, 8)), 1)
		is.Equal(verdict(r, now, 8), Allow)
	}
}

// TestLacksAnswers checks that a segment lacks answers only if complete ones were recorded for
// long enough, of which none is missing.
func TestLacksAnswers(t *testing.T) {
	is := is.New(t)
	r := New()
	is.True(!r.LacksAnswers(at(0).Add(time.Hour), segments(7)[0]))
	r.RecordAnswer(at(0), segments(1))
	is.True(!r.LacksAnswers(at(0).Add(completeMemory-1), segments(7)[0]))
	now := at(0).Add(completeMemory)
	is.True(r.LacksAnswers(now, segments(7)[0]))
	r.RecordPartialAnswer(now, segments(7))
	is.True(r.LacksAnswers(now, segments(7)[0]))
	r.RecordAnswer(now, segments(7))
	is.True(!r.LacksAnswers(now.Add(completeMemory), segments(7)[0]))
	is.True(r.LacksAnswers(now.Add(completeMemory+1), segments(7)[0]))
	now = now.Add(2 * completeMemory)
	for id := range uint64(2 * maxAnswered) { // more than are remembered
		r.RecordAnswer(now, segments(100+id))
	}
	is.True(!r.LacksAnswers(now.Add(completeMemory-1), segments(100 + 2*maxAnswered - 1)[0]))
}
