package connlimit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bounds the connections of a Listener.
type Limits struct {
	// Conns is the maximum number of open connections. Hijacked ones don't count.
	Conns int
	// HeldBytes bounds the memory for the heads and bodies of requests that arrive.
	HeldBytes int64
}

// Listener accepts the connections of a http.Server within its limits. When a limit is reached
// it gives up those that Order gives, unless their requests have arrived whole. Its methods are
// safe for concurrent use.
type Listener struct {
	net.Listener
	limits Limits
	// closed is called for each connection that a limit ended, with its peer.
	closed func(peer netip.Addr, cause string)
	// refusals are the answers to requests whose connections are ended, by cause.
	refusals map[string][]byte

	used atomic.Int64 // of HeldBytes
	// held is the number of connections that were accepted and are neither closed nor hijacked. Those that
	// were given up count until their descriptors are free.
	held atomic.Int64

	mu   sync.Mutex
	open map[net.Conn]*conn // by what Accept returned
	// ending are connections that were ended under mu and have to be closed.
	ending []*conn
	// toGiveUp is the rest of the order in which connections are given up for new ones, orderedAt is when
	// it was made, and gaveUp is true if one of it was given up.
	toGiveUp  []ordered
	orderedAt time.Time
	gaveUp    bool
}

// Causes for which a connection is closed.
const (
	CauseConns  = "connections"
	CauseMemory = "memory"
)

// NewListener returns a Listener that accepts from l. Closed, if not nil, is called for each connection
// that a limit ended.
func NewListener(l net.Listener, limits Limits, closed func(peer netip.Addr, cause string)) *Listener {
	if closed == nil {
		closed = func(netip.Addr, string) {}
	}
	return &Listener{
		Listener: l,
		limits:   limits,
		closed:   closed,
		refusals: map[string][]byte{
			CauseConns:  newRefusal(CauseConns),
			CauseMemory: newRefusal(CauseMemory),
		},
		open: make(map[net.Conn]*conn),
	}
}

// Attach makes the server report its connections and the bodies that its handler reads to l. It
// must be called before Serve.
func (l *Listener) Attach(server *http.Server) {
	server.ConnState = l.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	next := server.Handler
	if next == nil {
		next = http.DefaultServeMux
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && r.Body != http.NoBody {
			r.Body = body{
				ReadCloser: r.Body,
				conn:       c,
			}
		}
		if ok && c.yields.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Accept implements net.Listener. Connections beyond the limit are refused at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, returned := l.newConn(accepted)
		if l.admit(c, returned) {
			return returned, nil
		}
	}
}

// admit reports whether a new connection keeps the limit, for which it may give up another one. If
// not, it refuses what has arrived on the new one and closes it. One goroutine accepts connections.
func (l *Listener) admit(c *conn, returned net.Conn) bool {
	l.mu.Lock()
	l.open[returned] = c
	if l.held.Add(1) > int64(l.limits.Conns) {
		l.giveUpOne(c)
	}
	l.unlockForNew()
	l.mu.Lock()
	if c.reader.Load() != connEnded && (l.held.Load() <= int64(l.limits.Conns) || l.yield(c.peer)) {
		l.mu.Unlock()
		return true
	}
	delete(l.open, returned)
	l.mu.Unlock()
	if c.reader.Load() != connEnded {
		c.refuse(CauseConns)
	}
	closeConn(c)
	return false
}

// newConn returns the conn of an accepted connection, and what the server gets. The server needs
// the certificates of a connection with TLS, whose heads and bodies are not counted.
func (l *Listener) newConn(accepted net.Conn) (*conn, net.Conn) {
	raw := accepted
	encrypted, ok := accepted.(*tls.Conn)
	if ok {
		raw = encrypted.NetConn()
	}
	c := &conn{
		Conn:     raw,
		listener: l,
		socket:   NewSocket(raw),
		peer:     Peer(accepted),
		tls:      ok,
	}
	c.reader.Store(awaitsRequest)
	c.counted.Store(true)
	c.since.Store(time.Now().UnixNano())
	if ok {
		return c, accepted
	}
	return c, c
}

// Open returns the number of open connections that count.
func (l *Listener) Open() int { return int(l.held.Load()) }

// connState records the change of a connection's state.
func (l *Listener) connState(returned net.Conn, state http.ConnState) {
	l.mu.Lock()
	c, ok := l.open[returned]
	if state == http.StateHijacked || state == http.StateClosed {
		delete(l.open, returned)
	}
	l.mu.Unlock()
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.phase.Store(phaseAnswering)
		if c.tls {
			c.swapReader(readerRuns)
		}
	case http.StateIdle:
		c.release()
		c.since.Store(time.Now().UnixNano())
		c.kept.Store(true)
		c.partial = false
		c.phase.Store(phaseHead)
		if c.tls {
			c.swapReader(awaitsRequest)
		}
	case http.StateHijacked:
		c.phase.Store(phaseHijacked)
		c.release()
		c.uncount()
	case http.StateClosed:
		c.release()
		c.uncount() // with TLS the server has closed what is below it
	}
}
