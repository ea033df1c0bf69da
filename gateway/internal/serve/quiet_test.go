package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

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
		Reason:    dispatch.OverShare,
		RefuseFor: time.Minute,
	}
	is.Equal(ask(), http.StatusTooManyRequests) // the leader's refusal
	is.Equal(b.fleet.refused["north"], 700)
	is.Equal(ask(), http.StatusTooManyRequests) // the gateway's own
	is.Equal(b.fleet.refused["north"], 1400)
}
