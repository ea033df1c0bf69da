package serve

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// trackedConn is a caller's connection that tells whether a request has come on it.
// The server reports a connection as active only once a whole head is read.
type trackedConn struct {
	net.Conn
	// headSince is when the first byte of a head came, in Unix nanoseconds; zero while
	// none is being read.
	headSince atomic.Int64
	// answering is true from the end of a request's head to the end of its answer.
	answering atomic.Bool
	// overdue tells that the head was late when it was last looked at; Conns.mu guards
	// it.
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

// CloseWrite closes the writing side, where the connection has one of its own.
func (t *trackedConn) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

func (t *trackedConn) busy() bool { return t.answering.Load() || t.headSince.Load() != 0 }

// headRead notes that a head is read, answered that its request is answered.
func (t *trackedConn) headRead() {
	t.answering.Store(true)
	t.headSince.Store(0)
}

func (t *trackedConn) responseDone() { t.answering.Store(false) }

// trackingListener returns tracked connections.
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

// Listener returns a listener for a server of these connections.
func (c *Conns) Listener(l net.Listener) net.Listener {
	return trackingListener{
		Listener: l,
	}
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// ConnContext adds a connection to the contexts of its requests, as
// http.Server.ConnContext.
func (c *Conns) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// HeadRead notes that the head of a request is read.
func (c *Conns) HeadRead(ctx context.Context) {
	if t, ok := ctx.Value(connKey{}).(*trackedConn); ok {
		t.headRead()
	}
}
