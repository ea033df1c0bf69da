package local

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestReservedAddressIsHeld checks that a reserved address is bound, so that the kernel
// assigns its port to no connection and no other listener, and that the program it is
// meant for can listen on it, also a second time.
func TestReservedAddressIsHeld(t *testing.T) {
	is := is.New(t)
	address, err := ReserveAddress()
	is.NoErr(err)
	is.True(bindExclusively(t, address) != nil) // another socket could bind the address
	for range 2 {
		l, err := net.Listen("tcp", address)
		is.NoErr(err)
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		is.NoErr(c.Close())
		is.NoErr(l.Close())
	}
}

// TestReservedAddressesDiffer reserves many addresses and expects all to be different.
func TestReservedAddressesDiffer(t *testing.T) {
	is := is.New(t)
	const addresses = 500
	reserved := make(map[string]bool)
	for range addresses {
		a, err := ReserveAddress()
		is.NoErr(err)
		reserved[a] = true
	}
	is.Equal(len(reserved), addresses)
}

// bindExclusively binds an address without SO_REUSEADDR and returns the error.
func bindExclusively(t *testing.T, address string) error {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(socket) }()
	a := netip.MustParseAddrPort(address)
	return syscall.Bind(socket, &syscall.SockaddrInet4{
		Addr: a.Addr().As4(),
		Port: int(a.Port()),
	})
}
