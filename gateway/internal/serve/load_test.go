package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOverloadedGatewayBacksOff: a flood arrives at one gateway, goes elsewhere while it
// rests and comes back when it is ready. Each rest is longer than the last.
func TestOverloadedGatewayBacksOff(t *testing.T) {
	is := is.New(t)
	l := NewLoad(0.2)
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	var rests []time.Duration
	var began time.Time
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(loadInterval) {
		used := 190 * time.Millisecond / 5 // nearly all of a fifth of a core
		if l.Overloaded() {
			used = time.Millisecond
		}
		was := l.Overloaded()
		l.observe(now, loadInterval, used)
		switch {
		case l.Overloaded() && !was:
			began = now
		case was && !l.Overloaded():
			rests = append(rests, now.Sub(began).Truncate(time.Second))
		}
	}
	is.Equal(rests[0], firstBackoff)
	is.Equal(rests[1], 2*firstBackoff)
	is.True(len(rests) < 6)
}

// TestLoadBelowBoundIsAccepted never rests below the bound, whatever a moment brings.
func TestLoadBelowBoundIsAccepted(t *testing.T) {
	is := is.New(t)
	l := NewLoad(0.5)
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	for i := range 1000 {
		used := 30 * time.Millisecond
		if i%10 == 0 {
			used = 100 * time.Millisecond // one reading at the whole share
		}
		l.observe(now.Add(time.Duration(i)*loadInterval), loadInterval, used)
		is.True(!l.Overloaded())
	}
}
