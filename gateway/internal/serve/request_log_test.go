package serve

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/trace"
)

// logLines collects the log of a handler.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// waitFor waits until the last line about a request has the message last, and returns all
// lines about the request.
func (l *logLines) waitFor(t *testing.T, request, last string) []map[string]any {
	t.Helper()
	for range 100 {
		l.mu.Lock()
		whole := l.text.String()
		l.mu.Unlock()
		var out []map[string]any
		for line := range strings.Lines(whole) {
			var fields map[string]any
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatal(err)
			}
			if fields[trace.KeyRequest] == request {
				out = append(out, fields)
			}
		}
		if len(out) > 0 && out[len(out)-1]["msg"] == last {
			return out
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("log has no line %q about request %q:\n%s", last, request, l.text.String())
	return nil
}

// captureLog replaces the request log of a handler by one that is collected.
func captureLog(g *testGateway) *logLines {
	l := &logLines{}
	g.handler.trace = trace.New(slog.New(slog.NewJSONHandler(l, nil)))
	return l
}

// sendAs sends a request with an identifier and ignores the result, as some answers break
// off.
func (g *testGateway) sendAs(path, id string) {
	_, _, _ = g.send(path, "Baobabpaddle-Attempt-Id", id, "X-Api-Key", "key-1")
}

// TestRefusalLogsDecisionInputs refuses a request for its team's share. A single line must
// carry the inputs of the decision.
func TestRefusalLogsDecisionInputs(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	g.scheduler.refuse = &dispatch.Decision{
		Reason:     dispatch.OverShare,
		RetryAfter: 250 * time.Millisecond,
		Inputs: dispatch.Inputs{
			DecidedBy: dispatch.ByLeader,
			Usable:    3,
			Admitted:  500,
			Share:     400,
		},
	}
	l := captureLog(g)
	g.sendAs("/chat/", "r1")
	got := l.waitFor(t, "r1", trace.MsgRefused)
	is.Equal(len(got), 1)
	is.Equal(got[0][trace.KeyReason], string(dispatch.OverShare))
	is.Equal(got[0][trace.KeyStatus], 429.0)
	is.Equal(got[0][trace.KeyTeam], "north")
	is.Equal(got[0][trace.KeyConfiguration], 3.0)
	is.Equal(got[0][trace.KeyDecidedBy], dispatch.ByLeader)
	is.Equal(got[0][trace.KeyTeamAdmitted], 500.0)
	is.Equal(got[0][trace.KeyTeamShare], 400.0)
	is.Equal(got[0][trace.KeyRetryAfter], 250.0)
}

// TestBrokenStreamLogsEveryStep breaks a stream off that may not be resumed, after its
// first event. All steps must be logged, also when the number of requests per second
// that are logged completely is used up.
func TestBrokenStreamLogsEveryStep(t *testing.T) {
	is := is.New(t)
	fine := reply("200 OK", stamp, "ok")
	half := eventStream("id: 1\ndata: one\n\n", false)
	g := newTestGateway(t, func(w net.Conn, r *http.Request) bool {
		if r.URL.Path == "/look/" {
			return fine(w, r)
		}
		return half(w, r)
	})
	l := captureLog(g)
	for range 2 * trace.FullRequestsPerSecond {
		g.sendAs("/look/", "other")
	}
	g.sendAs("/draft/", "r1")
	got := l.waitFor(t, "r1", trace.MsgEnded)
	is.Equal(len(got), 4)
	for i, msg := range []string{trace.MsgPlaced, trace.MsgTried, trace.MsgNotRetried, trace.MsgEnded} {
		is.Equal(got[i]["msg"], msg)
	}
	is.Equal(got[1][trace.KeyOutcome], truncated.String())
	is.Equal(got[1][trace.KeyLastEvent], "1")
	is.True(got[1][trace.KeyCause] != nil)
	is.Equal(got[2][trace.KeyReason], "may_have_run")
	is.Equal(got[3][trace.KeyOutcome], truncated.String())
	is.Equal(got[3][trace.KeyTries], 1.0)
}

// TestEarlyRefusalLogsRequestID refuses a request before its headers are read. Its log
// line must still carry its identifier.
func TestEarlyRefusalLogsRequestID(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	g.scheduler.view.Table = nil
	l := captureLog(g)
	g.sendAs("/chat/", "r1")
	got := l.waitFor(t, "r1", trace.MsgRefused)
	is.Equal(got[0][trace.KeyReason], "not_ready")
	is.Equal(got[0][trace.KeyStatus], 503.0)
}
