package soak

import (
	"fmt"
	"sync"
	"time"
)

// Kind is what a request allows.
type Kind string

// The kinds of requests.
const (
	Book  Kind = "book"  // runs at most once
	Look  Kind = "look"  // may be repeated
	Draft Kind = "draft" // a stream that runs at most once
	Chat  Kind = "chat"  // a stream that may go on elsewhere
)

// repeatable reports whether a request may run more than once.
func (k Kind) repeatable() bool { return k == Look || k == Chat }

// stream reports whether the answer is a series of events.
func (k Kind) stream() bool { return k == Chat || k == Draft }

// Execution is one upstream's work on an attempt.
type Execution struct {
	Upstream string
	Start    time.Time
	// ResumedAfter is the event that a stream goes on after.
	ResumedAfter int
	// Body is the whole answer of a request that is no stream.
	Body string
	// Complete tells that all of the answer was written, at End, by an upstream that
	// did not spoil it.
	Complete bool
	End      time.Time
}

// Attempt is one request of a caller.
type Attempt struct {
	ID      string
	Kind    Kind
	Gateway int
	Key     string
	Sent    time.Time
	// Events is how many the whole stream has.
	Events int

	// What came back. Status is zero without an answer.
	Status   int
	Complete bool // complete by its framing
	Body     string
	TimedOut bool // the caller closed the connection by itself
	Err      string
	Ended    time.Time

	Executions []*Execution
}

// Ledger records all attempts and runs, and what is wrong with them.
type Ledger struct {
	mu       sync.Mutex
	attempts map[string]*Attempt
	open     map[string]bool // of attempts that are not judged for good
	unasked  int
	revoked  map[string]time.Time // of keys: from when they must not run any more
	broken   []string
	total    map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		attempts: make(map[string]*Attempt),
		open:     make(map[string]bool),
		revoked:  make(map[string]time.Time),
		total:    make(map[string]int),
	}
}

// RecordSent records an attempt before it is sent.
func (l *Ledger) RecordSent(a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.ID] = a
	l.open[a.ID] = true
}

// RecordEnd records what became of an attempt.
func (l *Ledger) RecordEnd(a *Attempt, change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	a.Ended = time.Now()
	switch {
	case a.Status == 0:
		l.total["none"]++
	case a.Status < 300 && !a.Complete:
		l.total["cut"]++
	default:
		l.total[fmt.Sprint(a.Status)]++
	}
}

// RecordExecution records a run; nil if no caller sent the attempt.
func (l *Ledger) RecordExecution(id string, r *Execution) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a == nil {
		l.unasked++
		l.breaks("unasked", "an upstream ran %q, which no caller sent", id)
		return nil
	}
	if len(a.Executions) > 0 && !a.Kind.repeatable() {
		l.breaks("twice", "%s %s ran at %s and again at %s", a.Kind, id, a.Executions[0].Upstream, r.Upstream)
	}
	if from, ok := l.revoked[a.Key]; ok && a.Sent.After(from) {
		l.breaks("revoked", "%s %s ran with a key that was taken away %s before it was sent", a.Kind, id, a.Sent.Sub(from))
	}
	a.Executions = append(a.Executions, r)
	return a
}

// RecordAnswer records that a run's answer was written.
func (l *Ledger) RecordAnswer(r *Execution, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Complete = whole
	r.End = time.Now()
}

// RecordRevocation records from when a key must not run any more.
func (l *Ledger) RecordRevocation(key string, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = from
}

// RecordViolation records that something is wrong.
func (l *Ledger) RecordViolation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(rule, format, args...)
}

// breaks is Break for those that hold the lock.
func (l *Ledger) breaks(rule, format string, args ...any) {
	l.broken = append(l.broken, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// Violations returns what is wrong, in order.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Outcomes returns how many attempts ended how.
func (l *Ledger) Outcomes() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.total))
	for k, n := range l.total {
		out[k] = n
	}
	return out
}
