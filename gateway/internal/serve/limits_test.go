package serve

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/gateway/internal/upstream"
)

var (
	// testLimits and testUpstreamLimits are the limits of the handlers and clients in tests.
	testLimits = Limits{
		BufferedBytes:  256 << 10,
		AnswerBytes:    1 << 20,
		EventBytes:     256 << 10,
		TotalBodyBytes: 64 << 10,
	}
	testUpstreamLimits = upstream.Limits{
		HeadBytes: 64 << 10,
		Interim:   8,
	}
)

// noLimit is a timeout function that sets none.
func noLimit() time.Duration { return 0 }

// endless returns a script that sends begin, and then text until the connection is closed.
func endless(begin, text string) script {
	return func(w net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(w, begin)
		block := []byte(strings.Repeat(text, 1+4096/len(text)))
		for {
			if _, err := w.Write(block); err != nil {
				return false
			}
		}
	}
}

// chunkedHead is the head of a signed answer in chunks.
const chunkedHead = "HTTP/1.1 200 OK\r\n" + stamp + "Transfer-Encoding: chunked\r\n\r\n"

// zeroChunk is a chunk of zeros.
var zeroChunk = "1000\r\n" + strings.Repeat("0", 4096) + "\r\n"

// TestEndlessUpstreamAnswers has upstreams send bytes without end in a head, a body, a
// trailer or an event. The caller must get an error status or a broken answer, and the
// upstream's connection must be closed.
func TestEndlessUpstreamAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		script script
	}{
		"head":                 {"/book/", endless("", "x")},
		"body of chunks":       {"/book/", endless(chunkedHead, zeroChunk)},
		"body of bytes":        {"/book/", endless(chunkedHead, "1\r\n0\r\n")},
		"body until the close": {"/book/", endless("HTTP/1.1 200 OK\r\n"+stamp+"\r\n", "0")},
		"trailers":             {"/book/", endless(chunkedHead+"1\r\n0\r\n0\r\n", "A: b\r\n")},
		"event":                {"/draft/", endless(chunkedHead, zeroChunk)},
		"event of bytes":       {"/draft/", endless(chunkedHead, "1\r\n0\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, c.script)
			// The limits must end the answer, not the timeout of the route.
			g.scheduler.view.Table.Route("a", c.path).TimeoutMillis = 60_000
			started := time.Now()
			response, _, err := g.send(c.path, "X-Api-Key", "key-1")
			is.True(err != nil || response.StatusCode == http.StatusBadGateway)
			is.True(time.Since(started) < 5*time.Second)
			g.scheduler.mu.Lock()
			defer g.scheduler.mu.Unlock()
			is.True(len(g.scheduler.ended) == 1)
			is.True(g.scheduler.ended[0] == dispatch.Broken)
		})
	}
}

// TestAnswerMemoryIsBounded forwards 64 endless answers at once and checks that the heap
// grows by no more than their buffers.
func TestAnswerMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	const answers = 64
	g := newTestGateway(t, endless(chunkedHead, zeroChunk))
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var callers sync.WaitGroup
	for range answers {
		callers.Go(func() {
			_, _ = discardAnswer(g, "/book/")
		})
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	most := uint64(0)
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(20 * time.Millisecond):
			runtime.GC()
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc)
		}
	}
	grown := int64(most) - int64(before.HeapAlloc)
	t.Logf("%d answers: heap grew by at most %d kB", answers, grown>>10)
	// Each answer has its buffer, twice while that grows.
	is.True(grown < answers*2*int64(testLimits.BufferedBytes)+(8<<20))
}

