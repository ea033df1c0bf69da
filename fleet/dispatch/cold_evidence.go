package dispatch

import "time"

// sentAfter returns a time after which the request was sent, or the zero time if it is unknown,
// since another Scheduler placed it.
func (p *placedRequest) sentAfter() time.Time {
	if p.elsewhere {
		return time.Time{}
	}
	return p.placedAt
}

// suspectRestart records that the end of a request shows that its upstream may have stopped.
// A warm upstream that breaks off requests, or leaves them without a response, is suspected only
// once it is suspended; a cold one, which gets few, with the first. SentAfter is what
// placedRequest.sentAfter returns.
func (s *Scheduler) suspectRestart(now time.Time, e *engine, sentAfter time.Time, outcome Outcome) {
	// A connection that was tried before the upstream answered again shows nothing new.
	known := e.cold.cause == ColdAnsweredAgain && !e.cold.until.IsZero() && !sentAfter.IsZero() && sentAfter.Before(e.cold.since)
	switch outcome {
	case Unreachable, ConnectionRefused, AddressReassigned:
		if known {
			return
		}
		e.cold.certain = e.cold.certain || outcome == ConnectionRefused
	case Crashed:
		e.cold.certain = true
	case Broken, ResponseTimeout:
		if !now.Before(e.suspendedUntil) && e.cold.until.IsZero() {
			return
		}
	default:
		return
	}
	if !e.cold.suspect() || sentAfter.Before(e.cold.suspectedFrom) {
		e.cold.suspectedFrom = sentAfter
	}
	e.cold.suspectedAt = now
	if !e.cold.until.IsZero() {
		// The cold start is over; the next one begins with the next answer.
		e.cold.until, e.cold.since = time.Time{}, time.Time{}
	}
	s.setColdPace(now, e)
}

// weighSuspicion draws the conclusion from an answer that begins or ends: if it belongs to a
// request that was placed after the suspicion arose, the upstream may have restarted, and is
// cold until the list says otherwise. An answer that began before the requests were placed which
// gave rise to the suspicion, and ended completely after it, shows that the upstream did not
// restart. Ended reports whether the answer ended.
func (s *Scheduler) weighSuspicion(now time.Time, p *placedRequest, ended bool) {
	e := p.engine
	switch at := e.cold.suspectedAt; {
	case at.IsZero():
	case p.started && p.startedAt.Before(e.cold.suspectedFrom):
		if ended && now.Sub(at) >= reportLag {
			s.endCold(now, e)
		}
	case p.sentAfter().After(at) && e.cold.until.IsZero():
		if span, _ := s.declaredCold(e.Service); span > 0 {
			s.turnCold(now, e, now.Add(span), ColdAnsweredAgain)
		} else {
			e.cold = coldState{}
		}
	}
}
