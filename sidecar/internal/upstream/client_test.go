package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/wire"
)

// startBreakingUpstream starts an upstream that answers the first request on each
// connection and closes the connection without an answer to the second. It counts the
// requests in seen and returns its URL.
func startBreakingUpstream(t *testing.T, seen *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for i := range 2 {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					seen.Add(1)
					if i == 1 {
						return
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestNonIdempotentRequestIsNotResent guards against running a request twice. Go's transport
// resends a POST with an Idempotency-Key if a connection that it reuses breaks. The case of a
// transport that keeps connections shows that this upstream provokes the resending.
func TestNonIdempotentRequestIsNotResent(t *testing.T) {
	for _, test := range []struct {
		name       string
		client     *Client
		idempotent bool
		resent     bool
	}{
		{
			name:   "claimed",
			client: NewClient(),
		},
		{
			name:       "idempotent",
			client:     NewClient(),
			idempotent: true,
		},
		{
			name: "on kept connections",
			client: &Client{
				singleUse: newHTTPClient(true),
			},
			resent: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var seen atomic.Int64
			url := startBreakingUpstream(t, &seen)
			const sent = 5
			for range sent {
				response, err := test.client.Do(context.Background(), url, &wire.RunRequest{
					Method:     http.MethodPost,
					Path:       "/bookings",
					Idempotent: test.idempotent,
					Header: map[string][]string{
						"Idempotency-Key": {"k"},
					},
				}, nil)
				is.NoErr(err)
				response.Body.Close()
			}
			is.Equal(seen.Load() > sent, test.resent)
		})
	}
}

// TestRefusedConnectionIsErrNotSent checks that a request is known not to have run if the
// upstream refuses the connection.
func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	_, err = NewClient().Do(context.Background(), "http://"+l.Addr().String(), &wire.RunRequest{
		Method: http.MethodPost,
		Path:   "/",
	}, nil)
	is.True(errors.Is(err, ErrNotSent))
}
