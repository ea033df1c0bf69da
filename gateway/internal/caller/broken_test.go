package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/gateway/internal/sidecar"
)

// brokenDispatcher passes on a head and some events, unless begun is false, and then fails.
type brokenDispatcher struct {
	begun bool
}

// Do implements Dispatcher.
func (d brokenDispatcher) Do(_ context.Context, _ *sidecar.Job, sink sidecar.Sink) *problem.Problem {
	p := problem.New(http.StatusBadGateway, problem.UpstreamFailed, "the upstream failed while it ran the request")
	if !d.begun {
		return p
	}
	if sink.Head(answer.Head{
		Status: http.StatusOK,
	}) == nil {
		_ = sink.Data([]byte("id: 1\n\n")) // the test sees what is missing
	}
	return p
}

// TestFailureIsNoPartOfAnswer guards against the text of a failure in the middle of an answer
// that has begun, and against one that then ends as if it were complete.
func TestFailureIsNoPartOfAnswer(t *testing.T) {
	for name, begun := range map[string]bool{
		"begun":     true,
		"not begun": false,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := New(nil, brokenDispatcher{
				begun: begun,
			}, telemetry.NewMetrics())
			job := &sidecar.Job{
				Team:    &controller.Team{},
				Service: &controller.Service{},
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.run(w, r, job) }))
			defer server.Close()
			response, err := http.Get(server.URL)
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if begun {
				is.Equal(response.StatusCode, http.StatusOK)
				is.True(err != nil) // the answer breaks off
				is.Equal(string(body), "id: 1\n\n")
				return
			}
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadGateway)
		})
	}
}
