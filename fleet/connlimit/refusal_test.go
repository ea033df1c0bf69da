package connlimit

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestBeyondLimitIsRefused guards against the close of a new connection beyond the limit without
// an answer to the request that has arrived on it or is about to.
func TestRequestBeyondLimitIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"arrived": whole,
		"to come": "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := NewListener(listener, Limits{}, nil)
			s := &testServer{
				address: listener.Addr().String(),
			}
			caller := s.dial(t, otherHost, text)
			time.Sleep(20 * time.Millisecond) // lets the request arrive
			go func() {
				_, _ = l.Accept() // until the listener is closed
			}()
			defer listener.Close()
			is.Equal(status(caller), http.StatusServiceUnavailable)
			is.True(closed(caller))
			for end := time.Now().Add(10 * time.Second); l.Open() != 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // the descriptor is free after the client gets the end
			}
			is.Equal(l.Open(), 0)
		})
	}
}
