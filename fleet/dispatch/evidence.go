package dispatch

import (
	"slices"
	"time"

	"baobabpaddle/fleet/quarantine"
)

// Constants of the evidence against prompt segments and requests.
const (
	// soundAfter is the duration of an answer from which it clears the segments of its prompt,
	// even if it is not complete. An engine may send the first tokens before it crashes. Only a
	// complete answer clears a segment whose requests crashed engines after that time, and the
	// request itself, which has no other requests to clear it or to be refused with it.
	soundAfter = 300 * time.Millisecond
	// crashWindow is the time in which requests that broke off count for the same crash of
	// an upstream. Gateways notice it at different times.
	crashWindow = time.Second
	// isolationWindow is the time around the crash of a trial's engine in which no more than
	// maxTrialCrashes engines may crash, this one included, for the trial to have failed.
	isolationWindow = 100 * time.Millisecond
	maxTrialCrashes = 2
	// maxCrashTimes is the number of crashes whose times are kept.
	maxCrashTimes = 64
	// answeredMemory is the time for which the subjects of present answers are not
	// collected again.
	answeredMemory = 50 * time.Millisecond
	// trialRunningCost is the cost of each running request at the engine that gets a
	// trial, in prompt tokens.
	trialRunningCost = 2000.0
	// minTrialRetryAfter and maxTrialRetryAfter bound the delay from the begin of a trial after
	// which a caller whose request or segment is tried should retry. Most trials are decided by then.
	minTrialRetryAfter = 300 * time.Millisecond
	maxTrialRetryAfter = 900 * time.Millisecond
)

// subjects returns what evidence from a request is held against: the segments that other
// requests may share, and the request itself, which may come again, if its digest is known.
// Service is that of the request, or empty if it is not known.
func subjects(p Prompt, digest uint64, service string) []quarantine.Subject {
	shared := p.Shared()
	out := make([]quarantine.Subject, 0, len(shared)+2)
	for _, segment := range shared {
		out = append(out, quarantine.Subject{
			ID: segment.ID,
		})
	}
	if digest == 0 {
		return out
	}
	id := uint64(0)
	if service != "" {
		id = quarantine.ServiceID(service)
	}
	return append(out, quarantine.RequestSubjects(digest, id)...)
}

// subjects returns what evidence from the request is held against.
func (p *placedRequest) subjects() []quarantine.Subject {
	return subjects(p.prompt, p.digest, p.engine.Service)
}

// sharedSubjects returns the subjects that other requests may share.
func (p *placedRequest) sharedSubjects() []quarantine.Subject { return subjects(p.prompt, 0, "") }

// EvidenceCounts counts what became of the evidence against subjects.
type EvidenceCounts struct {
	// ClearedByAnswers is the number of subjects with evidence that complete answers cleared,
	// ClearedByLasting the number of those that answers cleared which had lasted for soundAfter.
	ClearedByAnswers int
	ClearedByLasting int
	// LastingCrashed is the number of answers that had lasted for soundAfter when their
	// engine crashed.
	LastingCrashed int
}

// EvidenceCounts returns the counts since the Scheduler was made.
func (s *Scheduler) EvidenceCounts() EvidenceCounts { return s.evidenceCounts }

// startedRequest is a request whose answer clears its segments at a time if it still goes on.
type startedRequest struct {
	key     Key
	request *placedRequest
	at      time.Time
}

// crashedTrial is a trial whose engine crashed. It is judged at a later time, when crashes
// of other engines at the same moment are known.
type crashedTrial struct {
	subjects  []quarantine.Subject
	crashedAt time.Time
	judgeAt   time.Time
}

// checkQuarantine decides whether a request may be sent to an upstream.
func (s *Scheduler) checkQuarantine(now time.Time, r Request) (quarantine.Verdict, quarantine.Record) {
	if s.quarantine.Quarantined() == 0 {
		return quarantine.Allow, quarantine.Record{}
	}
	verdict, record := s.quarantine.Check(now, subjects(r.Prompt, r.Digest, r.Service))
	if verdict == quarantine.Trial && !s.settings.Trials {
		verdict = quarantine.Defer
	}
	return verdict, record
}

