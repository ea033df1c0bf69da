package connlimit

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// States of the reader of a conn.
const (
	// readerRuns means that the server handles what it has read, or reads what has arrived.
	readerRuns int32 = iota
	// awaitsRequest, awaitsHead and awaitsBody mean that it waits for the first byte of a request, for
	// more of a head, or for more of the body that the handler reads.
	awaitsRequest
	awaitsHead
	awaitsBody
	// awaitsRest means that it waits for the rest of a body that no handler reads: the request is
	// answered after it.
	awaitsRest
	// connEnded means that a limit has ended the connection. Nothing more is read from it.
	connEnded
)

// Phases of the requests on a conn.
const (
	phaseHead int32 = iota
	phaseAnswering
	phaseBody // its handler reads it
	phaseHijacked
)

const (
	// stallTime is how long a write must wait for the peer until its connection may be given up, as
	// at gateways.
	stallTime = 10 * time.Second
	// stallConfirmTime is the time between two looks at such a write: after a pause of the process it
	// may seem to wait though it has ended.
	stallConfirmTime = 500 * time.Millisecond
)

// errClosed is the error of reads from a connection that a limit has ended. The server closes the
// connection; other errors than those of the network it answers with status 400.
var errClosed = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: net.ErrClosed,
}

// conn is a connection of a Listener, or what is below its TLS.
type conn struct {
	net.Conn
	listener *Listener
	socket   Socket
	peer     netip.Addr
	// tls is true if the server reads from the connection through TLS: not by Read, and its states
	// are those that the server reports.
	tls  bool
	held atomic.Int64
	// reader is one of the states above. A reader that waits and a limit that ends the connection
	// swap it, so that nothing is read that would have no answer.
	reader atomic.Int32
	phase  atomic.Int32
	// since is when the connection was accepted or became idle, and writeSince when a write began, in Unix
	// nanoseconds; zero between writes.
	since, writeSince atomic.Int64
	closing           sync.Once
	closeError        error
	counted           atomic.Bool // in Listener.held
	kept              atomic.Bool // a request was answered on it
	yields            atomic.Bool // it is closed after the next answer
	// lateWrite is the writeSince of a write that was late at lateAt, and answersEarly is true if the
	// rest of a body was given up; Listener.mu guards them.
	lateWrite    int64
	lateAt       time.Time
	answersEarly bool
	// partial is true if a part of a head was read; head and charged are the head that arrives and the
	// bytes reserved for it. One goroutine reads at a time.
	partial bool
	head    HeadCost
	charged int64
}

// Read implements net.Conn. It reserves the memory of a head as it arrives; without memory the request
// is refused.
func (c *conn) Read(p []byte) (int, error) {
	if !c.await(len(p)) {
		return 0, errClosed
	}
	n, err := c.Conn.Read(p)
	if n == 0 || c.phase.Load() != phaseHead {
		return n, err
	}
	c.partial = true
	if cost := c.head.Add(p[:n]); cost > c.charged {
		if !c.listener.reserve(c, cost-c.charged) {
			c.refuse(CauseMemory)
			return 0, errClosed
		}
		c.charged = cost
	}
	return n, err
}

// await waits until there are bytes to read, and reports false if a limit ends the connection
// meanwhile. While a whole request is answered, the server looks for the end of the connection by
// a read of one byte; there the reader doesn't count as one that waits.
func (c *conn) await(size int) bool {
	phase := c.phase.Load()
	if ended := c.reader.Load() == connEnded; ended || phase == phaseHijacked || phase != phaseHead && size <= 1 {
		return !ended
	}
	waiting := c.waiting(phase)
	c.socket.Await(func(_, waits bool) {
		if waits {
			c.reader.CompareAndSwap(readerRuns, waiting)
		}
	})
	return c.swapReader(readerRuns)
}

// swapReader sets the state of the reader, unless a limit has ended the connection. It reports
// whether none has.
func (c *conn) swapReader(state int32) bool {
	for {
		current := c.reader.Load()
		if current == connEnded {
			return false
		}
		if c.reader.CompareAndSwap(current, state) {
			return true
		}
	}
}

// waiting returns the state of a reader that waits in the phase.
func (c *conn) waiting(phase int32) int32 {
	switch {
	case phase == phaseBody:
		return awaitsBody
	case phase == phaseAnswering:
		return awaitsRest
	case c.partial:
		return awaitsHead
	}
	return awaitsRequest
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	since := time.Now().UnixNano()
	c.writeSince.Store(since)
	n, err := c.Conn.Write(p)
	c.writeSince.CompareAndSwap(since, 0)
	return n, err
}

// refuse ends the connection and refuses the request that has arrived on it or is about to.
func (c *conn) refuse(cause string) {
	c.reader.Store(connEnded)
	if !c.tls {
		c.socket.Send(c.listener.refusals[cause])
	}
	_ = c.CloseWrite() // fails only if the connection has ended already
	c.listener.closed(c.peer, cause)
}

// CloseWrite closes the writing side of the connection if it can be closed separately.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. When it returns, the descriptor is free.
func (c *conn) Close() error {
	c.closing.Do(func() {
		if c.reader.Load() == connEnded || c.yields.Load() {
			c.socket.Drain()
		}
		c.closeError = c.Conn.Close()
		c.uncount()
	})
	return c.closeError
}

// uncount records that the connection holds no descriptor of the Listener.
func (c *conn) uncount() {
	if c.counted.CompareAndSwap(true, false) {
		c.listener.held.Add(-1)
	}
}

// release returns what the connection holds.
func (c *conn) release() {
	c.listener.used.Add(-c.held.Swap(0))
	c.head, c.charged = HeadCost{}, 0
}

// body is the body of a request, as its handler reads it.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	b.conn.phase.CompareAndSwap(phaseAnswering, phaseBody)
	defer b.conn.phase.CompareAndSwap(phaseBody, phaseAnswering)
	return b.ReadCloser.Read(p)
}
