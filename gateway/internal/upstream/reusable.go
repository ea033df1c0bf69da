package upstream

import (
	"syscall"
)

// reusable reports whether an idle connection is open and no bytes have arrived on it. Bytes
// that arrive between requests belong to none, so a later answer could not be trusted.
func (k *conn) reusable() bool {
	return k.reader.Buffered() == 0 && k.empty()
}

// empty reports whether the connection is open and nothing that has arrived on it is unread. It
// doesn't depend on deadlines.
func (k *conn) empty() bool {
	access, err := k.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = access.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
	})
	return err == nil && empty
}
