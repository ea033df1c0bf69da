package serve

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// trackedConn is a caller's connection that records whether a request has begun to
// arrive on it. The server reports a connection as active only once a whole head was
// read.
type trackedConn struct {
	net.Conn
	// headSince is when the first byte of a head arrived, in Unix nanoseconds; zero while
	// none is being read.
	headSince atomic.Int64
	// answering is true from the end of a request's head to the end of its answer.
	answering atomic.Bool
	// overdue is true if the head was late in the last scan; Conns.mu guards it.
	overdue bool
}

// Read implements net.Conn.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 && !t.answering.Load() {
		t.headSince.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite closes the writing side of the connection if it can be closed separately.
func (t *trackedConn) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// closedByCaller reports whether the caller closed or reset the connection and all bytes
// that it sent before were read. It does not wait and reads nothing.
func (t *trackedConn) closedByCaller() bool {
	socket, ok := t.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	access, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// Read would wait for the pending read of the server, Control does not.
	if err := access.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != nil {
			closed = err != syscall.EAGAIN && err != syscall.EINTR
			return
		}
		closed = n == 0
	}); err != nil {
		return false
	}
	return closed
}

// busy reports whether a request is arriving or being answered.
func (t *trackedConn) busy() bool { return t.answering.Load() || t.headSince.Load() != 0 }

// headRead records that the head of a request was read.
func (t *trackedConn) headRead() {
	t.answering.Store(true)
	t.headSince.Store(0)
}

// responseDone records that the request was answered.
func (t *trackedConn) responseDone() { t.answering.Store(false) }

// trackingListener accepts connections as *trackedConn.
type trackingListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{
		Conn: c,
	}, nil
}

// Listener returns a listener that accepts from l the connections of a server whose
// ConnState and ConnContext are those of c.
func (c *Conns) Listener(l net.Listener) net.Listener {
	return trackingListener{
		Listener: l,
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext returns ctx with conn, for HeadRead and CallerLeft. It is meant for
// http.Server.ConnContext.
func (c *Conns) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// HeadRead records that the head of the request with context ctx was read.
func (c *Conns) HeadRead(ctx context.Context) {
	if t, ok := ctx.Value(connKey{}).(*trackedConn); ok {
		t.headRead()
	}
}

// CallerLeft reports whether the request with context ctx has ended or its caller has
// closed the connection. The context ends only once a read of the server has returned the
// end of the connection, which takes long in a process that is short of processor time.
func (c *Conns) CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	t, ok := ctx.Value(connKey{}).(*trackedConn)
	return ok && t.closedByCaller()
}
