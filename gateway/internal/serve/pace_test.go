package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceCoversSlowStreams has one stream in ten take three times as long, as with a few
// slow upstreams. The estimate that a drain uses must cover the slow streams, or they
// would be cut off, and fall again once all streams are fast.
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
	for range 400 {
		p.observe(tokens, 2*time.Second)
	}
	is.True(p.estimate(tokens) < 4*time.Second)
}
