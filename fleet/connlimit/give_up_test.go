package connlimit

import (
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// whole is a whole request.
const whole = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// The hosts of the tests.
const (
	crowdHost = "127.0.0.2"
	otherHost = "127.0.0.3"
)

// awaitReader waits until n connections are in a state of their readers.
func (s *testServer) awaitReader(t *testing.T, n int, state int32) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		found := 0
		s.listener.mu.Lock()
		for _, c := range s.listener.open {
			if c.reader.Load() == state {
				found++
			}
		}
		s.listener.mu.Unlock()
		if found >= n {
			return
		}
	}
	t.Fatalf("%d connections do not get into state %d", n, state)
}

// closed reports whether the connection ends after what is read from it.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := io.Copy(io.Discard, c)
	return err == nil || !strings.Contains(err.Error(), "timeout")
}

// TestAnswerIsNotCut guards against an answer that its caller does not get: the connection was closed
// for others that connected while the request was handled.
func TestAnswerIsNotCut(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	s := newHandlerServer(t, Limits{
		Conns:     1,
		HeldBytes: 1 << 20,
	}, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "answer")
	})
	caller := s.dial(t, crowdHost, whole)
	<-begun
	for range 3 {
		is.True(closed(s.dial(t, crowdHost, "")))
	}
	close(release)
	is.Equal(status(caller), http.StatusOK)
}

// TestAnswerOverTLSIsNotCut guards against the same behind TLS, and against a limit that idle
// connections there keep reached.
func TestAnswerOverTLSIsNotCut(t *testing.T) {
	is := is.New(t)
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	begun, release := make(chan struct{}, 1), make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limited := NewListener(tls.NewListener(listener, &tls.Config{
		Certificates: certified.TLS.Certificates,
	}), Limits{
		Conns:     1,
		HeldBytes: 1 << 20,
	}, nil)
	server := &http.Server{
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				begun <- struct{}{}
				<-release
			}
		}),
	}
	limited.Attach(server)
	go server.Serve(limited)
	defer server.Close()
	dial := func(text string) net.Conn {
		raw, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { raw.Close() })
		c := tls.Client(raw, &tls.Config{
			InsecureSkipVerify: true,
		})
		_, _ = io.WriteString(c, text) // may cross the close
		return c
	}
	kept := dial(whole)
	is.Equal(status(kept), http.StatusOK)
	time.Sleep(20 * time.Millisecond) // lets it become idle
	caller := dial("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	is.True(closed(kept))
	is.True(closed(dial("")))
	close(release)
	is.Equal(status(caller), http.StatusOK)
}

// TestWholeBodyKeepsMemory guards against a request that is cut while it is handled, since another one
// needs memory. The other one is refused.
func TestWholeBodyKeepsMemory(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	s := newHandlerServer(t, Limits{
		Conns:     10,
		HeldBytes: 64 << 10,
	}, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadAll(r.Context(), r.Body)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(body) == 60_000 {
			close(begun)
			<-release
		}
	})
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	caller := s.dial(t, crowdHost, head+"Content-Length: 60000\r\n\r\n"+strings.Repeat("x", 60_000))
	<-begun
	other := s.dial(t, otherHost, head+"Content-Length: 9000\r\n\r\n"+strings.Repeat("x", 9000))
	is.Equal(status(other), http.StatusServiceUnavailable)
	close(release)
	is.Equal(status(caller), http.StatusOK)
}

// TestGivenUpBodyIsRefused guards against a request that gets no answer, since its connection is given
// up while its body arrives.
func TestGivenUpBodyIsRefused(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Limits{
		Conns:     2,
		HeldBytes: 1 << 20,
	})
	const text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345"
	first, second := s.dial(t, crowdHost, text), s.dial(t, crowdHost, text)
	s.awaitReader(t, 2, awaitsBody)
	is.Equal(status(s.dial(t, otherHost, whole)), http.StatusOK)
	is.Equal(status(first), http.StatusServiceUnavailable)
	is.True(closed(first))
	_, err := io.WriteString(second, "67890")
	is.NoErr(err)
	is.Equal(status(second), http.StatusOK)
}

