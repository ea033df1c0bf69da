package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testServer is a server with a Listener that reads the bodies of its requests.
type testServer struct {
	listener *Listener
	address  string

	mu     sync.Mutex
	causes map[string]int
}

func newTestServer(t *testing.T, limits Limits) *testServer {
	t.Helper()
	return newHandlerServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadAll(r.Context(), r.Body); errors.Is(err, ErrNoMemory) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// newHandlerServer returns a server with a handler.
func newHandlerServer(t *testing.T, limits Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &testServer{
		address: l.Addr().String(),
		causes:  make(map[string]int),
	}
	s.listener = NewListener(l, limits, func(_ netip.Addr, cause string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.causes[cause]++
	})
	server := &http.Server{
		Handler: handler,
	}
	s.listener.Attach(server)
	go server.Serve(s.listener)
	t.Cleanup(func() { server.Close() })
	return s
}

// dial opens a connection from a loopback address and writes text.
func (s *testServer) dial(t *testing.T, from, text string) net.Conn {
	t.Helper()
	is := is.New(t)
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: net.ParseIP(from),
		},
	}
	c, err := dialer.Dial("tcp", s.address)
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	is.NoErr(err)
	return c
}

// status reads an answer and returns its status, zero if the connection was closed.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// TestConnsAreBounded opens more connections than allowed from one peer. The oldest of them are
// refused and closed, and another peer is served.
func TestConnsAreBounded(t *testing.T) {
	is := is.New(t)
	const most = 4
	s := newTestServer(t, Limits{
		Conns:     most,
		HeldBytes: 1 << 20,
	})
	crowd := []net.Conn{s.dial(t, "127.0.0.2", "GET / HTTP/1.1\r\n")}
	s.awaitReader(t, 1, awaitsHead) // what is not read yet may be a whole request and is kept
	for range 3*most - 1 {
		crowd = append(crowd, s.dial(t, "127.0.0.2", "GET / HTTP/1.1\r\n"))
	}
	ordinary := s.dial(t, "127.0.0.3", "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(status(ordinary), http.StatusOK)
	is.Equal(status(crowd[0]), http.StatusServiceUnavailable)
	is.True(closed(crowd[0]))
	is.True(s.listener.Open() <= most+1) // one may be closing
}

// TestManyFieldsAreBounded sends heads of many fields, of which the memory has room for one; another
// is refused. An ordinary request is served meanwhile, and a single one of many fields as well.
func TestManyFieldsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Limits{
		Conns:     100,
		HeldBytes: 400 << 10,
	})
	var fields strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&fields, "a%d:\r\n", i)
	}
	text := "POST / HTTP/1.1\r\nHost: a\r\n" + fields.String() + "Content-Length: 2\r\n\r\nx"
	first := s.dial(t, "127.0.0.2", text)
	for end := time.Now().Add(10 * time.Second); s.listener.used.Load() < 300<<10 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	second := s.dial(t, "127.0.0.2", text)
	is.Equal(status(second), http.StatusServiceUnavailable)
	is.True(closed(second))
	ordinary := s.dial(t, "127.0.0.3", "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(status(ordinary), http.StatusOK)
	_, err := io.WriteString(first, "x")
	is.NoErr(err)
	is.Equal(status(first), http.StatusOK)
	first.Close()
	for end := time.Now().Add(10 * time.Second); s.listener.used.Load() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.listener.used.Load(), int64(0))
}

// TestLargestPeerGivesWay has one peer hold all memory for bodies. A body of another peer is
// taken, and one of the first is closed for it.
func TestLargestPeerGivesWay(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Limits{
		Conns:     100,
		HeldBytes: 256 << 10,
	})
	const members = 32
	const head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
	var crowd []net.Conn
	for range members {
		crowd = append(crowd, s.dial(t, "127.0.0.2", head+strings.Repeat("x", 7<<10)))
	}
	for end := time.Now().Add(10 * time.Second); s.listener.used.Load() < 250<<10 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	ordinary := s.dial(t, "127.0.0.3", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 9000))
	is.Equal(status(ordinary), http.StatusOK)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(s.causes[CauseMemory] > 0)
	is.Equal(len(crowd), members)
}
