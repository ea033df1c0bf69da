package dispatch

import "time"

// engine is what a Core knows of one upstream.
type engine struct {
	Upstream
	// listed is false once the upstream has left the platform's list.
	listed bool
	// prefillBacklog is the sum of prompt tokens of requests that were sent here and have
	// not begun to be answered.
	prefillBacklog float64
	// running is how many requests are here.
	running int
	// cache are the prompt pieces that the engine is taken to keep.
	cache *prefixCache
	// speed is how fast it reads prompts.
	speed speed
	// failures counts those since the last answer.
	failures int
	// suspendedUntil is the time before which it gets no requests.
	suspendedUntil time.Time
	// leavingUntil and restUntil are the times before which it wants no requests:
	// because it stops, and from the gateway that this core decides for.
	leavingUntil time.Time
	backoffUntil time.Time
	// lastChoiceUntil is the time before which it is the last choice.
	lastChoiceUntil time.Time
	// probing is true while a single request tests it after a suspension.
	probing bool
}

// restarted reports whether the list shows another start of the upstream: it is back
// after it was gone or draining, or elsewhere.
func (e *engine) restarted(u Upstream) bool {
	return !e.listed || e.Draining && !u.Draining || e.Address != u.Address
}

// restart forgets what the start before has said and kept.
func (e *engine) restart(keeps float64) {
	e.leavingUntil = time.Time{}
	e.backoffUntil = time.Time{}
	e.lastChoiceUntil = time.Time{}
	e.speed = speed{}
	e.cache = &prefixCache{
		capacity: keeps,
	}
}

// usable reports whether the upstream takes a request now.
func (e *engine) usable(now time.Time, repeatable bool) bool {
	if !e.listed || e.Draining || now.Before(e.suspendedUntil) || e.declines(now) {
		return false
	}
	if e.suspendedUntil.IsZero() {
		return true
	}
	// After a suspension one request at a time shows whether it works again: one that may
	// be repeated if such requests come.
	return !e.probing && (repeatable || !now.Before(e.suspendedUntil.Add(idempotentProbeWait)))
}
