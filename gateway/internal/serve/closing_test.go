package serve

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// slowClose is how long the end of a connection takes in a process that is short of
	// processor time.
	slowClose = 100 * time.Millisecond
	// runTime is how long a request runs, longer than slowClose.
	runTime = 2 * slowClose
)

// slowlyClosedConn is a connection whose end takes slowClose.
type slowlyClosedConn struct{ net.Conn }

// Close implements net.Conn.
func (c slowlyClosedConn) Close() error {
	time.Sleep(slowClose)
	return c.Conn.Close()
}

// slowlyClosedListener accepts slowlyClosedConns.
type slowlyClosedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l slowlyClosedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowlyClosedConn{
		Conn: c,
	}, nil
}

// closingServer serves requests that take runTime, on connections whose ends take slowClose.
type closingServer struct {
	conns *Conns
	http  *httptest.Server
	ran   atomic.Int64
}

func newClosingServer(t *testing.T, maxOpen int, idleLimit time.Duration) *closingServer {
	s := &closingServer{
		conns: NewConns(maxOpen, func() time.Duration { return idleLimit }, noLimit),
	}
	s.http = httptest.NewUnstartedServer(s.conns.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.ran.Add(1)
		if r.URL.Path == "/slow" {
			time.Sleep(runTime)
		}
	})))
	s.http.Config.ConnState = s.conns.ConnState
	s.http.Config.ConnContext = s.conns.ConnContext
	s.http.Listener = s.conns.Listener(slowlyClosedListener{
		Listener: s.http.Listener,
	})
	s.http.Start()
	t.Cleanup(s.http.Close)
	return s
}

// dial returns a connection; a kept one has brought an answer and is idle.
func (s *closingServer) dial(t *testing.T, kept bool) net.Conn {
	is := is.New(t)
	before := s.conns.Open()
	c, err := net.Dial("tcp", s.http.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	if kept {
		is.True(s.answered(c, "/"))
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.conns.mu.Lock()
		open, idle := len(s.conns.open), 0
		for e := s.conns.idleConns.Front(); e != nil; e = e.Next() {
			if t := e.Value.(idleConn).conn.(*trackedConn); !t.buffered.Load() {
				idle++ // the server waits for the next request
			}
		}
		s.conns.mu.Unlock()
		if open > before && (!kept || idle > 0) {
			return c
		}
	}
	t.Fatal("the connection is not open")
	return nil
}

// answered sends a request and reports whether it is answered.
func (s *closingServer) answered(c net.Conn, path string) bool {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	response.Body.Close()
	return true
}

// TestClosedConnectionRunsNoRequest guards against requests that are read from a connection which
// the gateway is closing, are sent on to an upstream and whose answers have no connection then.
func TestClosedConnectionRunsNoRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		kept    bool
		maxOpen int
		close   func(t *testing.T, s *closingServer)
	}{
		{"idle for too long", true, 5, func(_ *testing.T, s *closingServer) {
			s.conns.prune(time.Now().Add(2 * time.Hour))
		}},
		{"too many connections", true, 1, func(t *testing.T, s *closingServer) { s.dial(t, false) }},
		{"end of a drain", true, 5, func(_ *testing.T, s *closingServer) { s.conns.CloseIdle() }},
		{"end of a drain, new connection", false, 5, func(_ *testing.T, s *closingServer) { s.conns.CloseIdle() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newClosingServer(t, c.maxOpen, time.Hour)
			conn := s.dial(t, c.kept)
			before := s.ran.Load()
			c.close(t, s)
			is.Equal(s.conns.Busy(), 0)
			answered := s.answered(conn, "/slow")
			is.Equal(answered, false)               // the connection is being closed
			is.Equal(s.ran.Load()-before, int64(0)) // nobody would get the answer
		})
	}
}

// TestArrivingRequestKeepsConnection guards against requests that are lost since their connection
// counts as idle until the whole head is read: from the first byte on it is not closed, be it
// read or not.
func TestArrivingRequestKeepsConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		maxOpen int
		close   func(t *testing.T, s *closingServer)
	}{
		{"idle for too long", 5, func(_ *testing.T, s *closingServer) { s.conns.prune(time.Now().Add(2 * time.Hour)) }},
		{"too many connections", 1, func(t *testing.T, s *closingServer) { s.dial(t, false) }},
		{"end of a drain", 5, func(_ *testing.T, s *closingServer) { s.conns.CloseIdle() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newClosingServer(t, c.maxOpen, time.Hour)
			conn := s.dial(t, true)
			_, err := io.WriteString(conn, "GET /")
			is.NoErr(err)
			for end := time.Now().Add(5 * time.Second); s.conns.Busy() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			c.close(t, s)
			_, err = io.WriteString(conn, "slow HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			response.Body.Close()
		})
	}
}

