package serve

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConnsAreBounded opens more connections than allowed, each idle after one request.
// The longest idle ones must be closed, and the newest must stay usable.
func TestConnsAreBounded(t *testing.T) {
	is := is.New(t)
	const most, opened = 5, 12
	conns := NewConns(most, func() time.Duration { return time.Hour }, noLimit)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = conns.ConnState
	server.Start()
	defer server.Close()
	var callers []net.Conn
	for range opened {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		_, err = c.Read(make([]byte, 1000))
		is.NoErr(err)
		callers = append(callers, c)
		time.Sleep(5 * time.Millisecond)
	}
	for end := time.Now().Add(5 * time.Second); conns.Open() > most && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(conns.Open() <= most)
	is.True(conns.NearLimit())
	_ = callers[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := callers[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = io.WriteString(callers[opened-1], "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, err = callers[opened-1].Read(make([]byte, 1000))
	is.NoErr(err)
}

// TestIdleConnsAreClosed checks that a changed idle limit applies to connections that are
// idle already.
func TestIdleConnsAreClosed(t *testing.T) {
	is := is.New(t)
	limit := time.Hour
	conns := NewConns(5, func() time.Duration { return limit }, noLimit)
	a, b := net.Pipe()
	defer b.Close()
	conns.ConnState(a, http.StateNew)
	conns.ConnState(a, http.StateActive)
	conns.ConnState(a, http.StateIdle)
	conns.prune(time.Now().Add(time.Minute))
	is.Equal(conns.idleConns.Len(), 1)
	limit = 30 * time.Second
	conns.prune(time.Now().Add(time.Minute))
	is.Equal(conns.idleConns.Len(), 0)
	_, err := b.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	conns.ConnState(a, http.StateClosed)
	is.Equal(conns.Open(), 0)
}
