package dispatch

import (
	"math"
	"time"
)

// Constants of the estimation of prefill speeds.
const (
	// priorTokensPerMilli is the prefill speed, in tokens per millisecond, that is assumed
	// before the first observation.
	priorTokensPerMilli = 57.0
	// minSpeedFactor and maxSpeedFactor bound an observed speed, relative to the prior.
	minSpeedFactor = 1.0 / 32
	maxSpeedFactor = 4.0
	// minObservedTokens is the least backlog, a request's own tokens included, whose
	// prefill counts as an observation of the speed. Shorter ones observe the overhead.
	minObservedTokens = 1500.0
	// speedWeight is the least weight of an observation in the average of an engine's
	// speed, and serviceWeight in that of its service.
	speedWeight   = 0.1
	serviceWeight = 0.01
	// overheadWeight is the weight of an observation in the average overhead.
	overheadWeight = 0.02
	// speedDecay is the time constant with which the estimate of an engine's speed returns
	// to its service's typical speed while nothing is observed.
	speedDecay = 5 * time.Second
)

// speed is the estimated prefill speed of one engine.
type speed struct {
	tokensPerMilli float64   // zero before the first observation
	observed       time.Time // time of the last observation
	observations   int       // number since the engine's start
}

// serviceSpeed is the estimated prefill speed of a service's engines.
type serviceSpeed struct {
	mean         float64 // tokens per millisecond, zero before the first observation
	observations int
	// overhead is the part of the time from placing a request to the report of its first
	// event that is not prefill.
	overhead time.Duration
}

// typical returns the mean speed of the service's engines in tokens per millisecond, or
// the prior before the first observation.
func (s *serviceSpeed) typical() float64 {
	if s == nil || s.mean == 0 {
		return priorTokensPerMilli
	}
	return s.mean
}

// observe updates the estimates after an engine took some time to prefill tokens. Fewer
// than minObservedTokens update the overhead; more update the speeds of the engine and of
// the service.
func (s *serviceSpeed) observe(now time.Time, e *engine, tokens float64, took time.Duration) {
	if tokens < minObservedTokens {
		overhead := took - prefillTime(tokens, e.speed.at(now, s.typical()))
		s.overhead = max(s.overhead+time.Duration(overheadWeight*float64(overhead-s.overhead)), 0)
		return
	}
	millis := float64(took-s.overhead) / float64(time.Millisecond)
	fastest := maxSpeedFactor * priorTokensPerMilli
	observed := min(max(tokens/max(millis, tokens/fastest), minSpeedFactor*priorTokensPerMilli), fastest)
	own := e.speed.at(now, s.typical())
	e.speed.observations++
	s.observations++
	e.speed.tokensPerMilli = own + weight(speedWeight, e.speed.observations)*(observed-own)
	e.speed.observed = now
	s.mean = s.typical() + weight(serviceWeight, s.observations)*(observed-s.typical())
}

// weight returns the weight of the n-th observation in a running average. The first ones
// and the prior have equal weights; later ones have the least weight.
func weight(least float64, n int) float64 { return max(least, 1/float64(n+1)) }

// at returns the estimated speed at a time in tokens per millisecond. It decays from the
// last estimate to the typical speed.
func (s speed) at(now time.Time, typical float64) float64 {
	if s.tokensPerMilli == 0 {
		return typical
	}
	remaining := math.Exp(-now.Sub(s.observed).Seconds() / speedDecay.Seconds())
	return typical + (s.tokensPerMilli-typical)*remaining
}

// serviceSpeed returns the speed estimates of a service.
func (s *Scheduler) serviceSpeed(service string) *serviceSpeed {
	speed := s.speeds[service]
	if speed == nil {
		speed = &serviceSpeed{}
		s.speeds[service] = speed
	}
	return speed
}

// prefillTime returns the time to prefill tokens at a speed in tokens per millisecond.
func prefillTime(tokens, tokensPerMilli float64) time.Duration {
	return time.Duration(tokens / tokensPerMilli * float64(time.Millisecond))
}
