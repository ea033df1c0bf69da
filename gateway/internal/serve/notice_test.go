package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// TestUpstreamNoticesAreReported has upstreams announce their shutdown and ask for
// backoff, in answers that are forwarded and in rejections. The scheduler must be told of
// each, and a rejected request must be sent elsewhere if its route allows that.
func TestUpstreamNoticesAreReported(t *testing.T) {
	is := is.New(t)
	const notRun = "Baobabpaddle-Not-Executed: 1\r\n"
	g := newTestGateway(t,
		reply("503 Service Unavailable", notRun+"Server-Leaving: 1\r\nRetry-After: 1.5\r\n", ""),
		reply("200 OK", stamp+"Server-Leaving: 1\r\n", "yes"))
	response, body, err := g.send("/look/")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.Equal(body, "yes")
	is.Equal(g.scheduler.notices, []dispatch.Notice{
		{
			Upstream: "a",
			Leaving:  true,
			Backoff:  1500 * time.Millisecond,
		},
		{
			Upstream: "b",
			Leaving:  true,
		},
	})

	g = newTestGateway(t, reply("421 Misdirected Request", "Server-Leaving: 1\r\n", ""))
	_, _, err = g.send("/book/")
	is.NoErr(err)
	is.Equal(len(g.scheduler.notices), 0) // the notice came from an upstream that took over the address
}
