package room

import "time"

const (
	// priorCost is the processor time of a request up to its placement, in seconds of a whole
	// core, that is assumed before a gateway was busy. It includes what the host charges the
	// process beyond its own time.
	priorCost = 0.0005
	// waitFraction is the fraction of a request's objective that it may wait in the gateway.
	// The rest is left to the way to and from the gateway and to the upstream.
	waitFraction = 0.25
	// teamFactor is the number of waiting requests that a team may have for each place that
	// is left. A team that floods the gateway takes two thirds of the places.
	teamFactor = 2
	// decisionWait is the longest time that a gateway waits for the leader's decision on a
	// request before it decides itself. So long may requests wait whatever their objective: it
	// takes no processor time, and is the same in other gateways.
	decisionWait = 60 * time.Millisecond
	// minPlaces is the least number of waiting requests that a gateway admits. So many wait
	// for their decisions at once also in a gateway that is not busy.
	minPlaces = 8
	// rateInterval is the length of the intervals over which the rate is measured. Some
	// requests pass through a slow gateway within it.
	rateInterval = 100 * time.Millisecond
	// rateWeight is the weight of a new measurement in the moving average of the rate, which
	// thus spans about a third of a second.
	rateWeight = 0.3
	// busyPart is the part of the processor share in use above which a gateway is busy. It is
	// half of what a gateway reaches that has more to do than it can.
	busyPart = 0.25
	// returnWeight is the weight of the prior rate in each interval in which the gateway was
	// not busy. A rate that was measured under other conditions is forgotten within seconds.
	returnWeight = 0.05
	// crowdedFraction is the fraction of the places of which more are taken in a crowded
	// gateway.
	crowdedFraction = 0.5
)

// Bounds of the delay that RetryAfter returns.
const (
	// minReturnFraction is the least delay as a fraction of the longest one. Callers that
	// return are spread over the rest, so that they don't come at once again.
	minReturnFraction = 0.4
	// patienceFraction is the fraction of the time that a caller has left for which it waits
	// at most before it returns.
	patienceFraction = 1.0 / 3
)

// RetryAfter returns the delay after which a caller that a crowded gateway refused is to
// return. A caller that returns at once mostly reaches the same gateway, and doubles its load.
// The longest delay is the time within which the load balancer notices that a gateway rests,
// at most what a caller with the given time left waits. The number u, from 0 to 1, is drawn at
// random.
func RetryAfter(notice, left time.Duration, u float64) time.Duration {
	longest := min(notice, time.Duration(patienceFraction*float64(left)))
	return time.Duration((minReturnFraction + (1-minReturnFraction)*u) * float64(max(longest, 0)))
}

// Gate bounds the requests that wait in a gateway: those that were admitted and neither
// sent to an upstream nor refused.
type Gate struct {
	prior float64 // requests a second
	rate  float64 // requests a second that the gateway passes on while it is busy
	part  float64 // of the processor share in use

	waiting int
	refused bool           // since the last call of TakeRefused
	teams   map[string]int // waiting requests by team; only positive numbers

	// The current interval: its beginning, the requests passed on in it and the least number
	// of waiting requests.
	start  time.Time
	passed int
	least  int
}

// NewGate returns the gate of a gateway that may use the given fraction of a processor core,
// which must be over zero.
func NewGate(share float64) *Gate {
	prior := share / priorCost
	return &Gate{
		prior: prior,
		rate:  prior,
		teams: make(map[string]int),
	}
}

// SetPart records the part of the processor share that is in use.
func (g *Gate) SetPart(part float64) { g.part = part }

// Admit reports whether a request of a team with the given objective is admitted, and counts
// it as waiting if it is. Leave must be called for each admitted request.
func (g *Gate) Admit(now time.Time, team string, objective time.Duration) bool {
	g.measure(now)
	places := g.places(objective)
	if g.waiting >= places || g.teams[team] >= teamFactor*(places-g.waiting) {
		g.refused = true
		return false
	}
	g.waiting++
	g.teams[team]++
	return true
}

// Leave records that an admitted request of a team is sent to an upstream, or was refused
// with a placement decision.
func (g *Gate) Leave(now time.Time, team string) {
	g.passed++
	g.Withdraw(now, team)
}

// Withdraw records that an admitted request of a team was refused or has ended without a
// placement decision. Such a request takes little processor time, so that it does not count
// in the rate.
func (g *Gate) Withdraw(now time.Time, team string) {
	g.measure(now)
	g.waiting--
	g.least = min(g.least, g.waiting)
	if g.teams[team]--; g.teams[team] <= 0 {
		delete(g.teams, team)
	}
}

// Wait returns the time that a request would wait if it were admitted now.
func (g *Gate) Wait(now time.Time) time.Duration {
	g.measure(now)
	return time.Duration(float64(g.waiting) / g.rate * float64(time.Second))
}

// TakeRefused reports whether requests were refused since its last call.
func (g *Gate) TakeRefused() bool {
	refused := g.refused
	g.refused = false
	return refused
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return g.waiting }

// Crowded reports whether more than crowdedFraction of the places are taken that requests
// with the given objective have.
func (g *Gate) Crowded(now time.Time, objective time.Duration) bool {
	g.measure(now)
	return float64(g.waiting) > crowdedFraction*float64(g.places(objective))
}

// places returns the number of requests that may wait at once for requests with the given
// objective to be passed on in time.
func (g *Gate) places(objective time.Duration) int {
	wait := max(waitFraction*objective.Seconds(), decisionWait.Seconds())
	return max(int(wait*g.rate), minPlaces)
}

// measure ends the current interval if it has lasted long enough. The rate follows what was
// passed on in intervals in which requests waited all the time and the gateway was busy. In
// others it could have passed on more; requests may have waited for the leader.
func (g *Gate) measure(now time.Time) {
	elapsed := now.Sub(g.start)
	if elapsed < rateInterval {
		return
	}
	if g.start.IsZero() {
		g.start = now
		return
	}
	measured := float64(g.passed) / elapsed.Seconds()
	switch {
	case g.least >= minPlaces/2 && g.part >= busyPart:
		g.rate += rateWeight * (measured - g.rate)
	case measured > g.rate:
		g.rate = measured
	default:
		g.rate += returnWeight * (g.prior - g.rate)
	}
	g.rate = max(g.rate, 1)
	g.start = now
	g.passed = 0
	g.least = g.waiting
}
