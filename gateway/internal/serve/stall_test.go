package serve

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// TestStalledAnswerWaitsForAnotherUpstream guards against answers that are cut, or fail, since
// their slow upstream was abandoned before another one was found: an answer is given up only for
// an upstream that takes the request.
func TestStalledAnswerWaitsForAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		name, path string
		slow       script
		body       string
	}{
		{"within a stream", "/chat/", func(w net.Conn, r *http.Request) bool {
			eventStream(event1, false)(w, r)
			time.Sleep(time.Duration(1.3 * pauseFraction * float64(minStreamWait)))
			_, _ = io.WriteString(w, strconv.FormatInt(int64(len(event2)), 16)+"\r\n"+event2+"\r\n0\r\n\r\n")
			return true
		}, event1 + event2},
		{"before a stream", "/chat/", func(w net.Conn, r *http.Request) bool {
			time.Sleep(time.Duration(1.3 * firstEventFraction * float64(minStreamWait)))
			return eventStream(event1, true)(w, r)
		}, event1},
		{"before an answer", "/look/", func(w net.Conn, r *http.Request) bool {
			time.Sleep(600 * time.Millisecond)
			return reply("200 OK", stamp, "yes")(w, r)
		}, "yes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, c.slow)
			response, body, err := g.send(c.path, "X-Api-Key", "key-1")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, c.body)
			is.Equal(g.requestCount(), 1)
			is.Equal(g.scheduler.ended, []dispatch.Outcome{dispatch.Answered})
		})
	}
}
