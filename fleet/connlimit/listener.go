package connlimit

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// Limits bounds the connections of a Listener.
type Limits struct {
	// Conns is the maximum number of open connections. Hijacked ones don't count.
	Conns int
	// HeldBytes bounds the memory for the heads and bodies of requests that arrive.
	HeldBytes int64
}

// initialBodyBytes is the memory reserved for a body before any of it has arrived.
const initialBodyBytes = 512

// reservedFraction is the part of HeldBytes in addition to it that peers may use that are not
// the one that holds most.
const reservedFraction = 8

// Listener accepts the connections of a http.Server within its limits. When a limit is reached
// it closes those that Order gives. Its methods are safe for concurrent use.
type Listener struct {
	net.Listener
	limits Limits
	// closed is called for each connection that a limit ended, with its peer.
	closed func(peer netip.Addr, cause string)

	used atomic.Int64

	mu   sync.Mutex
	open map[net.Conn]*conn // by what Accept returned
}

// Causes for which a connection is closed.
const (
	CauseConns  = "connections"
	CauseMemory = "memory"
)

// NewListener returns a Listener that accepts from l. Closed is told of each connection that a
// limit ended; nil means nobody.
func NewListener(l net.Listener, limits Limits, closed func(peer netip.Addr, cause string)) *Listener {
	if closed == nil {
		closed = func(netip.Addr, string) {}
	}
	return &Listener{
		Listener: l,
		limits:   limits,
		closed:   closed,
		open:     make(map[net.Conn]*conn),
	}
}

// Attach makes the server report its connections to l. It must be called before Serve.
func (l *Listener) Attach(server *http.Server) {
	server.ConnState = l.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{
		Conn:     accepted,
		listener: l,
		peer:     Peer(accepted),
		since:    time.Now(),
	}
	var returned net.Conn = c
	if _, ok := accepted.(*tls.Conn); ok {
		returned = accepted // the server needs its certificates; its heads are not counted
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[returned] = c
	if len(l.open) > l.limits.Conns {
		l.closeFirst(CauseConns, func(*conn) int64 { return 1 }, 1)
	}
	return returned, nil
}

// Open returns the number of open connections that count.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// closeFirst closes connections in the order of what they hold until need is freed, and reports
// whether it was; mu must be held.
func (l *Listener) closeFirst(cause string, held func(*conn) int64, need int64) bool {
	conns := make([]*conn, 0, len(l.open))
	holders := make([]Holder, 0, len(l.open))
	for _, c := range l.open {
		conns = append(conns, c)
		amount := held(c)
		if c.closing {
			amount = 0
		}
		holders = append(holders, Holder{
			Peer:  c.peer,
			Held:  amount,
			Since: c.since,
		})
	}
	for _, i := range Order(holders) {
		if need <= 0 {
			break
		}
		need -= holders[i].Held
		conns[i].closing = true
		l.closed(conns[i].peer, cause)
		go conns[i].Close() // the server then reports StateClosed
	}
	return need <= 0
}

// connState records the change of a connection's state.
func (l *Listener) connState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	t, ok := l.open[c]
	if state == http.StateHijacked || state == http.StateClosed {
		delete(l.open, c)
	}
	l.mu.Unlock()
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		t.inHead.Store(false)
	case http.StateIdle:
		t.release()
		t.inHead.Store(true)
	case http.StateHijacked, http.StateClosed:
		t.inHead.Store(false)
		t.release()
	}
}

// reserve reserves bytes for c. If there is no room it closes connections that hold more. It
// reports false if c itself is the one to give up.
func (l *Listener) reserve(c *conn, n int64) bool {
	if used := l.used.Add(n); used <= l.limits.HeldBytes {
		c.held.Add(n)
		return true
	} else if used > l.limits.HeldBytes+l.limits.HeldBytes/reservedFraction {
		l.used.Add(-n)
		return false
	}
	wanted := c.held.Add(n)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeFirst(CauseMemory, func(o *conn) int64 {
		if o == c || o.peer == c.peer && o.held.Load() <= wanted {
			return 0
		}
		return o.held.Load()
	}, n) {
		return true
	}
	c.held.Add(-n)
	l.used.Add(-n)
	return false
}

// errClosed is the error of reads for which there is no memory. The server closes the connection;
// other errors than those of the network it answers with status 400.
var errClosed = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: net.ErrClosed,
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ErrNoMemory is returned for a body that there is no memory for.
var ErrNoMemory = merry.Sentinel("there is no memory for another request")

// ReadAll reads the body of the request with the context to its end and reserves its memory as
// it arrives. The error is ErrNoMemory if there is no room.
func ReadAll(ctx context.Context, body io.Reader) ([]byte, error) {
	var out []byte
	for {
		if len(out) == cap(out) {
			more := max(cap(out), initialBodyBytes)
			if !Reserve(ctx, int64(more)) {
				return nil, ErrNoMemory
			}
			grown := make([]byte, len(out), cap(out)+more) // no more than what is reserved
			copy(grown, out)
			out = grown
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Reserve reserves bytes for what the request with the context holds, until it is answered. It
// reports false if there is no room. Without a Listener there is always room.
func Reserve(ctx context.Context, n int64) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return !ok || c.listener.reserve(c, n)
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	peer     netip.Addr
	since    time.Time
	held     atomic.Int64
	// closing is true once a limit has ended the connection; Listener.mu guards it.
	closing bool
	// inHead is true between two requests, and head and charged are the head that arrives and
	// the bytes reserved for it; one goroutine reads at a time.
	inHead  atomic.Bool
	began   bool
	head    HeadCost
	charged int64
}

// Read implements net.Conn. It reserves the memory of a head as it arrives, and fails if there
// is none.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.readingHead() {
		return n, err
	}
	if cost := c.head.Add(p[:n]); cost > c.charged {
		if !c.listener.reserve(c, cost-c.charged) {
			c.listener.closed(c.peer, CauseMemory)
			return 0, errClosed
		}
		c.charged = cost
	}
	return n, err
}

// readingHead reports whether what is read belongs to a head.
func (c *conn) readingHead() bool {
	if !c.began {
		c.began = true
		c.inHead.Store(true)
	}
	return c.inHead.Load()
}

// release returns what the connection holds.
func (c *conn) release() {
	c.listener.used.Add(-c.held.Swap(0))
	c.head, c.charged = HeadCost{}, 0
}
