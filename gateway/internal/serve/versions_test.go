package serve

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// setVersions sets the software versions of the upstreams a, b, … of a gateway.
func (g *testGateway) setVersions(versions ...string) {
	for i, version := range versions {
		id := string(rune('a' + i))
		u := g.scheduler.view.Upstreams[id]
		u.Version = version
		g.scheduler.view.Upstreams[id] = u
	}
}

// TestStreamGoesOnAtItsSoftwareVersion guards against a stream that the gateway resumes, within
// one answer, at an upstream of another software version than the one that began it.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, eventStream(event1, false), eventStream(event2, true), eventStream(event2, true))
	g.setVersions("v1", "v2", "v1")
	g.scheduler.view.Table.Route("a", "/chat/").MaxUpstreams = 3
	_, body, err := g.send("/chat/", "X-Api-Key", "key-1")
	is.NoErr(err)
	is.Equal(body, event1+event2)
	is.Equal(g.requestCount(), 2)
	is.Equal(g.received[1].Header.Get("Baobabpaddle-Expect-Instance"), "c")

	g = newTestGateway(t, eventStream(event1, false), eventStream(event2, true))
	g.setVersions("v1", "v2")
	_, body, err = g.send("/chat/", "X-Api-Key", "key-1")
	is.True(err != nil) // no upstream of the version is left
	is.Equal(body, event1)
	is.Equal(g.requestCount(), 1)
}

// TestReturningCallerMeetsNoOtherSoftwareVersion guards against a stream that its caller takes up
// again and that goes on at another software version: neither is the version known here, nor has
// the scheduler stated it.
func TestReturningCallerMeetsNoOtherSoftwareVersion(t *testing.T) {
	for name, header := range map[string][]string{
		"attempt and event": {"Resumes", "9c41", "Last-Event-Id", "1"},
		"attempt only":      {"Resumes", "9c41"},
		"event only":        {"Last-Event-Id", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, eventStream(event2, true))
			g.setVersions("v2")
			response, _, err := g.send("/chat/", append([]string{"X-Api-Key", "key-1"}, header...)...)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(g.requestCount(), 0)
		})
	}
}
