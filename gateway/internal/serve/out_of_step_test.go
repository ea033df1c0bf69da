package serve

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// takeUp are the headers of a request that continues a stream after its first event.
var takeUp = []string{"X-Api-Key", "key-1", "Resumes", "9c41", "Last-Event-Id", "1"}

// TestPlacementOlderThanTheListIsNotSent guards against a gateway that stood still, or whose leader
// has an older list, and that sends a continuation to an upstream which its list shows with
// another software version by then.
func TestPlacementOlderThanTheListIsNotSent(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, eventStream(event2, true))
	g.scheduler.version = "v1"
	g.scheduler.placing = func() { g.setVersions("v2") }
	response, _, err := g.send("/chat/", takeUp...)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(g.requestCount(), 0)

	g = newTestGateway(t, eventStream(event1, false), eventStream(event2, true)) // within one answer
	g.scheduler.placing = func() {
		if len(g.scheduler.placed) == 2 {
			g.setVersions("v1", "v2")
		}
	}
	_, body, err := g.send("/chat/", "X-Api-Key", "key-1")
	is.True(err != nil)
	is.Equal(body, event1)
	is.Equal(g.requestCount(), 1)
}

// TestPlacementAtAnotherUpstreamsAddress guards against a continuation that an old list leads to
// the address of an upstream which has ended: the one that has the address now refuses it.
func TestPlacementAtAnotherUpstreamsAddress(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, reply("421 Misdirected Request", "", "no\n\n"))
	g.scheduler.version = "v1"
	response, _, err := g.send("/chat/", takeUp...)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(g.requestCount(), 1)
	is.Equal(g.received[0].Header.Get("Baobabpaddle-Expect-Instance"), "a")
}

// TestContinuationOfRestartedUpstreamIsNotForwarded guards against the first event of an upstream
// that the list shows with another software version than when the request was sent.
func TestContinuationOfRestartedUpstreamIsNotForwarded(t *testing.T) {
	is := is.New(t)
	var g *testGateway
	g = newTestGateway(t, func(w net.Conn, r *http.Request) bool {
		g.setVersions("v2")
		return eventStream(event2, true)(w, r)
	})
	g.scheduler.version = "v1"
	response, _, err := g.send("/chat/", takeUp...)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadGateway) // it may have run
}
