package serve

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// TestAnswerResetDuringUploadIsNotWhole guards against an upstream that answers a long upload at
// once, before it reads its body, with a success without a length, and resets the connection
// between two writes of the upload: the part of the answer looked whole.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	bodies := map[string]string{
		"/book/":  strings.Repeat("0123456789", 80),
		"/look/":  strings.Repeat("0123456789", 80),
		"/draft/": event1 + event2 + event3,
		"/chat/":  event1 + event2 + event3,
	}
	for path, body := range bodies {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			elsewhere := reply("200 OK", stamp, body)
			if path == "/chat/" {
				elsewhere = eventStream(body, true)
			}
			g := newTestGateway(t, nil, elsewhere)
			g.handler.budget.settings.Slack = 1000
			g.handler.bodies.limit = 2 * longRequestBytes
			g.scheduler.view.Table.Configuration.Limits.MaxBodyBytes = longRequestBytes
			var round atomic.Int64
			g.scheduler.view.Upstreams["a"] = dispatch.Upstream{
				ID: "a",
				Address: startEarly(t, func() earlyAnswer {
					return earlyAnswer{
						path:    path,
						header:  "Connection: close\r\n",
						framing: byClose,
						ending:  byAbort,
						body:    body,
						sent:    len(event1 + event2), // whole events, which look like the end
						pause:   time.Duration(round.Load()%5) * time.Millisecond,
					}
				}),
				Version: "v1",
			}
			for range 40 {
				round.Add(1)
				g.scheduler.next = 0
				response, got, err := g.sendBody(path, strings.Repeat("b", longRequestBytes), "X-Api-Key", "key-1")
				complete := err == nil && response.StatusCode == http.StatusOK
				if complete && got != body {
					t.Errorf("the caller got %d of %d bytes that look whole", len(got), len(body))
				}
				if path == "/look/" {
					is.True(complete) // from the other upstream
				}
			}
		})
	}
}
