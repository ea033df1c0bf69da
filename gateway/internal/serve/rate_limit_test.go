package serve

import (
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// TestRateLimitsAreReported has upstreams state rate limits in answers and rejections, in
// malformed ones, and from an address that another upstream has taken over.
func TestRateLimitsAreReported(t *testing.T) {
	is := is.New(t)
	const notRun = "Baobabpaddle-Not-Executed: 1\r\n"
	g := newTestGateway(t,
		reply("503 Service Unavailable", notRun+"Server-Limit: 2.5\r\n", ""),
		reply("200 OK", stamp+"Server-Limit: 7\r\n", "yes"))
	response, _, err := g.send("/look/")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.Equal(len(g.scheduler.limits), 2)
	is.Equal(g.scheduler.limits[0].Upstream, "a")
	is.Equal(g.scheduler.limits[0].Limit.PerSecond, 2.5)
	is.Equal(g.scheduler.limits[1].Limit.PerSecond, 7.0)
	is.True(g.scheduler.limits[1].Request != 0)

	for _, answer := range []script{
		reply("421 Misdirected Request", "Server-Limit: 2\r\n", ""),
		reply("200 OK", stamp+"Server-Limit: NaN\r\n", "yes"),
		reply("200 OK", stamp, "yes"), // no limit is known that could have ended
	} {
		g = newTestGateway(t, answer)
		_, _, err = g.send("/book/")
		is.NoErr(err)
		is.Equal(len(g.scheduler.limits), 0)
	}

	g = newTestGateway(t, reply("200 OK", stamp, "yes"))
	g.scheduler.view.RateLimits = map[string]float64{"a": 2}
	_, _, err = g.send("/book/")
	is.NoErr(err)
	is.Equal(len(g.scheduler.limits), 1)
	is.Equal(g.scheduler.limits[0].Limit, dispatch.RateLimit{}) // it has ended
}
