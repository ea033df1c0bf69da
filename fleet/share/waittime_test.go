package share

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaitTimeMeasuresThroughout checks that a short gap does not end a wait throughout the
// time between two reports, and that recent waits are remembered for DefaultIdleAfter.
func TestWaitTimeMeasuresThroughout(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var w waitTime
	w.set(at(0), true)
	w.set(at(500), false)
	w.set(at(510), true)
	is.True(w.take(at(1000))) // all but 10 ms
	w.set(at(1100), false)
	is.True(!w.take(at(2000)))
	is.True(w.waitedRecently(at(2000)))
	is.True(!w.waitedRecently(at(9000)))
	is.True(!w.take(at(3000))) // did not wait
}
