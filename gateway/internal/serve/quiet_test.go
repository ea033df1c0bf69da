package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// TestFloodAsksLittle: a team sends 2,000 requests a second on one route and has
// room for none, for a second; then the leader has places again.
func TestFloodAsksLittle(t *testing.T) {
	is := is.New(t)
	var q quiet
	key := quietKey{
		team:  "t",
		route: "r",
	}
	const quietTime, roundTrip = 40 * time.Millisecond, 4 * time.Millisecond
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
			q.answered(key, now, pending[0].refused)
			pending = pending[1:]
		}
		if !q.ask(key, now) {
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
	var q quiet
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	flood, other := quietKey{
		team: "flood",
	}, quietKey{
		team: "other",
	}
	q.answered(flood, now, time.Minute)
	is.True(!q.ask(flood, now))
	for range 100 {
		is.True(q.ask(other, now))
	}
	for i := range 3 * maxQuiet {
		q.answered(quietKey{
			team:  "t",
			route: string(rune(i)),
		}, now.Add(time.Duration(i)*10*time.Millisecond), time.Millisecond)
	}
	is.True(len(q.keys) <= maxQuiet)
}

// TestRefusedUnaskedIsTold: the fleet hears of a team's requests that this gateway
// refuses without asking, because the team was refused a moment ago or because the
// gateway is short of processor time.
func TestRefusedUnaskedIsTold(t *testing.T) {
	is := is.New(t)
	b := newBed(t, stream(event1, true))
	ask := func() int {
		response, _, err := b.ask("/draft/", "X-Api-Key", "key-1", "Baobabpaddle-Token-Count", "700,80")
		is.NoErr(err)
		return response.StatusCode
	}
	is.Equal(ask(), http.StatusOK)
	is.Equal(len(b.fleet.refused), 0)
	b.handler.lag.saw(time.Hour)
	for ask() != http.StatusServiceUnavailable {
		b.handler.lag.saw(time.Hour) // a part is let in
	}
	is.Equal(b.fleet.refused["north"], 700)
	b.handler.lag.mean.Store(0)
	b.fleet.refuse = &dispatch.Decision{
		Reason: dispatch.OverShare,
		Quiet:  time.Minute,
	}
	is.Equal(ask(), http.StatusTooManyRequests) // the leader's refusal
	is.Equal(b.fleet.refused["north"], 700)
	is.Equal(ask(), http.StatusTooManyRequests) // the gateway's own
	is.Equal(b.fleet.refused["north"], 1400)
}