// TestAnswerDoesNotWaitForBody guards against an answer that is lost at a limit: it was ready, and the
// rest of a body that nobody reads had to arrive before it.
func TestAnswerDoesNotWaitForBody(t *testing.T) {
	is := is.New(t)
	s := newHandlerServer(t, Limits{
		Conns:     2,
		HeldBytes: 1 << 20,
	}, func(http.ResponseWriter, *http.Request) {})
	const text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345"
	caller := s.dial(t, crowdHost, text)
	s.awaitReader(t, 1, awaitsRest)
	s.dial(t, crowdHost, text)
	s.awaitReader(t, 2, awaitsRest)
	s.dial(t, otherHost, "")
	is.Equal(status(caller), http.StatusOK)
	is.True(closed(caller))
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

// startedListener is a Listener whose connections no server reads from.
func startedListener(t *testing.T, conns int) (l *Listener, s *testServer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ended := make(chan struct{})
	t.Cleanup(func() {
		close(ended)
		listener.Close()
	})
	l = NewListener(unscheduledListener{
		Listener: listener,
		ended:    ended,
	}, Limits{
		Conns:     conns,
		HeldBytes: 1 << 20,
	}, nil)
	return l, &testServer{
		listener: l,
		address:  listener.Addr().String(),
	}
}

// accept accepts a connection as for a server.
func (s *testServer) accept(t *testing.T) net.Conn {
	t.Helper()
	c, err := s.listener.Accept()
	is.New(t).NoErr(err)
	s.listener.connState(c, http.StateNew)
	return c
}

// TestCallersSeeCloseAtOnce guards against requests that are sent on a connection long after the
// decision to close it, and are dropped: the goroutine that closes it waits for the processor.
func TestCallersSeeCloseAtOnce(t *testing.T) {
	is := is.New(t)
	l, s := startedListener(t, 5)
	caller := s.dial(t, crowdHost, "")
	c := s.accept(t).(*conn)
	l.mu.Lock()
	l.giveUpOne(&conn{
		peer: c.peer,
	})
	l.unlock()
	_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
	received, err := io.ReadAll(caller)
	is.NoErr(err)
	is.Equal(len(received), 0)
}

// TestArrivedRequestIsNotDropped guards against a request that has arrived whole and is dropped without
// an answer, since its connection is given up before the process reads it. For a connection of the same
// host it is kept, for one of another host it is refused.
func TestArrivedRequestIsNotDropped(t *testing.T) {
	for _, host := range []string{crowdHost, otherHost} {
		t.Run(host, func(t *testing.T) {
			is := is.New(t)
			l, s := startedListener(t, 2)
			var callers, conns [2]net.Conn
			for i := range callers {
				callers[i] = s.dial(t, crowdHost, whole)
				conns[i] = s.accept(t)
			}
			time.Sleep(20 * time.Millisecond) // lets the requests arrive
			s.dial(t, host, "")
			third := make(chan error, 1)
			go func() {
				_, err := l.Accept() // may go on to the next connection
				third <- err
			}()
			if host == otherHost {
				is.Equal(status(callers[0]), http.StatusServiceUnavailable)
				_, err := conns[0].Read(make([]byte, 100))
				is.True(err != nil) // it is not handled
			} else {
				n, err := conns[0].Read(make([]byte, 100))
				is.NoErr(err)
				is.Equal(n, len(whole))
			}
			n, err := conns[1].Read(make([]byte, 100))
			is.NoErr(err)
			is.Equal(n, len(whole))
		})
	}
}

// TestClientBeyondLimitIsRefused guards against more connections than the process has descriptors for,
// and against a client beyond the limit that gets neither an answer nor a close.
func TestClientBeyondLimitIsRefused(t *testing.T) {
	is := is.New(t)
	const most = 3
	begun, release := make(chan struct{}, most), make(chan struct{})
	s := newHandlerServer(t, Limits{
		Conns:     most,
		HeldBytes: 1 << 20,
	}, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	})
	callers := make([]net.Conn, 0, most)
	for range most {
		callers = append(callers, s.dial(t, crowdHost, whole))
		<-begun
	}
	for range 10 {
		is.True(closed(s.dial(t, crowdHost, "")))
		is.True(s.listener.Open() <= most+1) // one may be about to be refused
	}
	close(release)
	for _, caller := range callers {
		is.Equal(status(caller), http.StatusOK)
	}
}

// TestGivenUpConnectionFreesDescriptor guards against descriptors that are held after connections were
// given up: the limit then keeps clients out, or is passed.
func TestGivenUpConnectionFreesDescriptor(t *testing.T) {
	is := is.New(t)
	const most = 5
	s := newTestServer(t, Limits{
		Conns:     most,
		HeldBytes: 1 << 20,
	})
	first := s.dial(t, otherHost, whole)
	is.Equal(status(first), http.StatusOK)
	for range 200 {
		caller := s.dial(t, crowdHost, whole)
		is.Equal(status(caller), http.StatusOK)
		s.awaitReader(t, 1, awaitsRequest)
		is.True(s.listener.Open() <= most)
	}
}

// TestStalledAnswerGivesWay guards against callers that keep others out by not reading their answers,
// and against the end of an answer that is being read.
func TestStalledAnswerGivesWay(t *testing.T) {
	is := is.New(t)
	l, s := startedListener(t, 1)
	s.dial(t, crowdHost, whole)
	c := s.accept(t).(*conn)
	_, err := c.Read(make([]byte, 100))
	is.NoErr(err)
	l.connState(c, http.StateActive)
	giveUp := func() bool {
		l.mu.Lock()
		defer l.unlock()
		l.orderedAt = time.Time{}
		return l.giveUpOne(&conn{
			peer: c.peer,
		})
	}
	is.Equal(giveUp(), false) // nothing is written yet
	c.writeSince.Store(time.Now().Add(-2 * stallTime).UnixNano())
	is.Equal(giveUp(), false) // the process may have stood still
	c.lateAt = c.lateAt.Add(-2 * stallConfirmTime)
	is.Equal(giveUp(), true)
}
