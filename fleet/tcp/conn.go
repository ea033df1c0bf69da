package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrPeerClosed means that a write was aborted because the peer had ended its data.
var ErrPeerClosed = merry.Sentinel("the peer has closed its side of the connection")

// pastDeadline is a time in the past; as a deadline it fails all writes.
var pastDeadline = time.Unix(1, 0)

// Conn is a TCP connection that one goroutine may write while another one reads. Read returns
// io.EOF only after a FIN, never after a failure of the connection that Write has received. The
// end of the peer's data aborts a write in progress.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	written sync.Cond // signals that writing has become zero
	writing int       // number of calls of Write in progress
	// peerClosed reports whether Read has reached the end of the peer's data.
	peerClosed bool
	failure    error // of the connection, as received by Write
}

// New returns a Conn that uses a TCP connection. Only the Conn may be used from then on.
func New(c net.Conn) *Conn {
	k := &Conn{
		Conn: c,
	}
	k.written.L = &k.mu
	return k
}

// Read implements net.Conn. At the end of the peer's data it returns the failure of the
// connection if there is one, and io.EOF otherwise.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.awaitWriters(); failure != nil {
		return n, failure
	}
	return n, err
}

// ReadArrived reads what has arrived, like Read, but doesn't wait and doesn't depend on the read deadline. The error
// is os.ErrDeadlineExceeded if nothing has arrived, and wraps errors.ErrUnsupported if the connection has no socket.
func (c *Conn) ReadArrived(p []byte) (int, error) {
	access, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var received error
	if err := access.Control(func(fd uintptr) {
		n, _, received = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
	}); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(received, syscall.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case received != nil:
		return 0, os.NewSyscallError("recvfrom", received)
	case n > 0 || len(p) == 0:
		return n, nil
	}
	if failure := c.awaitWriters(); failure != nil {
		return 0, failure
	}
	return 0, io.EOF
}

// awaitWriters aborts the writes in progress, waits for their results and returns the failure
// of the connection. A call of Write that begins later can't have received a failure that
// preceded the end of the data.
func (c *Conn) awaitWriters() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerClosed = true
	for c.writing > 0 {
		if err := c.SetWriteDeadline(pastDeadline); err != nil {
			return err
		}
		c.written.Wait()
	}
	return c.failure
}

// Write implements net.Conn. It returns ErrPeerClosed if Read reaches the end of the peer's
// data meanwhile.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.writing == 0 {
		c.written.Broadcast()
	}
	if isFailure(err) {
		c.failure = err
	}
	if c.peerClosed && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, merry.Wrap(ErrPeerClosed)
	}
	return n, err
}

// isFailure reports whether the error of a write shows that the connection failed before its
// peer had ended its data. EPIPE doesn't: the kernel reports a reset that follows a FIN so.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// CloseWrite ends the data to the peer. The error wraps errors.ErrUnsupported if the connection can't be
// closed in one direction.
func (c *Conn) CloseWrite() error {
	k, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return merry.Prependf(errors.ErrUnsupported, "connection %T", c.Conn)
	}
	return k.CloseWrite()
}

// SyscallConn implements syscall.Conn. The error wraps errors.ErrUnsupported if the connection
// has no socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, merry.Prependf(errors.ErrUnsupported, "connection %T", c.Conn)
	}
	return s.SyscallConn()
}
