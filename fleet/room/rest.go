package room

import "time"

const (
	// partWeight is the weight of a new reading in the moving average of the processor time in
	// use. With five readings a second it spans about a second.
	partWeight = 0.25
	// overloadPart is the part of the processor share from which a gateway is overloaded. It is
	// well below 1 because the process does not see all processor time that its host charges
	// it.
	overloadPart = 0.5
	// crowdedReadings is the number of successive readings with requests refused for lack of
	// room after which a gateway is crowded.
	crowdedReadings = 2
	// restTime is how long a gateway rests that knows its zone. The load balancer notices
	// within two seconds, so that callers go elsewhere for at least two.
	restTime = 4 * time.Second
	// firstBackoff and maxBackoff bound how long a gateway rests that knows only itself. A
	// rest within backoffMemory of the end of the last one takes twice as long.
	firstBackoff  = 4 * time.Second
	maxBackoff    = 30 * time.Second
	backoffMemory = 20 * time.Second
	// viewLifetime is how long a view of the zone is used. The leader sends two a second.
	viewLifetime = 1500 * time.Millisecond
)

// Rest decides when a gateway reports to the load balancer that it is not ready, so that
// callers turn to other gateways of its zone. A gateway with a recent View rests as soon as it
// is crowded or overloaded, if the leader permits it. One without rests only if it is
// overloaded, and longer each time, since many gateways may do the same.
type Rest struct {
	part    float64 // moving average of the part of the processor share in use
	refused int     // successive readings with refused requests
	since   time.Time
	backoff time.Duration // length of the last rest
	until   time.Time     // end of the last rest
	resting bool
	view    View
	viewAt  time.Time
}

// SetView records what the leader told about the zone.
func (r *Rest) SetView(now time.Time, v View) {
	r.view = v
	r.viewAt = now
}

// Resting reports whether the gateway is not ready.
func (r *Rest) Resting() bool { return r.resting }

// Until returns the end of the last rest.
func (r *Rest) Until() time.Time { return r.until }

// Part returns the part of the processor share that is in use.
func (r *Rest) Part() float64 { return r.part }

// CrowdedFor returns for how long requests have been refused in each reading.
func (r *Rest) CrowdedFor(now time.Time) time.Duration {
	if r.refused == 0 {
		return 0
	}
	return max(now.Sub(r.since), time.Millisecond)
}

// Alone reports whether the gateway has no recent view of its zone.
func (r *Rest) Alone(now time.Time) bool {
	return r.viewAt.IsZero() || now.Sub(r.viewAt) > viewLifetime
}

// Observe adds a reading: the part of the processor share that was in use since the last one,
// and whether requests were refused for lack of room. It starts or ends a rest.
func (r *Rest) Observe(now time.Time, part float64, refused bool) {
	r.part += partWeight * (part - r.part)
	switch {
	case !refused:
		r.refused = 0
	case r.refused == 0:
		r.refused, r.since = 1, now
	default:
		r.refused++
	}
	if r.resting {
		if now.After(r.until) {
			r.resting = false
			r.part = 0
		}
		return
	}
	overloaded := r.part >= overloadPart
	if r.Alone(now) {
		if overloaded {
			r.restAlone(now)
		}
		return
	}
	if (overloaded || r.refused >= crowdedReadings) && r.view.MayRest {
		r.start(now, restTime)
	}
}

// restAlone starts a rest that takes longer than the last one if that was recent.
func (r *Rest) restAlone(now time.Time) {
	if now.Sub(r.until) > backoffMemory {
		r.start(now, firstBackoff)
		return
	}
	r.start(now, min(max(2*r.backoff, firstBackoff), maxBackoff))
}

func (r *Rest) start(now time.Time, length time.Duration) {
	r.backoff = length
	r.until = now.Add(length)
	r.resting = true
}
