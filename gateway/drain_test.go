package main

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/program"
	"baobabpaddle/gateway/internal/serve"
)

// TestDrainAnswersRequestBeingRead finishes a drain while the head of a request has arrived in
// part: the request is answered when the rest arrives.
func TestDrainAnswersRequestBeingRead(t *testing.T) {
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Gateway,
	})
	is.NoErr(err)
	p := newServeComponents(ServeSettings{
		RetryWindowSeconds: 1,
	}, cred, slog.New(slog.DiscardHandler))
	server := httptest.NewUnstartedServer(p.handler)
	server.Config = program.NewServer(p.handler)
	server.Config.ConnState = p.handler.Conns().ConnState
	server.Config.ConnContext = p.handler.Conns().ConnContext
	server.Listener = p.handler.Conns().Listener(server.Listener)
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: ")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // lets the part arrive
	done := make(chan struct{})
	go func() {
		p.finish(server.Listener, server.Config, time.Now().Add(10*time.Second))
		close(done)
	}()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, "a\r\n\r\n")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // there is no configuration
	<-done
}

// TestDrainRefusesBacklog guards against requests whose connections wait to be accepted at the end of a
// drain and are reset.
func TestDrainRefusesBacklog(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var callers []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
		is.NoErr(err)
		callers = append(callers, c)
	}
	time.Sleep(50 * time.Millisecond) // lets the requests arrive
	noLimit := func() time.Duration { return 0 }
	conns := serve.NewConns(10, noLimit, noLimit)
	is.Equal(finish(listener, &http.Server{}, conns, time.Now().Add(time.Second)), 0)
	for _, c := range callers {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		response.Body.Close()
	}
	_, err = net.Dial("tcp", listener.Addr().String())
	is.True(err != nil)
}

// suspendedListener is a listener whose accepting goroutine is suspended with each new connection.
type suspendedListener struct {
	net.Listener
	accepted, goOn chan struct{}
}

// Accept implements net.Listener.
func (l suspendedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.goOn
	}
	return c, err
}

// TestDrainAnswersConnectionBeingAccepted guards against a request that gets no answer, since the drain
// ends while the goroutine that has taken its connection from the backlog waits for the processor.
func TestDrainAnswersConnectionBeingAccepted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	noLimit := func() time.Duration { return 0 }
	conns := serve.NewConns(10, noLimit, noLimit)
	server := program.NewServer(conns.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})))
	server.ConnState = conns.ConnState
	server.ConnContext = conns.ConnContext
	suspended := suspendedListener{
		Listener: listener,
		accepted: make(chan struct{}),
		goOn:     make(chan struct{}),
	}
	go server.Serve(conns.Listener(suspended))
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-suspended.accepted
	done := make(chan int)
	go func() { done <- finish(listener, server, conns, time.Now().Add(10*time.Second)) }()
	time.Sleep(100 * time.Millisecond) // lets the drain end if it does not wait
	close(suspended.goOn)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(<-done, 0)
}

// TestDrainDeadlineRefusesRequestBeingRead guards against requests that end without an answer or a
// refusal at the deadline of a drain: nobody has begun to handle them.
func TestDrainDeadlineRefusesRequestBeingRead(t *testing.T) {
	for name, sent := range map[string]string{
		"part of a head": "GET / HTTP/1.1\r\nHost: ",
		"whole request":  "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			noLimit := func() time.Duration { return 0 }
			conns := serve.NewConns(10, noLimit, noLimit)
			suspended := make(chan struct{})
			server := program.NewServer(conns.Handler(http.NotFoundHandler()))
			server.ConnState = func(c net.Conn, state http.ConnState) {
				conns.ConnState(c, state)
				if state == http.StateActive {
					<-suspended // its goroutine waits for the processor before the handler runs
				}
			}
			server.ConnContext = conns.ConnContext
			go server.Serve(conns.Listener(listener))
			c, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, sent)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond) // lets it arrive
			is.Equal(finish(listener, server, conns, time.Now()), 0)
			close(suspended)
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		})
	}
}

// TestDrainDeadlineSendsRefusal guards against a refusal that its caller doesn't get, since it waits for
// the rest of the request's body at the deadline of a drain.
func TestDrainDeadlineSendsRefusal(t *testing.T) {
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Gateway,
	})
	is.NoErr(err)
	p := newServeComponents(ServeSettings{
		RetryWindowSeconds: 1,
	}, cred, slog.New(slog.DiscardHandler))
	server := program.NewServer(p.handler)
	server.ConnState = p.handler.Conns().ConnState
	server.ConnContext = p.handler.Conns().ConnContext
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go server.Serve(p.handler.Conns().Listener(listener))
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // lets the request be refused
	finish(listener, server, p.handler.Conns(), time.Now())
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	response.Body.Close()
}