// WeighEvidence clears the segments of answers that have lasted for soundAfter and judges the
// trials whose engines crashed. It must be called several times a second.
func (s *Scheduler) WeighEvidence(now time.Time) {
	for len(s.started) > 0 && !now.Before(s.started[0].at) {
		first := s.started[0]
		s.started = s.started[1:]
		if s.placed[first.key] == first.request {
			s.clearSegments(now, first.request)
		}
	}
	for len(s.crashedTrials) > 0 && !now.Before(s.crashedTrials[0].judgeAt) {
		trial := s.crashedTrials[0]
		s.crashedTrials = s.crashedTrials[1:]
		if s.crashesAround(trial.crashedAt) <= maxTrialCrashes {
			s.quarantine.FailTrial(now, trial.subjects)
		} else {
			s.quarantine.EndTrial(trial.subjects)
		}
	}
}

// clearSegments clears the segments of a request whose answer has lasted for soundAfter. A
// trial goes on if there is evidence left against one of its subjects.
func (s *Scheduler) clearSegments(now time.Time, p *placedRequest) {
	s.evidenceCounts.ClearedByLasting += s.quarantine.RecordPartialAnswer(now, p.sharedSubjects())
	if !slices.ContainsFunc(p.subjects(), s.quarantine.IsSuspect) {
		s.endTrial(p)
	}
}

// crashesAround returns the number of upstreams that crashed within isolationWindow of a
// time.
func (s *Scheduler) crashesAround(at time.Time) int {
	n := 0
	for _, t := range s.crashTimes {
		if t.Sub(at).Abs() <= isolationWindow {
			n++
		}
	}
	return n
}

// noteStart lets the answer to a request count for its segments if there is evidence
// against one of them.
func (s *Scheduler) noteStart(now time.Time, key Key, p *placedRequest) {
	if s.following || s.quarantine.Empty() || !slices.ContainsFunc(p.sharedSubjects(), s.quarantine.IsSuspect) {
		return
	}
	s.started = append(s.started, startedRequest{
		key:     key,
		request: p,
		at:      now.Add(soundAfter),
	})
}

// answering reports whether an answer to a request with the segment has lasted longer than the
// given time, by soundAfter at least: it has passed the point at which an answer of that age
// ended with a crash.
func (s *Scheduler) answering(now time.Time, segment quarantine.Subject, age time.Duration) bool {
	if s.oldestAnswers == nil || now.Sub(s.oldestAt) > answeredMemory {
		s.oldestAnswers = make(map[quarantine.Subject]time.Time)
		s.oldestAt = now
		for _, p := range s.placed {
			if p.started {
				s.noteOldest(p)
			}
		}
	}
	startedAt, ok := s.oldestAnswers[segment]
	return ok && now.Sub(startedAt) >= age+soundAfter
}

// noteOldest collects the begin of an answer for its segments.
func (s *Scheduler) noteOldest(p *placedRequest) {
	for _, segment := range p.sharedSubjects() {
		if at, ok := s.oldestAnswers[segment]; !ok || p.startedAt.Before(at) {
			s.oldestAnswers[segment] = p.startedAt
		}
	}
}

// age returns for how long the answer has lasted; zero if it has not begun.
func (p *placedRequest) age(now time.Time) time.Duration {
	if !p.started {
		return 0
	}
	return now.Sub(p.startedAt)
}

// sound reports whether the answer has lasted for soundAfter.
func (p *placedRequest) sound(now time.Time) bool {
	return p.started && now.Sub(p.startedAt) >= soundAfter
}

// refuseQuarantined returns the Decision to refuse a request with a quarantined subject,
// either for good or until a trial has ended.
func (s *Scheduler) refuseQuarantined(now time.Time, r Request, verdict quarantine.Verdict, record quarantine.Record) Decision {
	d := Decision{
		ID:     r.ID,
		Reason: Quarantined,
		Inputs: Inputs{
			Objective:  r.Objective,
			Quarantine: &record,
		},
	}
	if verdict == quarantine.Defer {
		d.RetryAfter = s.quarantine.Wait(now, record.ID) + minTrialRetryAfter + time.Duration(s.random.Float64()*float64(maxTrialRetryAfter-minTrialRetryAfter))
	}
	return d
}

// startTrial marks a placed request as a trial of its quarantined subjects.
func (s *Scheduler) startTrial(now time.Time, p *placedRequest) {
	p.trial = true
	p.engine.trials++
	s.quarantine.StartTrial(now, p.subjects())
}

// endTrial records that a request is no trial any more. It does nothing if it is none.
func (s *Scheduler) endTrial(p *placedRequest) {
	if tried := s.unmarkTrial(p); tried != nil {
		s.quarantine.EndTrial(tried)
	}
}

