package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// lateListener accepts connections on which the server reads the first bytes at once and
// all others only after the channel is closed, as in a process without processor time.
type lateListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &lateConn{
		TCPConn:  c,
		released: l.released,
	}, nil
}

// lateConn is a connection of a lateListener.
type lateConn struct {
	*net.TCPConn
	released chan struct{}
	reads    atomic.Int64
}

// Read implements net.Conn.
func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) > 1 {
		<-c.released
	}
	return c.TCPConn.Read(p)
}

// placeHook is a scheduler that calls onPlace with the number of the placement, from 1,
// before it returns a decision.
type placeHook struct {
	*fakeScheduler
	placed  atomic.Int64
	onPlace func(n int64)
}

// Place implements Scheduler.
func (p *placeHook) Place(ctx context.Context, r dispatch.Request) dispatch.Decision {
	p.onPlace(p.placed.Add(1))
	return p.fakeScheduler.Place(ctx, r)
}

// lateGateway is a testGateway that reads late from the connection of its caller.
type lateGateway struct {
	*testGateway
	caller *net.TCPConn
	// ended is closed when the first request has been handled.
	ended chan struct{}
}

// newLateGateway returns a gateway that calls onPlace before each decision.
func newLateGateway(t *testing.T, onPlace func(g *lateGateway, n int64), scripts ...script) *lateGateway {
	t.Helper()
	g := &lateGateway{
		testGateway: newTestGateway(t, scripts...),
		ended:       make(chan struct{}),
	}
	g.handler.scheduler = &placeHook{
		fakeScheduler: g.scheduler,
		onPlace:       func(n int64) { onPlace(g, n) },
	}
	var handled atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if handled.Add(1) == 1 {
			defer close(g.ended)
		}
		g.handler.ServeHTTP(w, r)
	}))
	released := make(chan struct{})
	server.Listener = g.handler.Conns().Listener(lateListener{
		TCPListener: server.Listener.(*net.TCPListener),
		released:    released,
	})
	server.Config.ConnState = g.handler.Conns().ConnState
	server.Config.ConnContext = g.handler.Conns().ConnContext
	server.Start()
	t.Cleanup(func() {
		close(released)
		server.Close()
	})
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	g.caller = c.(*net.TCPConn)
	return g
}

// rawRequest returns a request of a caller as sent.
func rawRequest(path, id string) string {
	const body = "body"
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nX-Api-Key: key-1\r\nBaobabpaddle-Attempt-Id: " + id +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// propagationDelay is longer than the end of a loopback connection takes to arrive.
const propagationDelay = 50 * time.Millisecond

// TestCallerLeavesBeforeSend has the caller leave while its request waits for a placement,
// at a gateway that has not read the end of the connection when it decides. The request, its
// retry or the resumption of its stream must not be sent.
func TestCallerLeavesBeforeSend(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		scripts  []script
		leavesAt int64
	}{
		"request": {
			path:     "/look/",
			scripts:  []script{reply("200 OK", stamp, "yes")},
			leavesAt: 1,
		},
		"once only": {
			path:     "/book/",
			scripts:  []script{reply("200 OK", stamp, "yes")},
			leavesAt: 1,
		},
		"retry": {
			path:     "/look/",
			scripts:  []script{hangUp, reply("200 OK", stamp, "yes")},
			leavesAt: 2,
		},
		"resumption": {
			path:     "/chat/",
			scripts:  []script{eventStream(event1, false), eventStream(event2, true)},
			leavesAt: 2,
		},
	} {
		for way, leave := range map[string]func(c *net.TCPConn){
			"closes":      func(c *net.TCPConn) { _ = c.Close() },
			"half-closes": func(c *net.TCPConn) { _ = c.CloseWrite() },
			"resets":      func(c *net.TCPConn) { reset(c) },
		} {
			t.Run(name+" "+way, func(t *testing.T) {
				is := is.New(t)
				g := newLateGateway(t, func(g *lateGateway, n int64) {
					if n == c.leavesAt {
						leave(g.caller)
						time.Sleep(propagationDelay)
					}
				}, c.scripts...)
				_, err := io.WriteString(g.caller, rawRequest(c.path, "id-1"))
				is.NoErr(err)
				<-g.ended
				time.Sleep(propagationDelay)
				is.Equal(g.requestCount(), int(c.leavesAt)-1)
				is.Equal(len(g.scheduler.ended), int(c.leavesAt))
				is.Equal(g.scheduler.ended[c.leavesAt-1], dispatch.CallerLeft)
			})
		}
	}
}

