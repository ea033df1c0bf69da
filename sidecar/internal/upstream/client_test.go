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

// breaking is an upstream that answers one request on each connection and
// breaks the connection when a second one comes on it.
func breaking(t *testing.T, seen *atomic.Int64) string {
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

// TestNonIdempotentRequestIsNotResent sends POSTs that carry an Idempotency-Key, which
// Go's transport sends again when a used connection breaks. Requests that may
// not be repeated arrive as often as they are sent; those that may be show that
// the upstream would have caught it.
func TestNonIdempotentRequestIsNotResent(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		again      bool
	}{
		{
			name: "claimed",
		},
		{
			name:       "repeatable",
			idempotent: true,
			again:      true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var seen atomic.Int64
			url := breaking(t, &seen)
			client := NewClient()
			const sent = 5
			for range sent {
				response, err := client.Do(context.Background(), url, &wire.RunRequest{
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
			is.Equal(seen.Load() > sent, test.again)
		})
	}
}

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
