package serve

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// acceptOne returns the two ends of a connection of conns that the server was shown.
func acceptOne(t *testing.T, conns *Conns) (caller net.Conn, accepted *trackedConn) {
	t.Helper()
	return acceptOneOf(t, conns, func(l net.Listener) net.Listener { return l })
}

// acceptOneOf is acceptOne for a connection that was accepted by what wrap returns for a listener.
func acceptOneOf(t *testing.T, conns *Conns, wrap func(net.Listener) net.Listener) (caller net.Conn, accepted *trackedConn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	caller, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { caller.Close() })
	c, err := conns.Listener(wrap(listener)).Accept()
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	conns.ConnState(c, http.StateNew)
	return caller, c.(*trackedConn)
}

// awaitUnread waits until bytes have arrived that were not read.
func awaitUnread(t *testing.T, conn *trackedConn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if unread, _ := conn.peek(); unread {
			return
		}
	}
	t.Fatal("nothing has arrived")
}

// TestRequestInServerBufferKeepsConnection guards against a whole request without an answer: it was read
// together with the one before it, whose connection is closed as idle before the server handles it.
func TestRequestInServerBufferKeepsConnection(t *testing.T) {
	for name, end := range map[string]func(conns *Conns){
		"idle for too long": func(conns *Conns) {
			conns.prune(time.Now().Add(time.Minute))
		},
		"end of a drain": func(conns *Conns) {
			conns.CloseIdle()
		},
		"too many connections": func(conns *Conns) {
			conns.mu.Lock()
			defer conns.unlock()
			conns.makeRoom(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conns := NewConns(5, func() time.Duration { return time.Second }, noLimit)
			caller, conn := acceptOne(t, conns)
			const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
			_, err := io.WriteString(caller, request+request)
			is.NoErr(err)
			awaitUnread(t, conn)
			n, err := conn.Read(make([]byte, 100))
			is.NoErr(err)
			is.Equal(n, 2*len(request))
			conns.ConnState(conn, http.StateActive)
			ctx := conns.ConnContext(t.Context(), conn)
			is.True(conns.HeadRead(ctx))
			conns.ConnState(conn, http.StateIdle)
			end(conns)
			is.True(conns.HeadRead(ctx))
		})
	}
}

// TestRequestAtReadDeadlineIsRead guards against a whole request that gets neither an answer nor a
// refusal: it arrived while the reader, whose deadline for the head had passed, waited for the processor.
func TestRequestAtReadDeadlineIsRead(t *testing.T) {
	is := is.New(t)
	conns := NewConns(5, noLimit, noLimit)
	caller, conn := acceptOne(t, conns)
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err := io.WriteString(caller, request)
	is.NoErr(err)
	awaitUnread(t, conn)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second)))
	n, err := conn.Read(make([]byte, 100))
	is.NoErr(err)
	is.Equal(n, len(request))
	is.True(conns.HeadRead(conns.ConnContext(t.Context(), conn)))
}

// TestUnreadRequestsAreRefused guards against requests that end without a refusal at the deadline of a
// drain, though nobody has begun to handle them: their bodies arrive, or they lie in the buffer of the server.
func TestUnreadRequestsAreRefused(t *testing.T) {
	t.Run("body", func(t *testing.T) {
		is := is.New(t)
		g, address := newTrackedGateway(t, reply("200 OK", stamp, "yes"))
		caller := dialRaw(t, address, "POST /book/ HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
		onlyConn(t, g)
		g.handler.Conns().RefuseArriving()
		is.Equal(readStatus(t, caller), http.StatusServiceUnavailable)
		is.Equal(g.handler.Conns().Busy(), 0)
		is.Equal(g.requestCount(), 0)
	})
	t.Run("buffer of the server", func(t *testing.T) {
		is := is.New(t)
		conns := NewConns(5, noLimit, noLimit)
		caller, conn := acceptOne(t, conns)
		ctx := conns.ConnContext(t.Context(), conn)
		is.True(conns.HeadRead(ctx))
		conns.ConnState(conn, http.StateIdle) // and another request was read with the first
		conns.RefuseArriving()
		is.Equal(readStatus(t, caller), http.StatusServiceUnavailable)
		is.True(!conns.HeadRead(ctx))
	})
	t.Run("nothing", func(t *testing.T) {
		is := is.New(t)
		conns := NewConns(5, noLimit, noLimit)
		caller, _ := acceptOne(t, conns)
		conns.RefuseArriving()
		_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
		sent, err := io.ReadAll(caller)
		is.NoErr(err)
		is.Equal(len(sent), 0)
	})
	t.Run("running", func(t *testing.T) {
		is := is.New(t)
		var g *testGateway
		g, address := newTrackedGateway(t, func(w net.Conn, r *http.Request) bool {
			g.handler.Conns().RefuseArriving()
			return reply("200 OK", stamp, "yes")(w, r)
		})
		caller := dialRaw(t, address, "POST /book/ HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy")
		is.Equal(readStatus(t, caller), http.StatusOK)
	})
}

// TestUnreadRequestBehindTLSKeepsConnection guards against a whole request that gets no answer at the end
// of a drain: its connection is closed as idle while it lies encrypted in the kernel.
func TestUnreadRequestBehindTLSKeepsConnection(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.StartTLS() // for its certificate
	defer server.Close()
	conns := NewConns(5, noLimit, noLimit)
	raw, conn := acceptOneOf(t, conns, func(l net.Listener) net.Listener {
		return tls.NewListener(l, server.TLS)
	})
	caller := tls.Client(raw, &tls.Config{
		RootCAs:    server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs,
		ServerName: "example.com",
	})
	sent := make(chan error, 1)
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	go func() {
		_, err := io.WriteString(caller, request)
		sent <- err
	}()
	ctx := conns.ConnContext(t.Context(), conn)
	n, err := conn.Read(make([]byte, 100))
	is.NoErr(err)
	is.Equal(n, len(request))
	is.NoErr(<-sent)
	is.True(conns.HeadRead(ctx))
	conns.ConnState(conn, http.StateIdle)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = conn.Read(make([]byte, 100)) // the server waits for the next request
	is.True(err != nil)
	is.NoErr(conn.SetReadDeadline(time.Time{}))
	_, err = io.WriteString(caller, request)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // lets it arrive
	conns.CloseIdle()
	n, err = conn.Read(make([]byte, 100))
	is.NoErr(err)
	is.Equal(n, len(request))
	is.True(conns.HeadRead(ctx))
}
