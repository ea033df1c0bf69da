package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// TestLocalRefusalsAreReported: the fleet hears of a team's requests that this gateway
// refuses without asking, because the team was refused a moment ago or because the
// gateway is short of processor time.
func TestLocalRefusalsAreReported(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t, eventStream(event1, true))
	ask := func() int {
		response, _, err := b.send("/draft/", "X-Api-Key", "key-1", "Baobabpaddle-Token-Count", "700,80")
		is.NoErr(err)
		return response.StatusCode
	}
	is.Equal(ask(), http.StatusOK)
	is.Equal(len(b.scheduler.refused), 0)
	b.handler.lag.observe(time.Hour)
	for ask() != http.StatusServiceUnavailable {
		b.handler.lag.observe(time.Hour) // a part is let in
	}
	is.Equal(b.scheduler.refused["north"], 700)
	b.handler.lag.mean.Store(0)
	b.scheduler.refuse = &dispatch.Decision{
		Reason:    dispatch.OverShare,
		RefuseFor: time.Minute,
	}
	is.Equal(ask(), http.StatusTooManyRequests) // the leader's refusal
	is.Equal(b.scheduler.refused["north"], 700)
	is.Equal(ask(), http.StatusTooManyRequests) // the gateway's own
	is.Equal(b.scheduler.refused["north"], 1400)
}
