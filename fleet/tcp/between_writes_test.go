package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResetBetweenWrites guards against a reset that arrives while no call on the connection is in
// progress, and that the reader takes for the end of a whole message. The next call receives it,
// which is a write or a read.
func TestResetBetweenWrites(t *testing.T) {
	for name, reset := range resets {
		for next, write := range map[string]bool{
			"a write follows": true,
			"a read follows":  false,
		} {
			t.Run(name+", "+next, func(t *testing.T) {
				is := is.New(t)
				for range 20 {
					ended := make(chan struct{})
					c := New(connect(t, func(peer *net.TCPConn) {
						reset(peer)
						close(ended)
					}))
					_, err := c.Write(make([]byte, 2*readBytes)) // the peer reads a half of it
					is.NoErr(err)
					<-ended
					time.Sleep(time.Millisecond) // until the reset has arrived
					if write {
						_, err = c.Write([]byte("x"))
						is.True(errors.Is(err, syscall.ECONNRESET))
						_, err = c.Write([]byte("x"))
						is.True(errors.Is(err, syscall.EPIPE)) // it doesn't replace the first
					}
					data, err := io.ReadAll(c)
					is.True(errors.Is(err, syscall.ECONNRESET))
					is.Equal(string(data), answer)
				}
			})
		}
	}
}
