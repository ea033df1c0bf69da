package serve

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
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
				conns.makeRoom(nil)
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
