package serve

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/trace"
)

// modelRequest are the headers of a request to a model engine with two shared segments.
var modelRequest = []string{
	"X-Api-Key", "key-1",
	"Baobabpaddle-Token-Count", "1460,80",
	"Baobabpaddle-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}

// crashing returns a script of an upstream that sends the head of its answer, and some
// events, and then ends with its listener.
func crashing(g *testGateway, id, events string) script {
	return func(w net.Conn, r *http.Request) bool {
		g.mu.Lock()
		g.listeners[id].Close()
		g.mu.Unlock()
		return eventStream(events, false)(w, r)
	}
}

// reports returns the outcomes that were reported to the scheduler.
func (g *testGateway) reports() []dispatch.Outcome {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	return append([]dispatch.Outcome(nil), g.scheduler.ended...)
}

// TestCrashedUpstreamIsReported checks that the scheduler learns whether an exchange broke
// off because the upstream crashed.
func TestCrashedUpstreamIsReported(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, nil, eventStream(event1, false), eventStream(event2, true))
	g.setScript("a", crashing(g, "a", ""))
	_, body, err := g.send("/chat/", modelRequest...)
	is.True(err != nil)
	is.Equal(body, event1)
	is.Equal(g.reports(), []dispatch.Outcome{dispatch.Crashed, dispatch.Broken})
}

// TestErrorAnswerIsNoEvidence guards against an upstream's error, such as a timeout in its
// queue, that counts as an answer to the prompt.
func TestErrorAnswerIsNoEvidence(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, reply("504 Gateway Timeout", stamp, "late"))
	_, _, err := g.send("/draft/", modelRequest...)
	is.NoErr(err)
	is.Equal(g.reports(), []dispatch.Outcome{dispatch.AnsweredError})
}

// TestQuarantinedRequestIsRefused checks what a caller gets whose prompt has a quarantined
// segment: at once, that it was not run, and whether a retry can help.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	for _, c := range []struct {
		retry  time.Duration
		status int
		header string
	}{
		{0, http.StatusBadRequest, ""},
		{400 * time.Millisecond, http.StatusServiceUnavailable, "0.400"},
	} {
		is := is.New(t)
		g := newTestGateway(t, eventStream(event1, true))
		g.scheduler.refuse = &dispatch.Decision{
			Reason:     dispatch.Quarantined,
			RetryAfter: c.retry,
			Inputs: dispatch.Inputs{
				DecidedBy: dispatch.ByLeader,
				Quarantine: &quarantine.Record{
					Subject: quarantine.Subject{
						ID: 0x91bd3f06,
					},
					Rounds:  4,
					Crashes: 6,
					TrialIn: 3 * time.Second,
				},
			},
		}
		l := captureLog(g)
		response, body, err := g.send("/chat/", append([]string{"Baobabpaddle-Attempt-Id", "q1"}, modelRequest...)...)
		is.NoErr(err)
		is.Equal(response.StatusCode, c.status)
		is.Equal(response.Header.Get("Retry-After"), c.header)
		is.True(len(body) > 0)
		is.Equal(g.requestCount(), 0)
		line := l.waitFor(t, "q1", trace.MsgRefused)[0]
		is.Equal(line[trace.KeyReason], string(dispatch.Quarantined))
		is.Equal(line[trace.KeySegment], "91bd3f06")
		is.Equal(line[trace.KeyCrashes], 6.0)
		is.Equal(line[trace.KeyTrialIn], 3000.0)
		is.Equal(line[trace.KeySegments], "5c1e07a2,91bd3f06")
	}
}

// TestRetryOfQuarantinedRequestMayHaveRun checks that a request which was at an upstream
// that crashed is not answered with a guarantee that it was not run.
func TestRetryOfQuarantinedRequestMayHaveRun(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, nil)
	g.setScript("a", func(w net.Conn, r *http.Request) bool {
		g.scheduler.mu.Lock()
		g.scheduler.refuse = &dispatch.Decision{
			Reason: dispatch.Quarantined,
		}
		g.scheduler.mu.Unlock()
		return hangUp(w, r)
	})
	response, _, err := g.send("/chat/", modelRequest...)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(g.requestCount(), 1)
}

// TestCrashOfPlainUpstreamIsReported guards against crashes of plain services that look like
// broken answers, since their requests have no prompt.
func TestCrashOfPlainUpstreamIsReported(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, nil)
	g.setScript("a", func(w net.Conn, r *http.Request) bool {
		g.mu.Lock()
		g.listeners["a"].Close()
		g.mu.Unlock()
		return hangUp(w, r)
	})
	response, _, err := g.send("/book/")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(g.reports(), []dispatch.Outcome{dispatch.Crashed})
}

// TestQuarantinedPlainRequestIsRefused checks what the caller of a request gets that crashes
// upstreams, and that the log line has the digest.
func TestQuarantinedPlainRequestIsRefused(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, reply("200 OK", stamp, "yes"))
	g.scheduler.refuse = &dispatch.Decision{
		Reason: dispatch.Quarantined,
		Inputs: dispatch.Inputs{
			DecidedBy: dispatch.ByLeader,
			Quarantine: &quarantine.Record{
				Subject: quarantine.Subject{
					ID:   0xdc61922226435a05,
					Kind: quarantine.Request,
				},
				Rounds:  3,
				Crashes: 3,
			},
		},
	}
	l := captureLog(g)
	response, body, err := g.send("/book/", "Baobabpaddle-Attempt-Id", "q1")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.True(strings.Contains(body, string(problem.RequestCrashes)))
	is.Equal(g.requestCount(), 0)
	line := l.waitFor(t, "q1", trace.MsgRefused)[0]
	is.Equal(line[trace.KeyDigest], "dc61922226435a05")
	is.Equal(line[trace.KeyCrashes], 3.0)
}
