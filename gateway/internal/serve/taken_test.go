package serve

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/connlimit"
)

// suspendedConn is a connection whose reader is suspended once it has taken bytes from the kernel.
type suspendedConn struct {
	*net.TCPConn
	meanwhile func()
}

// Read implements net.Conn.
func (c suspendedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.meanwhile()
	}
	return n, err
}

// suspendedListener accepts suspendedConns.
type suspendedListener struct {
	net.Listener
	meanwhile func()
}

// Accept implements net.Listener.
func (l suspendedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return suspendedConn{
		TCPConn:   c.(*net.TCPConn),
		meanwhile: l.meanwhile,
	}, nil
}

// TestTakenRequestKeepsConnection guards against the end of an idle connection whose reader has
// taken a request from the kernel and waits for the processor: the request got no answer.
func TestTakenRequestKeepsConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		close func(conns *Conns)
	}{
		{
			name: "idle for too long",
			close: func(conns *Conns) {
				conns.prune(time.Now().Add(time.Minute))
			},
		},
		{
			name: "end of a drain",
			close: func(conns *Conns) {
				conns.CloseIdle()
			},
		},
		{
			name: "too many connections",
			close: func(conns *Conns) {
				conns.mu.Lock()
				defer conns.mu.Unlock()
				conns.makeRoom()
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			conns := NewConns(5, func() time.Duration { return time.Second }, noLimit)
			accepting := conns.Listener(suspendedListener{
				Listener:  listener,
				meanwhile: func() { c.close(conns) },
			})
			open := func() (caller, accepted net.Conn) {
				caller, err := net.Dial("tcp", listener.Addr().String())
				is.NoErr(err)
				t.Cleanup(func() { caller.Close() })
				accepted, err = accepting.Accept()
				is.NoErr(err)
				t.Cleanup(func() { accepted.Close() })
				conns.ConnState(accepted, http.StateNew)
				conns.ConnState(accepted, http.StateIdle)
				return caller, accepted
			}
			caller, conn := open()
			open() // idle for less time
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			n, err := conn.Read(make([]byte, 100))
			is.NoErr(err)
			is.True(n > 0)
			is.True(conns.HeadRead(conns.ConnContext(t.Context(), conn)))
		})
	}
}

// TestWholeHeadIsNotGivenUp guards against a first request that has arrived whole and is dropped, since
// its reader waits for the processor while connections are given up or late heads are closed.
func TestWholeHeadIsNotGivenUp(t *testing.T) {
	for name, end := range map[string]func(conns *Conns){
		"too many connections": func(conns *Conns) {
			conns.mu.Lock()
			defer conns.mu.Unlock()
			conns.makeRoom()
		},
		"late head": func(conns *Conns) {
			conns.prune(time.Now().Add(time.Minute))
			conns.prune(time.Now().Add(time.Minute))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			second := func() time.Duration { return time.Second }
			conns := NewConns(5, second, second)
			caller, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			conn, err := conns.Listener(suspendedListener{
				Listener:  listener,
				meanwhile: func() { end(conns) },
			}).Accept()
			is.NoErr(err)
			defer conn.Close()
			conns.ConnState(conn, http.StateNew)
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			n, err := conn.Read(make([]byte, 100))
			is.NoErr(err)
			is.True(n > 0)
			end(conns) // the reader has returned, and the handler does not run yet
			is.True(conns.HeadRead(conns.ConnContext(t.Context(), conn)))
		})
	}
}

// TestCrossingRequestIsRefused guards against a request that arrives as its connection is being closed
// and gets neither an answer nor a refusal.
func TestCrossingRequestIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		cause  string
		phase  connlimit.Phase
		status int
	}{
		"idle":   {causeIdle, connlimit.Idle, http.StatusServiceUnavailable},
		"drain":  {causeDrain, connlimit.Idle, http.StatusServiceUnavailable},
		"limit":  {connlimit.CauseConns, connlimit.Idle, http.StatusServiceUnavailable},
		"head":   {connlimit.CauseConns, connlimit.ReadingHead, http.StatusServiceUnavailable},
		"memory": {connlimit.CauseMemory, connlimit.ReadingHead, http.StatusServiceUnavailable},
		"late":   {causeLateHead, connlimit.ReadingHead, http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			conns := NewConns(5, noLimit, noLimit)
			caller, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			accepted, err := conns.Listener(listener).Accept()
			is.NoErr(err)
			conn := accepted.(*trackedConn)
			_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
			is.NoErr(err)
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if unread, _ := conn.socket().Peek(); unread {
					break
				}
			}
			conn.state.Store(connClosing) // decided before the request arrived
			conn.end(c.cause, c.phase)
			is.Equal(readStatus(t, caller), c.status)
		})
	}
}