// TestCallerSendsMoreBeforeAnswer has a caller send a second request before the first is
// placed. Both must be answered.
func TestCallerSendsMoreBeforeAnswer(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, reply("200 OK", stamp, "yes"))
	var caller net.Conn
	g.handler.scheduler = &placeHook{
		fakeScheduler: g.scheduler,
		onPlace: func(n int64) {
			if n == 1 {
				_, _ = io.WriteString(caller, rawRequest("/look/", "id-2")) // the test sees what is missing
				time.Sleep(propagationDelay)
			}
		},
	}
	server := httptest.NewUnstartedServer(g.handler)
	server.Listener = g.handler.Conns().Listener(server.Listener)
	server.Config.ConnState = g.handler.Conns().ConnState
	server.Config.ConnContext = g.handler.Conns().ConnContext
	server.Start()
	defer server.Close()
	var err error
	caller, err = net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	_, err = io.WriteString(caller, rawRequest("/look/", "id-1"))
	is.NoErr(err)
	reader := bufio.NewReader(caller)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(string(body), "yes")
	}
	is.Equal(g.requestCount(), 2)
}

// TestHalfClosedCallerGetsNoWholeAnswer guards against an empty or cut answer that is framed
// as whole: a caller that has closed its sending side only may still read.
func TestHalfClosedCallerGetsNoWholeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		scripts  []script
		leavesAt int64
	}{
		"before the answer": {
			path:     "/look/",
			scripts:  []script{reply("200 OK", stamp, "yes")},
			leavesAt: 1,
		},
		"in a stream": {
			path:     "/chat/",
			scripts:  []script{eventStream(event1, false), eventStream(event2, true)},
			leavesAt: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, c.scripts...)
			var caller *net.TCPConn
			g.handler.scheduler = &placeHook{
				fakeScheduler: g.scheduler,
				onPlace: func(n int64) {
					if n == c.leavesAt {
						_ = caller.CloseWrite()
						time.Sleep(propagationDelay)
					}
				},
			}
			server := httptest.NewUnstartedServer(g.handler)
			server.Listener = g.handler.Conns().Listener(server.Listener)
			server.Config.ConnState = g.handler.Conns().ConnState
			server.Config.ConnContext = g.handler.Conns().ConnContext
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			caller = conn.(*net.TCPConn)
			_, err = io.WriteString(caller, rawRequest(c.path, "id-1"))
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				return // no answer
			}
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
		})
	}
}

// TestCallerLeavesDuringRun guards against requests that upstreams work on long after their callers have
// left: the gateway has not read the end of the connection.
func TestCallerLeavesDuringRun(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		// answer is what the upstream sends at once.
		answer string
	}{
		"request":       {"/look/", ""},
		"once only":     {"/book/", ""},
		"stream":        {"/chat/", ""},
		"begun stream":  {"/chat/", event1},
		"begun draft":   {"/draft/", event1},
		"begun request": {"/look/", "part"},
	} {
		for way, leave := range map[string]func(c *net.TCPConn){
			"closes":      func(c *net.TCPConn) { _ = c.Close() },
			"half-closes": func(c *net.TCPConn) { _ = c.CloseWrite() },
			"resets":      func(c *net.TCPConn) { reset(c) },
		} {
			t.Run(name+" "+way, func(t *testing.T) {
				is := is.New(t)
				began, left := make(chan struct{}), make(chan struct{})
				g := newLateGateway(t, func(*lateGateway, int64) {}, func(w net.Conn, r *http.Request) bool {
					if c.answer != "" {
						eventStream(c.answer, false)(w, r)
					}
					close(began)
					_, _ = io.ReadAll(w) // any end will do
					close(left)
					return false
				})
				go g.handler.Conns().Run(t.Context())
				_, err := io.WriteString(g.caller, rawRequest(c.path, "id-1"))
				is.NoErr(err)
				<-began
				time.Sleep(propagationDelay)
				leave(g.caller)
				select {
				case <-left:
				case <-time.After(leftNotice):
					t.Fatal("the upstream still works")
				}
				<-g.ended
				is.Equal(g.scheduler.ended, []dispatch.Outcome{dispatch.CallerLeft})
			})
		}
	}
}
