package upstream

import (
	"syscall"
)

// quiet reports whether an idle connection is open and nothing has arrived on
// it. Bytes that arrive while no request is under way belong to none.
func (k *conn) quiet() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	raw, ok := k.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = access.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && quiet
}
