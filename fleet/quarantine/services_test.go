package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashTwice has a request crash engines of a service in two rounds.
func crashTwice(r *Register, now time.Time, digest, service uint64) time.Time {
	for i := range uint64(2) {
		now = now.Add(100 * time.Millisecond)
		r.RecordCrash(now, now.Add(-50*time.Millisecond), 1+i, RequestSubjects(digest, service))
	}
	return now
}

// TestAnswerOfAnotherService guards against an answer of one service that clears a request at
// another one, whose engines it crashes, and against a request that stays quarantined where it
// is answered.
func TestAnswerOfAnotherService(t *testing.T) {
	is := is.New(t)
	r := New()
	desk, counter := ServiceID("desk"), ServiceID("counter")
	now := crashTwice(r, time.Unix(0, 0), 7, desk)
	verdict, record := r.Check(now, RequestSubjects(7, counter))
	is.Equal(verdict, Trial) // what is known follows the request to the other service
	is.Equal(record.Services, []uint64{desk})
	trial := RequestSubjects(7, counter)
	r.StartTrial(now, trial)
	r.EndTrial(trial)
	is.Equal(r.RecordAnswer(now, trial), 1)
	verdict, _ = r.Check(now, RequestSubjects(7, counter))
	is.Equal(verdict, Allow)
	verdict, record = r.Check(now, RequestSubjects(7, desk))
	is.Equal(verdict, Trial)
	is.Equal(record.Of, uint64(7))
	is.Equal(r.Quarantined(), 1)

	other := New() // a new leader
	other.Merge(now, r.Records(now))
	verdict, _ = other.Check(now, RequestSubjects(7, desk))
	is.Equal(verdict, Trial)
	verdict, _ = other.Check(now, RequestSubjects(7, counter))
	is.Equal(verdict, Allow)
	is.Equal(other.RecordAnswer(now, RequestSubjects(7, desk)), 1)
	is.True(other.Empty())
}

// TestReleaseAtAllServices guards against a request that an operator releases and that stays
// quarantined at one service.
func TestReleaseAtAllServices(t *testing.T) {
	is := is.New(t)
	r := New()
	desk, counter := ServiceID("desk"), ServiceID("counter")
	now := crashTwice(r, time.Unix(0, 0), 7, desk)
	r.RecordAnswer(now, RequestSubjects(7, counter))
	now = crashTwice(r, now.Add(time.Minute), 7, counter)
	is.Equal(r.Quarantined(), 2)
	r.Release(now, 7)
	is.Equal(r.Quarantined(), 0)
	is.True(r.Empty())
}