// discardAnswer sends a request and reads its answer without keeping it.
func discardAnswer(g *testGateway, path string) (int64, error) {
	request, err := http.NewRequest(http.MethodPost, g.server.URL+path, strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	request.Host = "a"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return io.Copy(io.Discard, response.Body)
}

// TestLongAnswers forwards answers longer than Limits.BufferedBytes, one complete and one
// that breaks off.
func TestLongAnswers(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("0123456789", 100_000)
	g := newTestGateway(t, reply("200 OK", stamp, long))
	_, body, err := g.send("/look/")
	is.NoErr(err)
	is.True(body == long)

	g = newTestGateway(t, func(w net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", stamp, len(long)+1, long)
		return false
	}, reply("200 OK", stamp, "other"))
	_, _, err = g.send("/look/")
	is.True(err != nil) // the answer has started, so that it can't be retried elsewhere
	is.Equal(g.requestCount(), 1)
}

// TestCommentsDoNotKeepStalledStream has a stream stall while its upstream still sends
// comments. Comments are no progress, so the stream must be resumed elsewhere before its
// caller gives up.
func TestCommentsDoNotKeepStalledStream(t *testing.T) {
	is := is.New(t)
	stall := func(w net.Conn, r *http.Request) bool {
		eventStream("id: 1\ndata: a\n\n", false)(w, r)
		for {
			if _, err := io.WriteString(w, "3\r\n:\n\n\r\n"); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	g := newTestGateway(t, stall, eventStream("id: 2\ndata: b\n\n", true))
	started := time.Now()
	_, body, err := g.send("/chat/", "X-Api-Key", "key-1")
	is.NoErr(err)
	is.Equal(strings.ReplaceAll(body, ":\n\n", ""), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.True(time.Since(started) < minStreamWait)
}

// openRaw opens a connection to the handler's server and writes text.
func openRaw(t *testing.T, g *testGateway, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// readStatus reads an answer from a connection and returns its status.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

// TestHeadsAreBounded checks the configured limit on the head of a request.
func TestHeadsAreBounded(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, reply("200 OK", stamp, "yes"))
	response, _, err := g.send("/look/", "Long", strings.Repeat("x", 3000))
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(g.requestCount(), 0)
	response, _, err = g.send("/look/", "Long", strings.Repeat("x", 1000))
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
}

// TestBodyMemoryIsTakenAsBytesArrive announces large bodies and sends nothing, which must
// reserve little memory. A request beyond the limit on all bodies is refused, and memory
// is released when a request ends.
func TestBodyMemoryIsTakenAsBytesArrive(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, reply("200 OK", stamp, "yes"))
	g.handler.bodies.limit = 40 << 10
	const head = "POST /look/ HTTP/1.1\r\nHost: a\r\nBaobabpaddle-Deadline-Ms: 2000\r\nContent-Length: 20000\r\n\r\n"
	parsed := g.scheduler.view.Table.Configuration
	parsed.Limits.MaxBodyBytes = 1 << 20
	first, second := openRaw(t, g, head), openRaw(t, g, head)
	for g.handler.bodies.used.Load() < 2*initialBodyBytes {
		time.Sleep(time.Millisecond) // until both have reserved memory
	}
	third := openRaw(t, g, head)
	is.Equal(readStatus(t, third), http.StatusServiceUnavailable) // only two of 16 kB fit into 40 kB
	is.Equal(readStatus(t, first), http.StatusRequestTimeout)
	is.Equal(readStatus(t, second), http.StatusRequestTimeout)
	for end := time.Now().Add(5 * time.Second); g.handler.bodies.used.Load() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(g.handler.bodies.used.Load(), int64(0))
	fourth := openRaw(t, g, head+strings.Repeat("x", 20000))
	is.Equal(readStatus(t, fourth), 200)
}

// TestLateHeadsAreClosed has callers send only the beginning of a head. Their connections
// must be closed after the configured time, but not those of requests being answered.
func TestLateHeadsAreClosed(t *testing.T) {
	is := is.New(t)
	conns := NewConns(5, noLimit, func() time.Duration { return time.Minute })
	open := func() (*trackedConn, net.Conn) {
		here, there := net.Pipe()
		t.Cleanup(func() { there.Close() })
		c := &trackedConn{
			Conn: here,
		}
		conns.ConnState(c, http.StateNew)
		go func() { _, _ = io.WriteString(there, "G") }() // if this fails, so does the read
		_, err := c.Read(make([]byte, 1))
		is.NoErr(err)
		return c, there
	}
	late, lateEnd := open()
	answered, answeredEnd := open()
	is.Equal(conns.Busy(), 2)
	conns.HeadRead(conns.ConnContext(t.Context(), answered))
	conns.ConnState(answered, http.StateActive)
	is.Equal(conns.Busy(), 2)
	conns.prune(time.Now().Add(30 * time.Second))
	conns.prune(time.Now().Add(61 * time.Second)) // not closed in the first scan, as the process may have been paused
	is.True(late.overdue)
	conns.prune(time.Now().Add(62 * time.Second))
	_ = lateEnd.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := lateEnd.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_ = answeredEnd.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = answeredEnd.Read(make([]byte, 1))
	is.True(!errors.Is(err, io.EOF))
	conns.ConnState(answered, http.StateIdle)
	conns.ConnState(late, http.StateClosed)
	is.Equal(conns.Busy(), 0)
}