// TestUnreadRequestKeepsConnection guards against the end of an idle connection on which a request
// has arrived that the process has not read yet.
func TestUnreadRequestKeepsConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	conns := NewConns(5, func() time.Duration { return time.Second }, noLimit)
	c, err := conns.Listener(listener).Accept()
	is.NoErr(err)
	defer c.Close()
	conns.ConnState(c, http.StateNew)
	conns.ConnState(c, http.StateIdle)
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // lets the bytes arrive
	conns.prune(time.Now().Add(time.Minute))
	conns.CloseIdle()
	time.Sleep(50 * time.Millisecond) // lets a close take effect
	n, err := c.Read(make([]byte, 100))
	is.NoErr(err)
	is.True(n > 0)
	is.True(conns.HeadRead(conns.ConnContext(context.Background(), c)))
}

// unscheduledConn is a connection whose Close waits, as in a process that is short of processor
// time, until the test ends.
type unscheduledConn struct {
	*net.TCPConn
	ended <-chan struct{}
}

// Close implements net.Conn.
func (c unscheduledConn) Close() error {
	<-c.ended
	return c.TCPConn.Close()
}

// unscheduledListener accepts unscheduledConns.
type unscheduledListener struct {
	net.Listener
	ended <-chan struct{}
}

// Accept implements net.Listener.
func (l unscheduledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return unscheduledConn{
		TCPConn: c.(*net.TCPConn),
		ended:   l.ended,
	}, nil
}

// TestCallersSeeCloseAtOnce guards against requests that are sent on a connection long after the
// gateway has decided to close it, and are dropped: the goroutine that closes it waits for the
// processor.
func TestCallersSeeCloseAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		sends  string // before the close
		status int    // of the refusal; zero if nothing was sent
		close  func(conns *Conns, conn *trackedConn)
	}{
		{
			name: "idle for too long",
			close: func(conns *Conns, _ *trackedConn) {
				conns.prune(time.Now().Add(time.Minute))
			},
		},
		{
			name: "end of a drain",
			close: func(conns *Conns, _ *trackedConn) {
				conns.CloseIdle()
			},
		},
		{
			name:   "late head",
			sends:  "GET",
			status: http.StatusRequestTimeout,
			close: func(conns *Conns, _ *trackedConn) {
				conns.prune(time.Now().Add(time.Minute))
				conns.prune(time.Now().Add(time.Minute))
			},
		},
		{
			name: "too many connections",
			close: func(conns *Conns, _ *trackedConn) {
				conns.mu.Lock()
				defer conns.unlock()
				conns.makeRoom(nil)
			},
		},
		{
			name: "no memory",
			close: func(conns *Conns, conn *trackedConn) {
				conn.held.Store(10)
				conns.giveUpBytes(&trackedConn{}, 1)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			ended := make(chan struct{})
			defer close(ended)
			second := func() time.Duration { return time.Second }
			conns := NewConns(5, second, second)
			caller, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			accepted, err := conns.Listener(unscheduledListener{
				Listener: listener,
				ended:    ended,
			}).Accept()
			is.NoErr(err)
			conn := accepted.(*trackedConn)
			conns.ConnState(conn, http.StateNew)
			if c.sends != "" {
				_, err = io.WriteString(caller, c.sends)
				is.NoErr(err)
				_, err = conn.Read(make([]byte, 10))
				is.NoErr(err)
				go func() { _, _ = conn.Read(make([]byte, 10)) }() // waits for the rest, like the server
				for end := time.Now().Add(5 * time.Second); !conn.waiting.Load() && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			} else {
				conns.ConnState(conn, http.StateIdle)
			}
			c.close(conns, conn)
			_ = caller.SetReadDeadline(time.Now().Add(time.Second))
			received, err := io.ReadAll(caller)
			is.NoErr(err)
			if c.status == 0 {
				is.Equal(len(received), 0)
				return
			}
			response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(received)), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.True(response.Close)
		})
	}
}
