package soak

import (
	"strconv"
	"strings"
	"time"
)

// FaultHistory tells when a fault touched a gateway, or the way from it to an upstream, so
// that a ready answer may rightly be lost.
type FaultHistory interface {
	GatewayAffected(index int, from, to time.Time) bool
	UpstreamAffected(id string, from, to time.Time) bool
}

// lateRun is how long after a refusal an upstream may still be found to run what was
// refused.
const lateRun = 2 * time.Second

// Check judges attempts that have ended; with final, also those that ended a moment
// ago.
func (l *Ledger) Check(harm FaultHistory, final bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id := range l.open {
		a := l.attempts[id]
		if a.Ended.IsZero() || (!final && now.Sub(a.Ended) < lateRun) {
			continue
		}
		delete(l.open, id)
		l.judge(a, harm)
	}
}

// judge checks one attempt; the lock is held.
func (l *Ledger) judge(a *Attempt, harm FaultHistory) {
	refused := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
	if refused && len(a.Executions) > 0 && !a.Kind.repeatable() {
		l.breaks("promise", "%s %s was answered %d and ran at %s", a.Kind, a.ID, a.Status, a.Executions[0].Upstream)
	}
	if a.Status >= 300 || a.Status == 0 || !a.Complete {
		l.judgeLost(a, harm)
	}
	if a.Status != 200 {
		return
	}
	if len(a.Executions) == 0 {
		l.breaks("answer", "%s %s was answered 200 and never ran", a.Kind, a.ID)
		return
	}
	if a.Kind.stream() {
		l.judgeStream(a)
		return
	}
	if !a.Complete {
		return
	}
	for _, r := range a.Executions {
		if r.Complete && r.Body == a.Body {
			return
		}
	}
	l.breaks("answer", "%s %s got %q as a whole answer, which is that of no run", a.Kind, a.ID, a.Body)
}

// judgeLost finds answers that were lost between an upstream and a caller though no
// fault touched the way: those that were ready, and those that the gateway broke off.
func (l *Ledger) judgeLost(a *Attempt, harm FaultHistory) {
	if len(a.Executions) == 0 || a.TimedOut {
		return
	}
	last := a.Executions[len(a.Executions)-1]
	ready := last.Complete && last.End.Before(a.Ended)
	brokenOff := a.Status == 0 || (a.Status < 300 && !a.Complete)
	if !ready && !brokenOff {
		return
	}
	if harm.GatewayAffected(a.Gateway, a.Sent, a.Ended) {
		return
	}
	for _, r := range a.Executions {
		if harm.UpstreamAffected(r.Upstream, r.Start, a.Ended) {
			return
		}
	}
	l.breaks("lost", "%s %s at gateway %d: ran at %s, whole %t there; the caller got status %d, whole %t (%s) at %s",
		a.Kind, a.ID, a.Gateway+1, last.Upstream, last.Complete, a.Status, a.Complete, a.Err, a.Ended.Format("15:04:05.000"))
}

// judgeStream checks the events that a caller got: in order from the first, of one run
// or of runs that go on where the one before ended, and all of them if it looks whole.
func (l *Ledger) judgeStream(a *Attempt) {
	next, run := 1, -1
	for event := range strings.SplitSeq(a.Body, "\n\n") {
		if event == "" {
			continue
		}
		number, of, ok := parseEvent(event, a.ID)
		if !ok {
			if a.Complete {
				l.breaks("order", "%s %s has the event %q", a.Kind, a.ID, event)
			}
			return
		}
		if number != next {
			l.breaks("order", "%s %s has event %d where %d is due", a.Kind, a.ID, number, next)
			return
		}
		if of != run {
			if run >= 0 && (a.Kind != Chat || of >= len(a.Executions) || a.Executions[of].ResumedAfter != number-1) {
				l.breaks("order", "%s %s: event %d is of run %d after run %d", a.Kind, a.ID, number, of, run)
				return
			}
			run = of
		}
		next++
	}
	if a.Complete && next != a.Events+1 {
		l.breaks("order", "%s %s looks whole after event %d of %d", a.Kind, a.ID, next-1, a.Events)
	}
}

// parseEvent reads "id: N\ndata: ATTEMPT RUN".
func parseEvent(event, id string) (number, run int, ok bool) {
	first, second, _ := strings.Cut(event, "\n")
	number, err := strconv.Atoi(strings.TrimPrefix(first, "id: "))
	if err != nil {
		return 0, 0, false
	}
	attempt, of, _ := strings.Cut(strings.TrimPrefix(second, "data: "), " ")
	run, err = strconv.Atoi(of)
	return number, run, err == nil && attempt == id
}

// Retries returns how many attempts were sent, and how many runs beyond the first
// there were.
func (l *Ledger) Retries() (attempts, again int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		again += max(len(a.Executions)-1, 0)
	}
	return len(l.attempts), again
}
