package dispatch

import (
	"sync"
	"time"
)

// ThrottleKey names the requests that a Throttle limits together.
type ThrottleKey struct {
	Team  string
	Route string
}

// Constants of a Throttle.
const (
	// maxThrottled is the number of keys at which expired ones are evicted.
	maxThrottled = 1024
	// throttleTimeout is the time after the last refusal at which a key expires, so that
	// its requests are no longer limited.
	throttleTimeout = time.Second
	// initialLimit is the number of decisions that may be in flight after a refusal. Each
	// decision with a zero RefuseFor raises the limit by one.
	initialLimit = 2
)

// throttleState is the state of a key that was refused recently.
type throttleState struct {
	refuseUntil time.Time // time before which all requests are refused
	lastRefused time.Time // time of the last refusal
	inFlight    int       // requests that await the leader's decision
	limit       int       // largest value of inFlight
}

// Throttle limits how many of a gateway's requests ask the leader for a decision, so that
// a flood does not load the leader with requests that it would refuse. After a refusal the
// gateway refuses the same team on the same route by itself for a short time. Then it asks
// for few decisions at once, and for more as requests are placed or refused for another
// reason than the team's share. The zero value is ready for use. It is safe for concurrent
// use.
type Throttle struct {
	mu   sync.Mutex
	keys map[ThrottleKey]*throttleState
}

// Allow reports whether the leader may be asked about a request. If the key is throttled,
// it counts the request as in flight until RecordDecision is called.
func (t *Throttle) Allow(key ThrottleKey, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.keys[key]
	if state == nil {
		return true
	}
	if now.Sub(state.lastRefused) > throttleTimeout && state.inFlight == 0 {
		delete(t.keys, key)
		return true
	}
	if now.Before(state.refuseUntil) || state.inFlight >= state.limit {
		return false
	}
	state.inFlight++
	return true
}

// Refuses reports whether the key was refused within throttleTimeout and no request of it was
// placed since. It counts nothing.
func (t *Throttle) Refuses(key ThrottleKey, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.keys[key]
	return state != nil && state.limit == initialLimit && now.Sub(state.lastRefused) <= throttleTimeout
}

// RecordDecision records the decision on a request that Allow let pass. RefuseFor is
// Decision.RefuseFor: the time for which all requests of the key are refused, or zero. It
// is also zero for a request that ended before a decision.
func (t *Throttle) RecordDecision(key ThrottleKey, now time.Time, refuseFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.keys[key]
	if state == nil && refuseFor == 0 {
		return
	}
	if state == nil {
		t.evict(now)
		state = &throttleState{}
		if t.keys == nil {
			t.keys = make(map[ThrottleKey]*throttleState)
		}
		t.keys[key] = state
	}
	state.inFlight = max(state.inFlight-1, 0)
	if refuseFor == 0 {
		state.limit++
		return
	}
	state.limit = initialLimit
	state.lastRefused = now
	state.refuseUntil = now.Add(refuseFor)
}

// evict removes expired keys if there are maxThrottled or more. The caller must hold mu.
func (t *Throttle) evict(now time.Time) {
	if len(t.keys) < maxThrottled {
		return
	}
	for key, state := range t.keys {
		if now.Sub(state.lastRefused) > throttleTimeout {
			delete(t.keys, key)
		}
	}
}
