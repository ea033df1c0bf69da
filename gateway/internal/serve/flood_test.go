package serve

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// floodListener accepts a number of connections without waiting, then none.
type floodListener struct {
	net.Listener
	t    *testing.T
	left int
}

func (l *floodListener) Accept() (net.Conn, error) {
	if l.left == 0 {
		return nil, net.ErrClosed
	}
	l.left--
	c, peer := net.Pipe()
	l.t.Cleanup(func() { peer.Close() })
	return c, nil
}

// TestFloodIsRefused guards against callers that wait in the backlog at the limit of connections for seconds: as
// long as answers ended, Accept waited for 100 ms after each 64 refusals.
func TestFloodIsRefused(t *testing.T) {
	is := is.New(t)
	conns := NewConns(10, noLimit, noLimit)
	listener := conns.Listener(&floodListener{
		t:    t,
		left: 2000,
	})
	answering := make(chan net.Conn, 1000)
	go func() {
		for c := range answering {
			time.Sleep(10 * time.Millisecond)
			closeConn(c)
		}
	}()
	defer close(answering)
	began := time.Now()
	conns.closedAt.Store(began.UnixNano())
	answered := 0
	for {
		c, err := listener.Accept()
		if err != nil {
			break
		}
		c.(*trackedConn).state.Store(connAnswering)
		answering <- c
		answered++
	}
	is.True(answered > 11) // more than the bound
	is.True(time.Since(began) < time.Second)
}
