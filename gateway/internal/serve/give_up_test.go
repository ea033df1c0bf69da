package serve

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/connlimit"
)

// onlyConn waits for a connection of the gateway on which a body is being read, and returns it.
func onlyConn(t *testing.T, g *testGateway) *trackedConn {
	t.Helper()
	conns := g.handler.Conns()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		for c := range conns.open {
			if t := c.(*trackedConn); t.bodySince.Load() > 0 {
				conns.mu.Unlock()
				return t
			}
		}
		conns.mu.Unlock()
	}
	t.Fatal("no body is being read")
	return nil
}

// giveUpBody gives up a connection as one on which a body is being read.
func giveUpBody(g *testGateway, conn *trackedConn) bool {
	conns := g.handler.Conns()
	conns.mu.Lock()
	defer conns.unlock()
	return conns.giveUp(conn, connlimit.ReadingBody, connlimit.CauseMemory)
}

// TestWholeBodyIsNotGivenUp guards against a request that is cut after it was passed on: its body was
// being read when the order of connections was made, and was read when its turn came.
func TestWholeBodyIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	var g *testGateway
	var conn *trackedConn
	chosen := make(chan bool)
	g, address := newTrackedGateway(t, func(w net.Conn, r *http.Request) bool {
		chosen <- giveUpBody(g, conn)
		return reply("200 OK", stamp, "yes")(w, r)
	})
	caller := dialRaw(t, address, "POST /book/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
	conn = onlyConn(t, g)
	_, err := io.WriteString(caller, "67890")
	is.NoErr(err)
	is.Equal(<-chosen, false)
	is.Equal(readStatus(t, caller), http.StatusOK)
}

