package local

import (
	"net/netip"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// ReserveAddress returns a loopback address whose port the kernel assigns to no
// other process until this process ends: a socket that is bound and never listens
// holds it. A program that binds the address with SO_REUSEADDR, as net.Listen does,
// can listen on it, also after a restart.
func ReserveAddress() (string, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", merry.Prepend(err, "reserve address")
	}
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", merry.Prepend(err, "reserve address")
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{
		Addr: loopback,
	}); err != nil {
		return "", merry.Prepend(err, "reserve address")
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return "", merry.Prepend(err, "reserve address")
	}
	port := bound.(*syscall.SockaddrInet4).Port
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(port)).String(), nil
}

// reserveAddresses reserves n addresses.
func reserveAddresses(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		a, err := ReserveAddress()
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}
