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
	// maxThrottled is how many teams and routes are remembered before old ones are
	// dropped.
	maxThrottled = 1024
	// throttleTimeout is how long after a refusal questions are still few.
	throttleTimeout = time.Second
	// initialLimit is how many questions may be open after a refusal; each that is
	// answered with a place allows another one.
	initialLimit = 2
)

// throttleState is what a gateway remembers of a team on a route that was refused.
type throttleState struct {
	refuseUntil time.Time // until when all are refused
	lastRefused time.Time // the last refusal
	inFlight    int       // questions that wait for an answer
	limit       int       // how many may
}

// Throttle keeps a flood from asking the leader about each of its requests: after a
// refusal the gateway refuses the same team on the same route by itself for a
// short time, and then asks about few of them at once, about more as they are
// given places. It is safe for use by several goroutines.
type Throttle struct {
	mu   sync.Mutex
	keys map[ThrottleKey]*throttleState
}

// Allow reports whether the leader may be asked, and counts the question.
func (q *Throttle) Allow(key ThrottleKey, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.keys[key]
	if a == nil {
		return true
	}
	if now.Sub(a.lastRefused) > throttleTimeout && a.inFlight == 0 {
		delete(q.keys, key)
		return true
	}
	if now.Before(a.refuseUntil) || a.inFlight >= a.limit {
		return false
	}
	a.inFlight++
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
		q.evict(now)
		a = &throttleState{}
		if q.keys == nil {
			q.keys = make(map[ThrottleKey]*throttleState)
		}
		q.keys[key] = a
	}
	a.inFlight = max(a.inFlight-1, 0)
	if refusedFor == 0 {
		a.limit++
		return
	}
	a.limit = initialLimit
	a.lastRefused = now
	a.refuseUntil = now.Add(refusedFor)
}

// evict makes room; mu is held.
func (q *Throttle) evict(now time.Time) {
	if len(q.keys) < maxThrottled {
		return
	}
	for key, a := range q.keys {
		if now.Sub(a.lastRefused) > throttleTimeout {
			delete(q.keys, key)
		}
	}
}
