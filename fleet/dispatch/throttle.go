package dispatch

import (
	"sync"
	"time"
)

// ThrottleKey is what a refusal holds for.
type ThrottleKey struct {
	Team  string
	Route string
}

// Figures of a Quiet.
const (
	// maxQuiet is how many teams and routes are remembered before old ones are
	// dropped.
	maxQuiet = 1024
	// quietMemory is how long after a refusal questions are still few.
	quietMemory = time.Second
	// firstQuestions is how many questions may be open after a refusal; each that is
	// answered with a place allows another one.
	firstQuestions = 2
)

// asking is what a gateway remembers of a team on a route that was refused.
type asking struct {
	until time.Time // until when all are refused
	last  time.Time // the last refusal
	open  int       // questions that wait for an answer
	most  int       // how many may
}

// Throttle keeps a flood from asking the leader about each of its requests: after a
// refusal the gateway refuses the same team on the same route by itself for a
// short time, and then asks about few of them at once, about more as they are
// given places. It is safe for use by several goroutines.
type Throttle struct {
	mu   sync.Mutex
	keys map[ThrottleKey]*asking
}

// Allow reports whether the leader may be asked, and counts the question.
func (q *Throttle) Allow(key ThrottleKey, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.keys[key]
	if a == nil {
		return true
	}
	if now.Sub(a.last) > quietMemory && a.open == 0 {
		delete(q.keys, key)
		return true
	}
	if now.Before(a.until) || a.open >= a.most {
		return false
	}
	a.open++
	return true
}

// RecordDecision takes the answer to a question: for how long all are refused, or zero
// for a place.
func (q *Throttle) RecordDecision(key ThrottleKey, now time.Time, refusedFor time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.keys[key]
	if a == nil && refusedFor == 0 {
		return
	}
	if a == nil {
		q.drop(now)
		a = &asking{}
		if q.keys == nil {
			q.keys = make(map[ThrottleKey]*asking)
		}
		q.keys[key] = a
	}
	a.open = max(a.open-1, 0)
	if refusedFor == 0 {
		a.most++
		return
	}
	a.most = firstQuestions
	a.last = now
	a.until = now.Add(refusedFor)
}

// drop makes room; mu is held.
func (q *Throttle) drop(now time.Time) {
	if len(q.keys) < maxQuiet {
		return
	}
	for key, a := range q.keys {
		if now.Sub(a.last) > quietMemory {
			delete(q.keys, key)
		}
	}
}
