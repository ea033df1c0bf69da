package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceCoversSlowStreams sees streams of which one in ten is three times slower, as
// where some upstreams are slow: what a drain expects of the next one covers those.
func TestPaceCoversSlowStreams(t *testing.T) {
	is := is.New(t)
	const tokens = 400
	var p tokenPace
	for i := range 200 {
		took := 2 * time.Second
		if i%10 == 0 {
			took *= 3
		}
		p.observe(tokens, took)
	}
	is.True(p.estimate(tokens) >= 6*time.Second)
	// When all are fast again, so is what is expected.
	for range 400 {
		p.observe(tokens, 2*time.Second)
	}
	is.True(p.estimate(tokens) < 4*time.Second)
}
