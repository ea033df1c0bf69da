package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestThrottleLimitsFlood: a team sends 2,000 requests per second on one route. The
// leader refuses all for a second, and then places them.
func TestThrottleLimitsFlood(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
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
	allowed := [2]int{}
	for i := range 4000 {
		now := start.Add(time.Duration(i) * time.Second / 2000)
		for len(pending) > 0 && !now.Before(pending[0].at) {
			throttle.RecordDecision(key, now, pending[0].refused)
			pending = pending[1:]
		}
		if !throttle.Allow(key, now) {
			continue
		}
		a := answer{
			at: now.Add(roundTrip),
		}
		if i < 2000 {
			allowed[0]++
			a.refused = refuseForTime
		} else {
			allowed[1]++
		}
		pending = append(pending, a)
	}
	t.Logf("allowed %d while the leader refused, %d afterwards", allowed[0], allowed[1])
	is.True(allowed[0] <= 100)  // about 25 times two, and the first ones
	is.True(allowed[1] >= 1500) // nearly all, soon after the leader places requests
}

// TestThrottleSparesOtherTeams never limits a team that was not refused, and bounds the
// number of keys that are remembered.
func TestThrottleSparesOtherTeams(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	flood, other := ThrottleKey{
		Team: "flood",
	}, ThrottleKey{
		Team: "other",
	}
	throttle.RecordDecision(flood, now, time.Minute)
	is.True(!throttle.Allow(flood, now))
	for range 100 {
		is.True(throttle.Allow(other, now))
	}
	for i := range 3 * maxThrottled {
		throttle.RecordDecision(ThrottleKey{
			Team:  "t",
			Route: string(rune(i)),
		}, now.Add(time.Duration(i)*10*time.Millisecond), time.Millisecond)
	}
	is.True(len(throttle.keys) <= maxThrottled)
}
