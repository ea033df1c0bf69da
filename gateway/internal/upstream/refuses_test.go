package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusesAfterCrash checks the difference between an upstream whose answer broke off
// and one that has ended: the host of the latter refuses connections.
func TestRefusesAfterCrash(t *testing.T) {
	is := is.New(t)
	u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		write(w, answerFor(r.Header.Get(idHeader), "yes"))
		return true
	})
	c := newClient()
	is.True(!c.Refuses(u.address()))
	is.Equal(c.Idle(), 1) // the connection of the check is kept
	body, err := exchange(t, c, u.address(), request("a", "body"))
	is.NoErr(err)
	is.Equal(body, "yes")
	is.Equal(u.conns.Load(), int64(1))
	u.listener.Close()
	c.Prune(time.Now().Add(time.Hour)) // forgets the check
	is.True(c.Refuses(u.address()))
}

// TestRefusesAsksOnce guards against a burst of connections to an upstream at which many
// exchanges broke off.
func TestRefusesAsksOnce(t *testing.T) {
	is := is.New(t)
	u := serve(t, func(int64, net.Conn, *bufio.Reader, *http.Request) bool { return false })
	c := newClient()
	var wait sync.WaitGroup
	for range 50 {
		wait.Go(func() { c.Refuses(u.address()) })
	}
	wait.Wait()
	is.True(u.conns.Load() <= 3) // more than one only if the test was slow
}

// TestRefusesWhileProcessEnds guards against a crash that isn't recognized, since the kernel closes
// the connections of the process a little before its listener: a connection that is opened in
// between is accepted and then reset.
func TestRefusesWhileProcessEnds(t *testing.T) {
	is := is.New(t)
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		time.AfterFunc(2*time.Millisecond, func() { l.Close() })
		is.True(newClient().Refuses(l.Addr().String()))
	}
}

// TestSurplusConnectionIsNoCrash guards against an upstream that counts as crashed since it resets
// connections beyond its limit.
func TestSurplusConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	c := newClient()
	is.True(!c.Refuses(l.Addr().String()))
	is.Equal(c.Idle(), 0)
}
