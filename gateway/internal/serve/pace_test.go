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
	var p pace
	for i := range 200 {
		took := 2 * time.Second
		if i%10 == 0 {
			took *= 3
		}
		p.saw(tokens, took)
	}
	is.True(p.expect(tokens) >= 6*time.Second)
	// When all are fast again, so is what is expected.
	for range 400 {
		p.saw(tokens, 2*time.Second)
	}
	is.True(p.expect(tokens) < 4*time.Second)
}
