package serve

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"
)

// socket returns access to the connection's socket, or nil if it has none.
func (t *trackedConn) socket() syscall.RawConn { return socketOf(t.Conn) }

// socketOf returns access to the socket of c, or nil if it has none.
func socketOf(c net.Conn) syscall.RawConn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	access, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return access
}

// peekByte returns the number of bytes that a read of one byte would return, without waiting and
// without taking it.
func peekByte(fd uintptr) (int, error) {
	for {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// peek reports without waiting whether bytes have arrived that were not read, and whether the
// caller closed or reset the connection and all bytes that it sent before were read.
func (t *trackedConn) peek() (unread, closed bool) { return peekSocket(t.socket()) }

// arriving reports without waiting whether bytes have arrived that were not read, encrypted ones of a
// connection of TLS, too.
func (t *trackedConn) arriving() bool {
	c := t.Conn
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	unread, _ := peekSocket(socketOf(c))
	return unread
}

// peekSocket is trackedConn.peek for a socket; nil stands for none.
func peekSocket(access syscall.RawConn) (unread, closed bool) {
	if access == nil {
		return false, false
	}
	// Read would wait for the pending read of the server, Control does not.
	if err := access.Control(func(fd uintptr) {
		n, err := peekByte(fd)
		unread = n > 0
		closed = err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
	}); err != nil {
		return false, false
	}
	return unread, closed
}

// readNow reads what of a head has arrived, without waiting and after the deadline of reads, too: the
// reader may have waited for the processor. It returns the number of bytes.
func (t *trackedConn) readNow(p []byte) int {
	access := t.socket()
	if access == nil || len(p) == 0 {
		return 0
	}
	read := 0
	// An error ends the connection, as the deadline would have.
	_ = access.Control(func(fd uintptr) {
		if n, err := peekByte(fd); err != nil || n == 0 {
			return
		}
		t.state.CompareAndSwap(connIdle, time.Now().UnixNano()) // before the bytes are taken, see awaitHead
		for {
			n, _, err := syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			read = max(n, 0)
			return
		}
	})
	return read
}

// maxDrainBytes bounds what drain reads: more than a request of the usual size.
const maxDrainBytes = 64 << 10

// sendNow writes data as far as the socket takes it without waiting. A short message that nothing
// was written before is taken whole.
func (t *trackedConn) sendNow(data []byte) {
	access := t.socket()
	if access == nil {
		return
	}
	// The caller may have left; there is nobody to send to then.
	_ = access.Control(func(fd uintptr) {
		_ = syscall.Sendto(int(fd), data, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil)
	})
}

// drain takes what has arrived on the socket without waiting. The close of a socket with unread data
// resets the connection, and its peer may lose what was sent to it (RFC 9112, section 9.6).
func (t *trackedConn) drain() {
	access := t.socket()
	if access == nil {
		return
	}
	// An error ends the loop, and the close that follows ends the connection.
	_ = access.Control(func(fd uintptr) {
		buffer := make([]byte, 4<<10)
		for taken := 0; taken < maxDrainBytes; {
			n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_DONTWAIT)
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil || n == 0 {
				return
			}
			taken += n
		}
	})
}
