package share

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWaitTimeMeasuresThroughout(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var w waitTime
	w.set(at(0), true)
	w.set(at(500), false)
	w.set(at(510), true)
	is.True(w.take(at(1000))) // but for 10 ms
	w.set(at(1100), false)
	is.True(!w.take(at(2000)))
	is.True(w.recent(at(2000)))
	is.True(!w.recent(at(9000)))
	is.True(!w.take(at(3000))) // not at all
}
