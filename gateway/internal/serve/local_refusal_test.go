package serve

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// TestLocalRefusalsAreReported checks that the scheduler is told of a team's requests that
// the gateway refuses without a placement decision, because the team was refused shortly
// before or because the gateway sheds load.
func TestLocalRefusalsAreReported(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, eventStream(event1, true))
	send := func() int {
		response, _, err := g.send("/draft/", "X-Api-Key", "key-1", "Baobabpaddle-Token-Count", "700,80")
		is.NoErr(err)
		return response.StatusCode
	}
	is.Equal(send(), http.StatusOK)
	is.Equal(len(g.scheduler.refused), 0)
	g.handler.lag.observe(time.Hour)
	for send() != http.StatusServiceUnavailable {
		g.handler.lag.observe(time.Hour) // maxShedFraction is below 1, so some requests are not shed
	}
	is.Equal(g.scheduler.refused["north"], 700)
	g.handler.lag.mean.Store(0)
	g.scheduler.refuse = &dispatch.Decision{
		Reason:    dispatch.OverShare,
		RefuseFor: time.Minute,
	}
	is.Equal(send(), http.StatusTooManyRequests) // refused by the scheduler
	is.Equal(g.scheduler.refused["north"], 700)
	is.Equal(send(), http.StatusTooManyRequests) // refused by the gateway
	is.Equal(g.scheduler.refused["north"], 1400)
}
