package dispatch

import (
	"math/rand/v2"
	"time"
)

// event is something that happens in a model at a time.
type event struct {
	at  time.Time
	run func()
}

// eventQueue is the simulated clock of a model and what happens later in it.
type eventQueue struct {
	now    time.Time
	events []event
}

// at has run called at a time.
func (q *eventQueue) at(t time.Time, run func()) {
	q.events = append(q.events, event{
		at:  t,
		run: run,
	})
}

// advance runs the events that are due, in the order in which they were added. Those that
// they add run with the next call at the earliest.
func (q *eventQueue) advance() {
	kept := q.events[:0]
	var ready []event
	for _, e := range q.events {
		if e.at.After(q.now) {
			kept = append(kept, e)
		} else {
			ready = append(ready, e)
		}
	}
	q.events = kept
	for _, e := range ready {
		e.run()
	}
}

// play lets a time pass and calls step, then the events that are due, once a millisecond.
func (q *eventQueue) play(span time.Duration, step func()) {
	for end := q.now.Add(span); q.now.Before(end); q.now = q.now.Add(time.Millisecond) {
		step()
		q.advance()
	}
}

// perSecond reports whether an event of a Poisson process of the given rate occurs within
// one millisecond.
func perSecond(random *rand.Rand, rate float64) bool { return random.Float64() < rate/1000 }
