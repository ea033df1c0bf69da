package serve

import (
	"math"
	"sync/atomic"
	"time"
)

// Figures of a pace.
const (
	// defaultPace is the time per token that is expected before any was seen.
	defaultPace = 10 * time.Millisecond
	// paceRiseWeight and paceFall are the weights of a new stream that is slower or faster
	// than what is expected, so that this stays near the slowest tenth.
	paceRiseWeight = 0.5
	paceFallWeight = 0.01
	// paceMargin covers streams that are slower still.
	paceMargin = 1.5
	// minPaceTokens is how many tokens a stream must have to count.
	minPaceTokens = 20
)

// tokenPace is the time that upstreams take for a generated token of their slow streams.
type tokenPace struct {
	nanos atomic.Uint64 // bits of a float; zero before the first stream
}

// observe counts a stream of so many tokens.
func (p *tokenPace) observe(tokens int, took time.Duration) {
	if tokens < minPaceTokens {
		return
	}
	each := float64(took) / float64(tokens)
	old := math.Float64frombits(p.nanos.Load())
	if old > 0 {
		weight := paceFallWeight
		if each > old {
			weight = paceRiseWeight
		}
		each = old + weight*(each-old)
	}
	// A value that another stream writes at the same time may be lost; not each of
	// them is needed.
	p.nanos.Store(math.Float64bits(each))
}

// estimate returns how long so many tokens may take.
func (p *tokenPace) estimate(tokens int) time.Duration {
	each := math.Float64frombits(p.nanos.Load())
	if each <= 0 {
		each = float64(defaultPace)
	}
	return time.Duration(paceMargin * each * float64(tokens))
}
