package upstream

import (
	"syscall"
)

// reusable reports whether an idle connection is open and no bytes have arrived on it. Bytes
// that arrive between requests belong to none, so a later answer could not be trusted.
func (k *conn) reusable() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	access, err := k.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = access.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true // don't wait for the socket to become readable
	})
	return err == nil && empty
}
