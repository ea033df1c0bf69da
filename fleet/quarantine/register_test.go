package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// at returns the time some milliseconds after the epoch.
func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

// segments returns the subjects of a prompt with the given segments.
func segments(ids ...uint64) []Subject {
	out := make([]Subject, len(ids))
	for i, id := range ids {
		out[i].ID = id
	}
	return out
}

// verdict returns the verdict on a request that shares one segment.
func verdict(r *Register, now time.Time, segment uint64) Verdict {
	v, _ := r.Check(now, segments(segment))
	return v
}

// crashInSequence records rounds of a segment, 200 ms apart, and returns the time of the
// last.
func crashInSequence(r *Register, segment uint64, rounds int) time.Time {
	now := epoch
	for i := range rounds {
		now = at(200 * i)
		if i >= restrictRounds {
			failTrial(r, now, uint64(i+1), segment)
			continue
		}
		r.RecordCrash(now, now.Add(-100*time.Millisecond), uint64(i+1), segments(segment))
	}
	return now
}

// failTrial records a trial of a segment that crashes its engine.
func failTrial(r *Register, now time.Time, crash, segment uint64) {
	r.StartTrial(now, segments(segment))
	r.RecordCrash(now, now.Add(-50*time.Millisecond), crash, segments(segment))
	r.FailTrial(now, segments(segment))
}

// TestOneCrashProvesNothing guards against refusals of sound segments that were at an
// engine which crashed once.
func TestOneCrashProvesNothing(t *testing.T) {
	is := is.New(t)
	r := New()
	r.RecordCrash(at(100), at(0), 1, segments(7, 8, 9))
	is.Equal(verdict(r, at(101), 7), Allow)
	is.Equal(r.Quarantined(), 0)
}

// TestPopularSegmentIsNotQuarantinedBetweenTwoAnswers guards against refusals of a popular
// segment after crashes so close to each other that no answer ended between them.
func TestPopularSegmentIsNotQuarantinedBetweenTwoAnswers(t *testing.T) {
	is := is.New(t)
	r := New()
	r.RecordAnswer(at(0), segments(7))
	for i := range 5 {
		now := at(1000 + 60*i)
		r.RecordCrash(now, now.Add(-time.Millisecond), uint64(i+1), segments(7, 8))
	}
	is.Equal(verdict(r, at(1300), 7), Allow)
	is.True(verdict(r, at(1300), 8) != Allow) // it never had an answer
	now := at(1000).Add(answeredGrace)
	r.RecordCrash(now, now.Add(-time.Millisecond), 9, segments(7))
	is.True(verdict(r, now, 7) != Allow) // and none since the first crash
}

// TestEnginesThatCrashTogetherAreOneRound guards against a quarantine of popular segments
// when half of a service, a zone or a release crashes at the same time.
func TestEnginesThatCrashTogetherAreOneRound(t *testing.T) {
	is := is.New(t)
	r := New()
	for crash := range uint64(500) {
		r.RecordCrash(at(100), at(int(crash)%100), crash+1, segments(7))
	}
	is.Equal(verdict(r, at(101), 7), Allow)
}

// TestSequenceOfCrashesQuarantines checks the trials of a segment: one at a time, and
// after waits that grow. Refusals are final after finalRounds.
func TestSequenceOfCrashesQuarantines(t *testing.T) {
	is := is.New(t)
	r := New()
	now := crashInSequence(r, 7, restrictRounds)
	is.Equal(verdict(r, now, 7), Trial)
	r.StartTrial(now, segments(7))
	is.Equal(verdict(r, now, 7), Defer) // one trial at a time
	now = now.Add(100 * time.Millisecond)
	r.RecordCrash(now, now.Add(-50*time.Millisecond), 9, segments(7))
	is.Equal(verdict(r, now, 7), Defer) // the trial is not judged yet
	r.FailTrial(now, segments(7))
	v, record := r.Check(now, segments(6, 7, 8))
	is.Equal(v, Defer)
	is.True(record.Confirmed())
	is.Equal(record.Crashes, 3)
	is.Equal(record.TrialIn, TrialWait(confirmedRounds))
	is.Equal(r.Wait(now, 7), TrialWait(confirmedRounds))
	for rounds := confirmedRounds; rounds < finalRounds; rounds++ {
		is.Equal(verdict(r, now.Add(TrialWait(rounds)-1), 7), Defer)
		now = now.Add(TrialWait(rounds))
		is.Equal(verdict(r, now, 7), Trial)
		failTrial(r, now, uint64(10+rounds), 7)
	}
	is.Equal(verdict(r, now, 7), Refuse)
	is.Equal(verdict(r, now.Add(TrialWait(finalRounds)), 7), Trial)
}

