package model

import (
	"time"

	"baobabpaddle/fleet/share"
)

// prefixCacheSize is the number of prompt prefixes that an engine's cache holds. The
// least recently used one is evicted.
const prefixCacheSize = 48

// execution is a request on an engine.
type execution struct {
	request   *request
	id        uint64 // the queue's identifier of the grant
	team      int
	remaining float64 // units of cost still to be served
	served    float64
	prefill   time.Duration
	decoding  bool // prefill is over
	version   int  // of the scheduled end; events of older versions are void
	dropped   bool
}

// engine is a model of an upstream: a batch of slots, each served at the same rate,
// and an internal queue for requests that are admitted while the batch is full.
type engine struct {
	sim     *simulation
	id      share.UpstreamID
	zone    int
	batch   int
	rate    float64 // units per second of each slot at speed 1
	speed   float64
	slots   []*execution
	queue   []*execution
	updated time.Time
	cache   []uint64
}

// admit starts a request in a free slot, or queues it inside the engine.
func (e *engine) admit(r *execution) {
	if len(e.slots) < e.batch {
		e.begin(r)
		return
	}
	e.queue = append(e.queue, r)
}

// begin places a request in a slot and schedules the end of its prefill.
func (e *engine) begin(r *execution) {
	e.progress()
	e.slots = append(e.slots, r)
	r.prefill = e.prefillTime(r.request)
	e.sim.clock.after(r.prefill, func() {
		if r.dropped {
			return
		}
		e.progress()
		r.decoding = true
		e.sim.recordFirstToken(r)
		e.schedule(r)
	})
}

// prefillTime returns the duration of the prefill, an eighth of the full one if the
// prefix is cached, and marks the prefix as most recently used.
func (e *engine) prefillTime(r *request) time.Duration {
	full := e.sim.plan.Prefill
	if r.prefix == 0 {
		return full
	}
	for i, p := range e.cache {
		if p == r.prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), p)
			e.sim.cacheHits++
			return full / 8
		}
	}
	e.sim.cacheMisses++
	e.cache = append(e.cache, r.prefix)
	if len(e.cache) > prefixCacheSize {
		e.cache = e.cache[1:]
	}
	return full
}

// schedule schedules the end of a request at the present speed, in place of the one
// scheduled before.
func (e *engine) schedule(r *execution) {
	r.version++
	version := r.version
	seconds := r.remaining / (e.rate * e.speed)
	e.sim.clock.after(time.Duration(seconds*float64(time.Second)), func() {
		if r.version == version && !r.dropped {
			e.finish(r)
		}
	})
}

// progress serves every decoding request up to the present time.
func (e *engine) progress() {
	now := e.sim.clock.now
	seconds := now.Sub(e.updated).Seconds()
	e.updated = now
	for _, r := range e.slots {
		if !r.decoding {
			continue
		}
		units := min(r.remaining, seconds*e.rate*e.speed)
		r.remaining -= units
		r.served += units
		e.sim.recordService(r.team, units)
	}
}

// setSpeed sets the speed, 1 being the declared one, and reschedules what is running.
func (e *engine) setSpeed(speed float64) {
	e.progress()
	e.speed = speed
	for _, r := range e.slots {
		if r.decoding {
			e.schedule(r)
		}
	}
}

// finish ends a request and gives its slot to the next one of the internal queue.
func (e *engine) finish(r *execution) {
	e.progress()
	e.sim.recordService(r.team, r.remaining) // the remainder of rounding
	r.remaining = 0
	for i, p := range e.slots {
		if p == r {
			e.slots = append(e.slots[:i], e.slots[i+1:]...)
			break
		}
	}
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.begin(next)
	}
	e.sim.complete(e, r)
}

// drop ends all requests without an answer, as a restart of the sidecar does, and
// returns them.
func (e *engine) drop() []*execution {
	e.progress()
	lost := append(e.slots, e.queue...)
	for _, r := range lost {
		r.dropped = true
	}
	e.slots = nil
	e.queue = nil
	return lost
}
