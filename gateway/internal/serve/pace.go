package serve

import (
	"math"
	"sync/atomic"
	"time"
)

// Figures of a pace.
const (
	// firstPace is the time per token that is expected before any was seen.
	firstPace = 10 * time.Millisecond
	// paceWeight is the weight of a new stream in the mean.
	paceWeight = 0.1
	// paceMargin covers streams that are slower than the mean.
	paceMargin = 1.5
	// paceTokens is how many tokens a stream must have to count.
	paceTokens = 20
)

// pace is the mean time that upstreams take for a generated token.
type pace struct {
	nanos atomic.Uint64 // bits of a float; zero before the first stream
}

// saw counts a stream of so many tokens.
func (p *pace) saw(tokens int, took time.Duration) {
	if tokens < paceTokens {
		return
	}
	each := float64(took) / float64(tokens)
	old := math.Float64frombits(p.nanos.Load())
	if old > 0 {
		each = old + paceWeight*(each-old)
	}
	// A value that another stream writes at the same time may be lost; the mean
	// does not need each of them.
	p.nanos.Store(math.Float64bits(each))
}

// expect returns how long so many tokens may take.
func (p *pace) expect(tokens int) time.Duration {
	each := math.Float64frombits(p.nanos.Load())
	if each <= 0 {
		each = float64(firstPace)
	}
	return time.Duration(paceMargin * each * float64(tokens))
}
