package dispatch

import (
	"math"
	"time"
)

// Figures of learned speeds.
const (
	// priorTokensPerMilli is the prompt tokens that an engine is taken to read in a
	// millisecond before any was observed.
	priorTokensPerMilli = 57.0
	// slowestPart and fastestPart bound a learned speed, in parts of the prior.
	slowestPart = 1.0 / 32
	fastestPart = 4.0
	// learnTokens is how many tokens an engine must have read for a request, those
	// before it included, for the time to tell its speed.
	learnTokens = 1500.0
	// speedWeight is the weight of one observation in an engine's speed, and
	// serviceWeight in that of its service.
	speedWeight   = 0.1
	serviceWeight = 0.01
	// besideWeight is the weight of one observation in the time beside the reading.
	besideWeight = 0.02
	// speedMemory is the time in which an engine's own speed, if nothing is observed,
	// fades to a third of its distance from its service's.
	speedMemory = 5 * time.Second
)

// speed is how fast prompts are read, in tokens a millisecond, as observed.
type speed struct {
	tokensPerMilli float64 // zero before the first observation
	observed       time.Time
	observations   int // since the engine's start
}

// speeds are those of a service.
type speeds struct {
	mean         float64 // zero before the first observation
	observations int
	// beside is what passes between the sending of a request and the news of its first
	// event, beside the reading.
	beside time.Duration
}

// typical returns the speed of the service's engines.
func (s *speeds) typical() float64 {
	if s == nil || s.mean == 0 {
		return priorTokensPerMilli
	}
	return s.mean
}

// observe takes how long an engine took to read tokens.
func (s *speeds) observe(now time.Time, e *engine, tokens float64, took time.Duration) {
	if tokens < learnTokens {
		over := took - reading(tokens, e.speed.at(now, s.typical()))
		s.beside = max(s.beside+time.Duration(besideWeight*float64(over-s.beside)), 0)
		return
	}
	millis := float64(took-s.beside) / float64(time.Millisecond)
	most := fastestPart * priorTokensPerMilli
	seen := min(max(tokens/max(millis, tokens/most), slowestPart*priorTokensPerMilli), most)
	own := e.speed.at(now, s.typical())
	e.speed.observations++
	s.observations++
	e.speed.tokensPerMilli = own + weight(speedWeight, e.speed.observations)*(seen-own)
	e.speed.observed = now
	s.mean = s.typical() + weight(serviceWeight, s.observations)*(seen-s.typical())
}

// weight returns the weight of the n-th observation: the first ones count alike, with the
// prior as one of them.
func weight(least float64, n int) float64 { return max(least, 1/float64(n+1)) }

// at returns the speed at a time, which fades to the typical one.
func (s speed) at(now time.Time, typical float64) float64 {
	if s.tokensPerMilli == 0 {
		return typical
	}
	kept := math.Exp(-now.Sub(s.observed).Seconds() / speedMemory.Seconds())
	return typical + (s.tokensPerMilli-typical)*kept
}

// speedsOf returns what is known of the speeds of a service.
func (c *Scheduler) speedsOf(service string) *speeds {
	s := c.speeds[service]
	if s == nil {
		s = &speeds{}
		c.speeds[service] = s
	}
	return s
}

// reading estimates how long prompt tokens take at a speed.
func reading(tokens, tokensPerMilli float64) time.Duration {
	return time.Duration(tokens / tokensPerMilli * float64(time.Millisecond))
}
