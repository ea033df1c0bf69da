package connlimit

import (
	"errors"
	"net"
	"syscall"
)

// Socket looks at the socket of a connection, and sends and takes bytes without waiting. The zero
// value is that of a connection without one: nothing arrives on it, and nothing is sent.
type Socket struct {
	access syscall.RawConn
}

// NewSocket returns the socket of a connection.
func NewSocket(c net.Conn) Socket {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Socket{}
	}
	access, err := socket.SyscallConn()
	if err != nil {
		return Socket{}
	}
	return Socket{
		access: access,
	}
}

// Known reports whether the connection has a socket.
func (s Socket) Known() bool { return s.access != nil }

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

// Peek reports without waiting whether bytes have arrived that were not read, and whether the peer
// closed or reset the connection and all bytes that it sent before were read.
func (s Socket) Peek() (unread, closed bool) {
	if !s.Known() {
		return false, false
	}
	// Read would wait for the pending read of the server, Control does not.
	if err := s.access.Control(func(fd uintptr) {
		n, err := peekByte(fd)
		unread = n > 0
		closed = err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
	}); err != nil {
		return false, false
	}
	return unread, closed
}

// Await waits until bytes have arrived, which it does not take, or a read would fail. It calls look after
// each look at the socket with whether there are bytes and whether it waits for some.
func (s Socket) Await(look func(arrived, waits bool)) {
	if !s.Known() {
		return
	}
	// An error here is that of the read that follows, too.
	_ = s.access.Read(func(fd uintptr) bool {
		n, err := peekByte(fd)
		waits := errors.Is(err, syscall.EAGAIN)
		look(n > 0, waits)
		return !waits
	})
}

// Send writes data as far as the socket takes it without waiting. A short message that nothing was
// written before is taken whole.
func (s Socket) Send(data []byte) {
	if !s.Known() {
		return
	}
	// The peer may have left; there is nobody to send to then.
	_ = s.access.Control(func(fd uintptr) {
		_ = syscall.Sendto(int(fd), data, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil)
	})
}

// maxDrainBytes bounds what Drain takes: more than a request of the usual size.
const maxDrainBytes = 64 << 10

// Drain takes what has arrived without waiting. The close of a socket with unread data resets the
// connection, and its peer may lose what was sent to it (RFC 9112, section 9.6).
func (s Socket) Drain() {
	if !s.Known() {
		return
	}
	// An error ends the loop, and the close that follows ends the connection.
	_ = s.access.Control(func(fd uintptr) {
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
