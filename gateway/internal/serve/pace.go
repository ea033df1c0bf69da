package serve

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// defaultPace is the time per token assumed before the first stream.
	defaultPace = 10 * time.Millisecond
	// paceRiseWeight and paceFallWeight are the weights of a new stream that is slower or
	// faster than the estimate. Their ratio keeps the estimate near the slowest tenth of
	// the streams.
	paceRiseWeight = 0.5
	paceFallWeight = 0.01
	// paceMargin is the factor that covers streams slower than the estimate.
	paceMargin = 1.5
	// minPaceTokens is the number of tokens below which a stream is ignored.
	minPaceTokens = 20
)

// tokenPace estimates the time that upstreams need per generated token in their slow
// streams. It is safe for concurrent use.
type tokenPace struct {
	// nanos holds the bits of a float64 in nanoseconds; zero before the first stream.
	nanos atomic.Uint64
}

// observe updates the estimate with a stream that brought the given number of tokens.
func (p *tokenPace) observe(tokens int, took time.Duration) {
	if tokens < minPaceTokens {
		return
	}
	perToken := float64(took) / float64(tokens)
	old := math.Float64frombits(p.nanos.Load())
	if old > 0 {
		weight := paceFallWeight
		if perToken > old {
			weight = paceRiseWeight
		}
		perToken = old + weight*(perToken-old)
	}
	// A concurrent update may be lost, since the estimate does not need every stream.
	p.nanos.Store(math.Float64bits(perToken))
}

// estimate returns an upper bound on the time for the given number of tokens that few
// streams exceed.
func (p *tokenPace) estimate(tokens int) time.Duration {
	perToken := math.Float64frombits(p.nanos.Load())
	if perToken <= 0 {
		perToken = float64(defaultPace)
	}
	return time.Duration(paceMargin * perToken * float64(tokens))
}
