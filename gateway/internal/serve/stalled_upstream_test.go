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

// stayOpenSilently sends no answer and keeps the connection until the peer closes it.
func stayOpenSilently(w net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, w)
	return false
}

// TestSilentUpstreamIsAbandoned sends an idempotent request to an upstream that reads it
// and does not answer. Another upstream must answer long before the deadline, unless the
// request may run only once or the retry budget is used up.
func TestSilentUpstreamIsAbandoned(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, stayOpenSilently, reply("200 OK", stamp, "yes"))
	started := time.Now()
	response, body, err := g.send("/look/")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.Equal(body, "yes")
	is.True(time.Since(started) < time.Second)
	is.Equal(g.scheduler.ended[0], dispatch.ResponseTimeout)

	slow := func(w net.Conn, r *http.Request) bool {
		time.Sleep(600 * time.Millisecond)
		return reply("200 OK", stamp, "late")(w, r)
	}
	g = newTestGateway(t, slow, reply("200 OK", stamp, "yes"))
	g.handler.budget.settings = RetrySettings{
		Window: time.Second,
	}
	_, body, err = g.send("/look/")
	is.NoErr(err)
	is.Equal(body, "late") // the gateway waits, since the budget allows no retry
	is.Equal(g.requestCount(), 1)

	// A request that is not idempotent is never sent twice.
	g = newTestGateway(t, slow, reply("200 OK", stamp, "yes"))
	_, body, err = g.send("/book/")
	is.NoErr(err)
	is.Equal(body, "late")
	is.Equal(g.requestCount(), 1)
}

// TestStalledStreamResumesElsewhere has a resumable stream stall after its first event
// while the connection stays open. Another upstream must resume it before its caller
// gives up.
func TestStalledStreamResumesElsewhere(t *testing.T) {
	is := is.New(t)
	stall := func(w net.Conn, r *http.Request) bool {
		eventStream("id: 1\ndata: a\n\n", false)(w, r)
		return stayOpenSilently(w, r)
	}
	g := newTestGateway(t, stall, eventStream("id: 2\ndata: b\n\n", true))
	started := time.Now()
	response, body, err := g.send("/chat/", "X-Api-Key", "key-1")
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.True(time.Since(started) < minStreamWait)
	is.Equal(g.received[1].Header.Get("Last-Event-Id"), "1")
}

// TestResumedStreamMeetsFailure resumes a stream at an upstream that answers with an error
// status. The error must not become part of the stream, which must not look complete.
func TestResumedStreamMeetsFailure(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, eventStream("id: 1\ndata: a\n\n", false), reply("500 Internal Server Error", stamp, "no"))
	_, body, err := g.send("/chat/", "X-Api-Key", "key-1")
	is.True(err != nil) // the answer breaks off
	is.Equal(body, "id: 1\ndata: a\n\n")
	is.Equal(g.requestCount(), 2)
}

// reset closes a connection so that its peer sees a reset.
func reset(w net.Conn) {
	_ = w.(*net.TCPConn).SetLinger(0)
	w.Close()
}

// TestResetAnswerIsIncomplete resets the connection of an answer without a length. Such an
// answer ends with its connection, but a reset must not count as its end.
func TestResetAnswerIsIncomplete(t *testing.T) {
	is := is.New(t)
	half := func(w net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+stamp+"\r\nhalf")
		time.Sleep(50 * time.Millisecond)
		reset(w)
		return false
	}
	g := newTestGateway(t, half, reply("200 OK", stamp, "whole"))
	for range 10 {
		response, body, err := g.send("/look/")
		is.NoErr(err)
		is.Equal(response.StatusCode, 200)
		is.Equal(body, "whole")
		g.scheduler.next = 0
	}
}

// TestSlowStreamIsNotAbandoned has a resumable stream bring each event shortly before the
// stall timeout. No event may be lost, and no other upstream may get the request.
func TestSlowStreamIsNotAbandoned(t *testing.T) {
	is := is.New(t)
	pause := time.Duration(0.7 * pauseFraction * float64(minStreamWait))
	slow := func(w net.Conn, r *http.Request) bool {
		eventStream("id: 1\ndata: a\n\n", false)(w, r)
		for _, id := range []string{"2", "3"} {
			time.Sleep(pause)
			text := "id: " + id + "\ndata: b\n\n"
			_, _ = io.WriteString(w, strconv.FormatInt(int64(len(text)), 16)+"\r\n"+text+"\r\n")
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	g := newTestGateway(t, slow, eventStream("id: 9\ndata: x\n\n", true))
	_, body, err := g.send("/chat/", "X-Api-Key", "key-1")
	is.NoErr(err)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: b\n\n")
	is.Equal(g.requestCount(), 1)
}
