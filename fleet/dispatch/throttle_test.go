package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFloodAsksLittle: a team sends 2,000 requests a second on one route and has
// room for none, for a second; then the leader has places again.
func TestFloodAsksLittle(t *testing.T) {
	is := is.New(t)
	var q Throttle
	key := ThrottleKey{
		Team:  "t",
		Route: "r",
	}
	const roundTrip = 4 * time.Millisecond
	type answer struct {
		at      time.Time
		refused time.Duration
	}
	var pending []answer
	start := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	asked := [2]int{}
	for i := range 4000 {
		now := start.Add(time.Duration(i) * time.Second / 2000)
		for len(pending) > 0 && !now.Before(pending[0].at) {
			q.RecordDecision(key, now, pending[0].refused)
			pending = pending[1:]
		}
		if !q.Allow(key, now) {
			continue
		}
		a := answer{
			at: now.Add(roundTrip),
		}
		if i < 2000 {
			asked[0]++
			a.refused = quietTime
		} else {
			asked[1]++
		}
		pending = append(pending, a)
	}
	t.Logf("asked %d while there was no room, %d afterwards", asked[0], asked[1])
	is.True(asked[0] <= 100)  // some 25 times two, and the first ones
	is.True(asked[1] >= 1500) // nearly all, soon after there is room
}

// TestOthersAskFreely never stands in the way of a team that is not refused.
func TestOthersAskFreely(t *testing.T) {
	is := is.New(t)
	var q Throttle
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	flood, other := ThrottleKey{
		Team: "flood",
	}, ThrottleKey{
		Team: "other",
	}
	q.RecordDecision(flood, now, time.Minute)
	is.True(!q.Allow(flood, now))
	for range 100 {
		is.True(q.Allow(other, now))
	}
	for i := range 3 * maxQuiet {
		q.RecordDecision(ThrottleKey{
			Team:  "t",
			Route: string(rune(i)),
		}, now.Add(time.Duration(i)*10*time.Millisecond), time.Millisecond)
	}
	is.True(len(q.keys) <= maxQuiet)
}