// TestSegmentsAreToldApart guards against refusals of requests that share only some of the
// segments of those that crash engines: one of them at a time shows whether they are sound.
func TestSegmentsAreToldApart(t *testing.T) {
	is := is.New(t)
	r := New()
	crashing := segments(1, 2, 3)
	now := epoch
	for i := range restrictRounds {
		now = at(200 * i)
		r.RecordCrash(now, now.Add(-100*time.Millisecond), uint64(i+1), crashing)
	}
	r.StartTrial(now, crashing)
	r.RecordCrash(now, now.Add(-50*time.Millisecond), 9, crashing)
	r.FailTrial(now, crashing)
	v, _ := r.Check(now, crashing)
	is.Equal(v, Defer)
	v, _ = r.Check(now, segments(1, 2))
	is.Equal(v, Trial) // at once, and without the wait for a trial of all three
	r.StartTrial(now, segments(1, 2))
	v, _ = r.Check(now, segments(1, 2, 4))
	is.Equal(v, Defer) // one at a time
	r.AbortTrial(now, segments(1, 2))
	v, _ = r.Check(now, segments(1, 2))
	is.Equal(v, Defer) // its engine may have crashed
	now = now.Add(abortedTrialWait)
	v, _ = r.Check(now, segments(1, 2))
	is.Equal(v, Trial)
	r.RecordAnswer(now, segments(1, 2))
	v, _ = r.Check(now, segments(1, 2, 4))
	is.Equal(v, Allow)
	v, record := r.Check(now, crashing)
	is.Equal(v, Defer)
	is.Equal(record.ID, uint64(3))
}

// TestSegmentsAreToldApartBesideSoundRequests guards against evidence that rests on sound
// requests which wait at a crashed engine beside the one that crashed it.
func TestSegmentsAreToldApartBesideSoundRequests(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range restrictRounds {
		now := at(200 * i)
		r.RecordCrash(now, now.Add(-100*time.Millisecond), uint64(i+1), segments(1, 2))
		r.RecordCrash(now, now.Add(-100*time.Millisecond), uint64(i+1), segments(1, 2, 3))
	}
	now := at(400)
	r.StartTrial(now, segments(1, 2, 3))
	r.RecordCrash(now, now.Add(-50*time.Millisecond), 9, segments(1, 2, 3))
	r.FailTrial(now, segments(1, 2, 3))
	v, _ := r.Check(now, segments(1, 2))
	is.Equal(v, Trial)
	other := New() // a new leader
	other.Merge(now, r.Records(now))
	v, _ = other.Check(now, segments(1, 2))
	is.Equal(v, Trial)
	v, _ = other.Check(now, segments(1, 2, 3))
	is.Equal(v, Defer)
}

// TestSegmentThatCrashesAlone checks that a segment stays refused which crashes engines also
// without the others that were quarantined with it.
func TestSegmentThatCrashesAlone(t *testing.T) {
	is := is.New(t)
	r := New()
	r.RecordCrash(at(100), at(0), 1, segments(2, 3))
	r.RecordCrash(at(300), at(200), 2, segments(2, 3))
	r.StartTrial(at(400), segments(2))
	r.RecordCrash(at(500), at(400), 3, segments(2))
	r.FailTrial(at(600), segments(2))
	is.Equal(verdict(r, at(600), 2), Defer)
	is.Equal(verdict(r, at(600), 3), Trial)
}

// TestAnswerReleases checks that an answer releases a segment, and that a report from
// before it doesn't restore the quarantine.
func TestAnswerReleases(t *testing.T) {
	is := is.New(t)
	r := New()
	now := crashInSequence(r, 7, 3)
	old := r.Records(now)
	now = now.Add(time.Second)
	r.RecordAnswer(now, segments(7))
	is.Equal(verdict(r, now, 7), Allow)
	changes := r.TakeChanges()
	is.Equal(changes[len(changes)-1], Change{
		Record: Record{
			Subject: Subject{
				ID: 7,
			},
			Released: true,
		},
		Cause: Answered,
	})
	old[0].SinceCrash = 2 * time.Second // a gateway that was cut off sends it now
	r.Merge(now.Add(time.Second), old)
	is.Equal(verdict(r, now.Add(time.Second), 7), Allow)
	old[0].SinceCrash = 500 * time.Millisecond // it crashed another engine since
	r.Merge(now.Add(time.Second), old)
	is.Equal(verdict(r, now.Add(time.Second), 7), Defer)
}

// TestLateTrialsAreBounded guards against trials that crash engines for ever: after the
// fifth crash two more are sent, also over changes of the leader.
func TestLateTrialsAreBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	now := crashInSequence(r, 7, 5)
	trials := 0
	for range 200 {
		now = now.Add(30 * time.Minute)
		if verdict(r, now, 7) != Trial {
			continue
		}
		trials++
		failTrial(r, now, uint64(100+trials), 7)
		next := New()
		next.Merge(now, r.Records(now))
		r = next
	}
	is.Equal(trials, maxLateTrials)
	is.Equal(verdict(r, now, 7), Refuse)
	r.Release(now, 7)
	is.Equal(verdict(r, now, 7), Allow)
}