// abortTrial records that the end of a trial will not be known. It does nothing if the
// request is no trial.
func (s *Scheduler) abortTrial(now time.Time, p *placedRequest) {
	if tried := s.unmarkTrial(p); tried != nil {
		s.quarantine.AbortTrial(now, tried)
	}
}

// unmarkTrial takes the mark of a trial off a request and returns its subjects, or nil if
// it is no trial.
func (s *Scheduler) unmarkTrial(p *placedRequest) []quarantine.Subject {
	if !p.trial {
		return nil
	}
	p.trial = false
	p.engine.trials--
	return p.subjects()
}

// recordEvidence records what the end of a request shows about its subjects. A crash of its
// engine is evidence against the request itself whenever it comes, unless another answer to it
// goes on that has lasted for longer. If the answer has lasted for soundAfter, it is evidence
// against those segments only that are known to have no complete answers, with the same
// exception.
func (s *Scheduler) recordEvidence(now time.Time, p *placedRequest, outcome Outcome) {
	if s.following {
		return
	}
	crash := uint64(0)
	if outcome == Crashed {
		crash = s.crashOf(now, p.engine)
	}
	found := p.subjects()
	lasting := p.sound(now) && outcome != Answered
	if lasting {
		s.clearSegments(now, p)
	}
	switch {
	case p.started && outcome == Answered:
		s.endTrial(p)
		s.evidenceCounts.ClearedByAnswers += s.quarantine.RecordAnswer(now, found)
	case outcome == Crashed:
		if s.outlasted(now, p) {
			s.abortTrial(now, p)
			found = p.sharedSubjects()
		}
		if lasting {
			s.evidenceCounts.LastingCrashed++
			found = slices.DeleteFunc(found, func(subject quarantine.Subject) bool {
				return subject.Kind == quarantine.Segment && (!s.quarantine.LacksAnswers(now, subject) || s.answering(now, subject, p.age(now)))
			})
		}
		s.recordCrash(now, p, crash, found)
	case outcome == Broken || outcome == ResponseTimeout || outcome == Failed:
		s.abortTrial(now, p) // its engine may have crashed
	default:
		s.endTrial(p)
	}
}

// recordCrash records that the engine of a request without a complete answer crashed.
func (s *Scheduler) recordCrash(now time.Time, p *placedRequest, crash uint64, found []quarantine.Subject) {
	for _, subject := range found {
		if subject.Kind == quarantine.Segment && s.quarantine.Completes(now, subject, p.placedAt) && s.answering(now, subject, 0) {
			s.evidenceCounts.ClearedByLasting += s.quarantine.RecordPartialAnswer(now, []quarantine.Subject{subject})
		}
	}
	if p.sound(now) {
		s.quarantine.RecordMidAnswerCrash(now, p.placedAt, crash, found)
	} else {
		s.quarantine.RecordCrash(now, p.placedAt, crash, found)
	}
	if tried := s.unmarkTrial(p); tried != nil {
		s.crashedTrials = append(s.crashedTrials, crashedTrial{
			subjects:  tried,
			crashedAt: now,
			judgeAt:   now.Add(isolationWindow),
		})
	}
}

// crashOf returns the identifier of the upstream's present crash.
func (s *Scheduler) crashOf(now time.Time, e *engine) uint64 {
	if e.crash == 0 || now.Sub(e.crashedAt) > crashWindow {
		s.crashes++
		e.crash, e.crashedAt = s.crashes, now
		s.crashTimes = append(s.crashTimes, now)
		if old := len(s.crashTimes) - maxCrashTimes; old > 0 {
			s.crashTimes = s.crashTimes[old:]
		}
	}
	return e.crash
}

// suspectAge is the time after a crash in which most requests that were at the upstream are being
// answered elsewhere.
const suspectAge = 300 * time.Millisecond

// Suspects returns the requests that an upstream crashed with, that are not quarantined and not at an
// upstream now, for the next leader.
func (s *Scheduler) Suspects(now time.Time) []quarantine.Record {
	return s.quarantine.Suspects(now, suspectAge, func(digest uint64) bool { return len(s.byDigest[digest]) > 0 })
}

// SetFollowing sets whether another Scheduler decides at present. While it does, that one,
// which sees the requests of all gateways, keeps the evidence against segments and requests.
func (s *Scheduler) SetFollowing(following bool) { s.following = following }

// Quarantine returns the evidence against prompt segments and requests.
func (s *Scheduler) Quarantine() *quarantine.Register { return s.quarantine }
