package serve

import (
	"net"
	"os"
	"syscall"
	"time"
)

// trackingListener accepts connections as *trackedConn.
type trackingListener struct {
	net.Listener
	conns *Conns
}

const (
	// roomTime is how long connections at the bound on descriptors may wait for others to be closed.
	roomTime = 100 * time.Millisecond
	// refusalsPerTurn is the number of connections that are refused in a row before more may wait.
	refusalsPerTurn = 64
	// arrivalPause is how long no connection arrives if the backlog was empty.
	arrivalPause = time.Millisecond
)

// Accept implements net.Listener. Connections beyond the bound on descriptors wait in the backlog for as
// long as others are being closed, for roomTime at most, and are then refused at once. As long as more
// arrive it waits no longer than it refuses.
func (l trackingListener) Accept() (net.Conn, error) {
	l.conns.accepting.Lock()
	defer l.conns.accepting.Unlock()
	for {
		began := time.Now()
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.conns.allowWait(began, time.Now())
		if t := newTrackedConn(c, l.conns); l.conns.admit(t) {
			return t, nil
		}
		l.conns.refusedInTurn++
	}
}

// allowWait sets until when new connections may wait for room, given when Accept of the listener was called and
// when it returned a connection; accepting must be held.
func (c *Conns) allowWait(called, returned time.Time) {
	wait := roomTime
	if returned.Sub(called) <= arrivalPause {
		if c.refusedInTurn < refusalsPerTurn {
			return
		}
		wait = max(0, min(wait, returned.Sub(c.roomUntil)))
	}
	c.roomUntil, c.refusedInTurn = returned.Add(wait), 0
}

// Listener returns a listener that accepts from l the connections of a server whose
// ConnState and ConnContext are those of c.
func (c *Conns) Listener(l net.Listener) net.Listener {
	return trackingListener{
		Listener: l,
		conns:    c,
	}
}

// CloseListener closes a listener after it has refused the requests that wait in the backlog, whose
// connections the system would reset. The backlog of a listener without a socket is not known. A
// connection that is being accepted is open when CloseListener returns.
func (c *Conns) CloseListener(l net.Listener) error {
	if t, ok := l.(trackingListener); ok {
		l = t.Listener
	}
	if socket, ok := l.(syscall.Conn); ok {
		for conn := acceptNow(socket); conn != nil; conn = acceptNow(socket) {
			c.descriptors.Add(1)
			newTrackedConn(conn, c).refuseNew(causeDrain)
		}
	}
	err := l.Close()
	c.accepting.Lock() // until Accept has returned
	defer c.accepting.Unlock()
	return err
}

// acceptNow accepts a connection without waiting. It returns nil if the backlog is empty.
func acceptNow(listener syscall.Conn) net.Conn {
	access, err := listener.SyscallConn()
	if err != nil {
		return nil
	}
	var accepted *os.File
	// An error here means that the listener is closed.
	_ = access.Control(func(fd uintptr) {
		if n, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); err == nil {
			accepted = os.NewFile(uintptr(n), "accepted")
		}
	})
	if accepted == nil {
		return nil
	}
	defer accepted.Close()
	conn, err := net.FileConn(accepted)
	if err != nil {
		return nil
	}
	return conn
}
