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

// heldConn is a connection whose close waits.
type heldConn struct {
	net.Conn
	release <-chan struct{}
}

func (c heldConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// TestRefusedCallersGiveNothingUp guards against requests that give way to callers that are refused all the same:
// each caller beyond the bound had another one given up, whose descriptor was not free yet.
func TestRefusedCallersGiveNothingUp(t *testing.T) {
	is := is.New(t)
	conns := NewConns(9, noLimit, noLimit)
	release := make(chan struct{})
	defer close(release)
	var arriving []*trackedConn
	for range 10 { // the bound
		conn := newPipeConn(t, conns)
		conn.Conn = heldConn{
			Conn:    conn.Conn,
			release: release,
		}
		conns.roomUntil = time.Now().Add(time.Hour)
		is.True(conns.admit(conn))
		conn.state.Store(time.Now().UnixNano())
		arriving = append(arriving, conn)
	}
	givenUp := func() (n int) {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		for _, conn := range arriving {
			if conn.givenUp {
				n++
			}
		}
		return n
	}
	conns.room <- struct{}{} // of an earlier close
	is.Equal(conns.admit(newPipeConn(t, conns)), false)
	is.Equal(givenUp(), 1) // its place may be free within roomTime
	conns.roomUntil = time.Now()
	for range 5 {
		is.Equal(conns.admit(newPipeConn(t, conns)), false)
	}
	is.Equal(givenUp(), 1)
}

// TestClockStepEndsWaits guards against a listener that doesn't accept, and answers that close their connections,
// for as long as the clock was set back.
func TestClockStepEndsWaits(t *testing.T) {
	is := is.New(t)
	conns := NewConns(1, noLimit, noLimit)
	conns.descriptors.Store(2)
	later := time.Now().Add(time.Hour)
	conns.roomUntil = later
	conns.closedAt.Store(later.UnixNano())
	conns.fullUntil.Store(later.UnixNano())
	is.Equal(conns.Full(time.Now()), false)
	is.Equal(conns.awaitRoom(), false)
}