// TestGivenUpBodyIsRefused guards against a request that gets no answer, since its connection is given
// up while its body arrives. It must not be passed on.
func TestGivenUpBodyIsRefused(t *testing.T) {
	is := is.New(t)
	g, address := newTrackedGateway(t, reply("200 OK", stamp, "yes"))
	caller := dialRaw(t, address, "POST /book/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
	is.True(giveUpBody(g, onlyConn(t, g)))
	_, err := io.WriteString(caller, "67890")
	is.NoErr(err)
	is.Equal(readStatus(t, caller), http.StatusServiceUnavailable)
	_, err = io.Copy(io.Discard, caller)
	is.True(err == nil || !strings.Contains(err.Error(), "timeout")) // it was closed
	is.Equal(g.requestCount(), 0)
}

// TestRefusalPrecedesClose guards against a request that gets no answer, since the server closes its
// connection before the goroutine that has given it up sends the refusal.
func TestRefusalPrecedesClose(t *testing.T) {
	is := is.New(t)
	g, address := newTrackedGateway(t, reply("200 OK", stamp, "yes"))
	caller := dialRaw(t, address, "POST /book/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
	conn := onlyConn(t, g)
	conns := g.handler.Conns()
	conns.mu.Lock()
	is.True(conns.giveUp(conn, connlimit.ReadingBody, connlimit.CauseMemory))
	_, err := io.WriteString(caller, "67890")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the handler reads the rest, and the server closes the connection
	conns.unlock()
	is.Equal(readStatus(t, caller), http.StatusServiceUnavailable)
}

// TestRefusalIsNotCut guards against a refusal that its caller doesn't get: the connection was given up
// while the rest of the body of the refused request arrived.
func TestRefusalIsNotCut(t *testing.T) {
	is := is.New(t)
	g, address := newTrackedGateway(t)
	caller := dialRaw(t, address, "POST /nothing/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
	started := time.Now()
	is.True(giveUpBody(g, onlyConn(t, g)))
	is.Equal(readStatus(t, caller), http.StatusNotFound)
	is.True(time.Since(started) < unreadBodyTimeout)
}

// TestCallerBeyondLimitIsRefused guards against a caller that waits in the backlog of the listener while
// all connections are in use: it gets neither an answer nor a refusal.
func TestCallerBeyondLimitIsRefused(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	block := func(w net.Conn, r *http.Request) bool {
		<-release
		return reply("200 OK", stamp, "yes")(w, r)
	}
	const most, beyond = 10, 11 // a tenth more than allowed
	g, address := newTrackedGateway(t, block)
	conns := g.handler.Conns()
	conns.mu.Lock()
	conns.maxOpen = most
	conns.mu.Unlock()
	g.scheduler.view.Table.Route("a", "/book/").TimeoutMillis = 60_000
	const request = "POST /book/ HTTP/1.1\r\nHost: a\r\n\r\n"
	for tries := 0; conns.Busy() < beyond && tries < 100; tries++ {
		busy := conns.Busy()
		dialRaw(t, address, request) // the last may be closed before its request arrives
		for end := time.Now().Add(100 * time.Millisecond); conns.Busy() == busy && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	for range 3 {
		is.Equal(conns.Busy(), beyond)
		caller := dialRaw(t, address, "")
		started := time.Now()
		_, err := io.WriteString(caller, request) // may cross the close
		if err != nil {
			continue
		}
		_ = caller.SetReadDeadline(started.Add(10 * time.Second))
		_, err = io.Copy(io.Discard, caller)
		is.True(err == nil || !strings.Contains(err.Error(), "timeout")) // it was closed
		is.True(time.Since(started) < time.Second)
		for conns.descriptors.Load() > beyond && time.Since(started) < time.Second {
			time.Sleep(time.Millisecond) // its close follows the end of its output
		}
		is.True(conns.descriptors.Load() <= beyond)
	}
}

// TestNewConnectionIsNotGivenUpForItself guards against a caller whose new connection is closed before
// its request arrives, while all others are in use and the bound has room.
func TestNewConnectionIsNotGivenUpForItself(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	block := func(w net.Conn, r *http.Request) bool {
		<-release
		return reply("200 OK", stamp, "yes")(w, r)
	}
	const most = 10
	g, address := newTrackedGateway(t, block)
	conns := g.handler.Conns()
	conns.mu.Lock()
	conns.maxOpen = most
	conns.mu.Unlock()
	g.scheduler.view.Table.Route("a", "/book/").TimeoutMillis = 60_000
	const request = "POST /book/ HTTP/1.1\r\nHost: a\r\n\r\n"
	for i := range most {
		dialRaw(t, address, request)
		for end := time.Now().Add(10 * time.Second); conns.Busy() <= i && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	caller := dialRaw(t, address, "")
	time.Sleep(50 * time.Millisecond)
	_, err := io.WriteString(caller, request)
	is.NoErr(err)
	close(release)
	is.Equal(readStatus(t, caller), http.StatusOK)
}

// TestWaitingRequestBeyondLimitIsRefused guards against the close of a new connection beyond the limit
// without an answer to the request that has arrived on it.
func TestWaitingRequestBeyondLimitIsRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := NewConns(1, noLimit, noLimit)
	conns.descriptors.Store(2)
	caller := dialRaw(t, listener.Addr().String(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(20 * time.Millisecond) // lets the request arrive
	go func() {
		_, _ = conns.Listener(listener).Accept() // until the listener is closed
	}()
	defer listener.Close()
	is.Equal(readStatus(t, caller), http.StatusServiceUnavailable)
	for end := time.Now().Add(10 * time.Second); conns.descriptors.Load() > 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // its close follows the end of its output
	}
	is.Equal(conns.descriptors.Load(), int64(2))
}

// TestGivenUpConnectionFreesDescriptor guards against descriptors that are held after connections
// were given up: the limit then keeps callers out, or is passed.
func TestGivenUpConnectionFreesDescriptor(t *testing.T) {
	is := is.New(t)
	g, address := newTrackedGateway(t, reply("200 OK", stamp, "yes"))
	conns := g.handler.Conns()
	conns.mu.Lock()
	conns.maxOpen = 20
	conns.mu.Unlock()
	for range 200 {
		caller := dialRaw(t, address, "GET /look/ HTTP/1.1\r\nHost: a\r\n\r\n")
		is.Equal(readStatus(t, caller), http.StatusOK)
		is.True(conns.descriptors.Load() <= 22)
	}
}

// TestRefusedConnectionsReturnApart guards against callers that return to a gateway at its limit at once,
// or all at the same time, and use the processor time that it lacks.
func TestRefusedConnectionsReturnApart(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	conns := g.handler.Conns()
	delays := make(map[string]bool)
	for range retryDelays {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(conns.refusal(connlimit.CauseConns))), nil)
		is.NoErr(err)
		after := response.Header.Get("Retry-After")
		seconds, err := strconv.ParseFloat(after, 64)
		is.NoErr(err)
		is.True(seconds >= 2*shedRetryAfter.Seconds() && seconds <= unreadTimeLeft.Seconds())
		delays[after] = true
		response.Body.Close()
	}
	is.Equal(len(delays), retryDelays)
}
