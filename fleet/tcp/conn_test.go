package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// requestBytes is more than the buffers of a connection on the loopback interface take.
	requestBytes = 16 << 20
	// readBytes is the part of a request that test peers read.
	readBytes = 64 << 10
	answer    = "the first part"
)

// connect returns a TCP connection to a peer that reads readBytes, writes the answer and then
// calls end. What end leaves open is closed after the test, and not by the garbage collector.
func connect(t *testing.T, end func(*net.TCPConn)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, c, readBytes); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		end(c.(*net.TCPConn))
		<-t.Context().Done()
		_ = c.Close()
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// resets are the ways in which a peer that has not read all data ends the connection without a
// FIN.
var resets = map[string]func(*net.TCPConn){
	"closed with unread data": func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond) // until its receive buffer is full
		_ = c.Close()
	},
	"aborted": func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	},
}

// write writes a request and returns its result on a channel.
func write(c net.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, requestBytes))
		done <- err
	}()
	return done
}

// TestWriterTakesReset guards against a reset that the writer receives and that the reader
// takes for the end of a whole message. A plain connection shows that the peer provokes it.
func TestWriterTakesReset(t *testing.T) {
	for name, reset := range resets {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plain := connect(t, reset)
			is.True(errors.Is(<-write(plain), syscall.ECONNRESET))
			data, err := io.ReadAll(plain)
			is.NoErr(err) // as after a FIN
			is.Equal(string(data), answer)

			c := New(connect(t, reset))
			is.True(errors.Is(<-write(c), syscall.ECONNRESET))
			data, err = io.ReadAll(c)
			is.True(errors.Is(err, syscall.ECONNRESET))
			is.Equal(string(data), answer)
		})
	}
}

// TestResetDuringReadAndWrite guards against the same while both goroutines wait in the kernel,
// so that either may take the error.
func TestResetDuringReadAndWrite(t *testing.T) {
	for name, reset := range resets {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 50 {
				c := New(connect(t, reset))
				written := write(c)
				_, err := io.ReadAll(c)
				is.True(errors.Is(err, syscall.ECONNRESET))
				is.True(<-written != nil)
			}
		})
	}
}

// TestEndBeforeRequestIsRead guards against a peer that ends its data in order before it has
// read a request, and whose message is held back until the request is written, or taken for
// broken: the peer reads no further, or closes its connection afterwards, so that a reset
// follows.
func TestEndBeforeRequestIsRead(t *testing.T) {
	for name, closes := range map[string]bool{
		"kept":                 false,
		"closed with a reset":  true,
		"closed, writer first": true,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 20 {
				c := New(connect(t, func(peer *net.TCPConn) {
					_ = peer.CloseWrite()
					if closes {
						time.Sleep(time.Millisecond)
						_ = peer.Close()
					}
				}))
				started := time.Now()
				written := write(c)
				if name == "closed, writer first" {
					is.True(errors.Is(<-written, syscall.EPIPE))
				}
				data, err := io.ReadAll(c)
				is.NoErr(err)
				is.Equal(string(data), answer)
				if !closes {
					is.True(errors.Is(<-written, ErrPeerClosed))
				}
				is.True(time.Since(started) < 2*time.Second)
			}
		})
	}
}

// TestReadAfterLaterWrite checks that the end of the data stays an end if a write fails after
// it was read.
func TestReadAfterLaterWrite(t *testing.T) {
	is := is.New(t)
	c := New(connect(t, func(peer *net.TCPConn) { _ = peer.CloseWrite() }))
	_, err := c.Write(make([]byte, readBytes))
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.NoErr(err)
	is.NoErr(c.Close())
	_, err = c.Write([]byte("x"))
	is.True(errors.Is(err, net.ErrClosed))
	is.True(!isFailure(err))
}

// TestSyscallConn checks that a connection without a socket is reported.
func TestSyscallConn(t *testing.T) {
	is := is.New(t)
	_, err := New(connect(t, func(*net.TCPConn) {})).SyscallConn()
	is.NoErr(err)
	here, there := net.Pipe()
	defer there.Close()
	_, err = New(here).SyscallConn()
	is.True(errors.Is(err, errors.ErrUnsupported))
}
