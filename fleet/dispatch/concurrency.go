package dispatch

import "time"

// limitMemory is the time constant with which the observations lose weight that the limit of
// an upstream is found by. Load rises and falls within seconds, and the limit needs
// observations of low and of high load.
const limitMemory = 4 * time.Second

// minLimitFraction is the least fraction of an upstream's slots that its limit can be. It is
// found by response times on both sides of it.
const minLimitFraction = 0.5

// slotLoad is what is observed of one upstream of a plain service. The zero value is that
// of an upstream of which nothing was observed.
type slotLoad struct {
	// slowness is the response time relative to the typical time of the request's class.
	slowness decayingMean
	// below is the same of requests that began with at most minLimitFraction of the slots in
	// use, above of those that began with more and without a queue.
	below, above decayingMean
}

// queueFactor returns the response time with a number of running requests, relative to that
// without a queue, of an upstream that serves slots requests at a time in order of arrival.
func queueFactor(running float64, slots int) float64 {
	if slots <= 0 {
		return 1
	}
	return max(1, running/float64(slots))
}

// observe adds a response time, relative to the typical one. Running is the number of
// requests with which the request began, or zero if it is not known.
func (l *slotLoad) observe(now time.Time, ratio, running float64, slots int) {
	ratio = min(ratio/queueFactor(running, slots), maxResponseRatio*l.slowness.estimate(now))
	l.slowness.observe(now, ratio)
	switch {
	case running == 0 || running > float64(slots):
	case running <= minLimitFraction*float64(slots):
		l.below.lifetime = limitMemory
		l.below.observe(now, ratio)
	default:
		l.above.lifetime = limitMemory
		l.above.observe(now, ratio)
	}
}

// limit returns the number of requests at a time beyond which the upstream serves no more of
// them in a given time: its slots, or less by the ratio of the response times below
// minLimitFraction of the slots and above. It is at least one.
func (l *slotLoad) limit(now time.Time, slots int) float64 {
	gradient := l.below.significant(now) / l.above.significant(now)
	return max(float64(slots)*min(1, max(gradient, minLimitFraction)), 1)
}
