package dispatch

import (
	"math"
	"time"
)

// Constants of the estimation of response times of plain services.
const (
	// responseDecay is the time constant with which observations lose weight. A change of an
	// upstream's speed is seen to nine tenths within two seconds.
	responseDecay = 800 * time.Millisecond
	// priorObservations is the weight of the prior, in observations, so that an estimate
	// returns to the prior while nothing is observed.
	priorObservations = 1.0
	// maxResponseRatio bounds an observation relative to the estimate before it, so that
	// a single response of a burdened gateway or of an unusually large request counts for
	// little. A slower upstream is still followed within a few observations.
	maxResponseRatio = 4.0
	// responseDeviation is the standard deviation of response times of one upstream
	// relative to their mean, and minDeviations the number of standard errors below which a
	// difference between upstreams is not used.
	responseDeviation = 0.75
	minDeviations     = 2.0
	// typicalWeight is the least weight of an observation in the typical response time of a
	// class.
	typicalWeight = 1.0 / 64
)

// decayingMean is a mean of observations whose weights decay, and of a prior of 1.
type decayingMean struct {
	sum    float64
	weight float64 // number of observations, each reduced by its decay
	at     time.Time
	// lifetime is the time constant with which weights decay; zero stands for
	// responseDecay.
	lifetime time.Duration
}

// decay returns the mean with all weights reduced to a time.
func (m decayingMean) decay(now time.Time) decayingMean {
	if age := now.Sub(m.at); age > 0 {
		lifetime := m.lifetime
		if lifetime == 0 {
			lifetime = responseDecay
		}
		factor := math.Exp(-age.Seconds() / lifetime.Seconds())
		m.sum *= factor
		m.weight *= factor
		m.at = now
	}
	return m
}

// observe adds an observation.
func (m *decayingMean) observe(now time.Time, x float64) {
	*m = m.decay(now)
	m.sum += x
	m.weight++
}

// estimate returns the mean at a time.
func (m decayingMean) estimate(now time.Time) float64 {
	m = m.decay(now)
	return (priorObservations + m.sum) / (priorObservations + m.weight)
}

// significant returns the mean at a time with its distance from 1 reduced by minDeviations
// standard errors, and 1 if the distance is less.
func (m decayingMean) significant(now time.Time) float64 {
	m = m.decay(now)
	distance := (m.sum - m.weight) / (priorObservations + m.weight)
	margin := minDeviations * responseDeviation / math.Sqrt(priorObservations+m.weight)
	switch {
	case distance > margin:
		return 1 + distance - margin
	case distance < -margin:
		return 1 + distance + margin
	}
	return 1
}

// typicalTime is the response time of a class of requests at upstreams that don't queue, as
// a mean over the upstreams of a service.
type typicalTime struct {
	mean         time.Duration
	observations int
}

// observe adds an observation.
func (t *typicalTime) observe(took time.Duration) {
	t.observations++
	t.mean += time.Duration(max(typicalWeight, 1/float64(t.observations)) * float64(took-t.mean))
}