// TestAbortedTrialWaits guards against a trial after each loss of the gateway that ran
// the one before.
func TestAbortedTrialWaits(t *testing.T) {
	is := is.New(t)
	r := New()
	now := crashInSequence(r, 7, restrictRounds)
	r.StartTrial(now, segments(7))
	r.AbortTrial(now, segments(7))
	is.Equal(verdict(r, now, 7), Defer)
	is.Equal(verdict(r, now.Add(abortedTrialWait), 7), Trial)
}

// TestRecordsOfOneProcessReachAnother checks that a process that replaces its records has
// the same verdicts as the one that sent them.
func TestRecordsOfOneProcessReachAnother(t *testing.T) {
	is := is.New(t)
	r := New()
	now := crashInSequence(r, 7, finalRounds)
	crashInSequence(r, 9, 1)
	other := New()
	crashInSequence(other, 8, 4)
	other.Replace(now, r.Records(now))
	is.Equal(verdict(other, now, 7), Refuse)
	is.Equal(verdict(other, now, 8), Allow)
	is.Equal(verdict(other, now.Add(TrialWait(finalRounds)), 7), Trial)
	r.Release(now, 7)
	for _, c := range r.TakeChanges() {
		other.Merge(now, []Record{c.Record})
	}
	is.Equal(verdict(other, now, 7), Allow)
}

// TestRegisterIsBounded guards against unbounded memory when many engines crash with many
// rare segments.
func TestRegisterIsBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range 5 * maxEntries {
		now := at(i)
		for round := range 3 {
			now = now.Add(time.Duration(round) * time.Microsecond)
			r.RecordCrash(now, now.Add(-time.Nanosecond), uint64(3*i+round+1), segments(uint64(i)))
		}
	}
	is.True(len(r.entries) <= maxEntries)
	is.Equal(r.Quarantined(), MaxQuarantined)
	r.Sweep(at(5 * maxEntries).Add(2 * idleTimeout))
	is.True(r.Empty())
	is.Equal(r.Quarantined(), 0)
	is.True(len(r.released) <= maxReleased)
}

// TestQuarantineEndsWithoutRequests checks that a segment is forgotten when no request
// holds it any more, and not before.
func TestQuarantineEndsWithoutRequests(t *testing.T) {
	is := is.New(t)
	r := New()
	now := crashInSequence(r, 7, 6)
	for range 10 {
		now = now.Add(idleTimeout / 2)
		is.True(verdict(r, now, 7) != Allow)
		r.Sweep(now)
	}
	r.Sweep(now.Add(idleTimeout + time.Second))
	is.Equal(verdict(r, now.Add(idleTimeout+time.Second), 7), Allow)
}

// TestFloodKeepsEvidence guards against evidence that a flood of different requests evicts: a
// request that crashed two engines stays quarantined, one that crashed an engine twice as
// often as the others stays a suspect, and segments keep theirs.
func TestFloodKeepsEvidence(t *testing.T) {
	is := is.New(t)
	r := New()
	request := func(id uint64) []Subject {
		return []Subject{{
			ID:   id,
			Kind: Request,
		}}
	}
	r.RecordCrash(at(100), at(0), 1, segments(7))
	r.RecordCrash(at(100), at(0), 1, request(8))
	r.RecordCrash(at(300), at(200), 2, request(8))
	r.RecordCrash(at(400), at(350), 3, request(9))
	r.RecordCrash(at(400), at(350), 4, request(9))
	for i := range 3 * maxEntries {
		now := at(1000 + i)
		r.RecordCrash(now, now.Add(-time.Millisecond), uint64(i+10), request(uint64(100+i)))
		r.RecordAnswer(now, request(uint64(1e6+i)))
	}
	is.True(len(r.entries) <= maxEntries+1)
	is.True(r.IsSuspect(segments(7)[0]))
	is.Equal(verdict(r, at(30_000), 8), Trial)
	is.True(r.IsSuspect(request(9)[0]))
	is.Equal(r.QuarantinedOf(Request), 1)
	is.Equal(r.QuarantinedOf(Segment), 0)
	is.True(len(r.answered[Request].last) <= maxAnswered)
}

// TestRequestHasThreeMoreTries guards against a request that reaches more than three engines
// after it has crashed three: its trials come at once, after 5 s and after 30 s, and no more.
func TestRequestHasThreeMoreTries(t *testing.T) {
	is := is.New(t)
	r := New()
	request := []Subject{{
		ID:   8,
		Kind: Request,
	}}
	crash := uint64(0)
	tried := 0
	for now := epoch; now.Before(epoch.Add(2 * time.Hour)); now = now.Add(time.Second) {
		v, _ := r.Check(now, request)
		if v > Trial {
			continue
		}
		if v == Trial {
			r.StartTrial(now, request)
		}
		tried++
		crash++
		crashedAt := now.Add(50 * time.Millisecond)
		r.RecordCrash(crashedAt, now, crash, request)
		r.FailTrial(crashedAt, request)
	}
	is.Equal(tried, 5)
}
