package main

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
)

// TestDrainThroughSidecarsAnswersRequestBeingRead guards against requests that get no answer since
// a gateway that uses sidecars is stopped while their heads arrive: on a new connection and on a
// kept one.
func TestDrainThroughSidecarsAnswersRequestBeingRead(t *testing.T) {
	for _, kept := range []bool{false, true} {
		is := is.New(t)
		cred, err := credential.Load(credential.Settings{
			PrivateNetwork: true,
		}, credential.Peer{
			Role: credential.Gateway,
		})
		is.NoErr(err)
		s := Settings{
			Listen:       "127.0.0.1:0",
			DrainSeconds: 10,
		}
		p := newComponents(s, cred, slog.New(slog.DiscardHandler))
		go p.coordinator.Run(t.Context())
		listener, err := listenForCallers(s)
		is.NoErr(err)
		server := p.newServer()
		go server.Serve(p.conns.Listener(listener))
		defer server.Close()
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		reader := bufio.NewReader(c)
		answer := func() int {
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			return response.StatusCode
		}
		if kept {
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			is.Equal(answer(), http.StatusUnauthorized) // it has no key
		}
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: ")
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond) // lets the part arrive
		done := make(chan struct{})
		go func() {
			p.drain(listener, server)
			close(done)
		}()
		time.Sleep(100 * time.Millisecond) // lets the drain begin
		_, err = io.WriteString(c, "a\r\n\r\n")
		is.NoErr(err)
		is.Equal(answer(), http.StatusServiceUnavailable) // it drains
		<-done
	}
}
