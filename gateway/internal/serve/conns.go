package serve

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of callers' connections.
const (
	// connScanInterval is how often idle connections are looked at.
	connScanInterval = 500 * time.Millisecond
	// defaultIdleTimeout is how long a connection may be idle while the configuration sets
	// no limit.
	defaultIdleTimeout = time.Minute
	// nearLimitFraction is the part of the connections that may be open beyond which
	// connections are closed after a refusal: the caller comes back on another one.
	nearLimitFraction = 0.5
)

// Conns bounds callers' connections: idle ones and those on which the head of a
// request does not end are closed after the times that the configuration allows, and
// the one that is idle for longest when there are too many. Heads are seen on
// connections of its Listener.
type Conns struct {
	maxOpen     int
	idleTimeout func() time.Duration
	headTimeout func() time.Duration

	mu        sync.Mutex
	open      map[net.Conn]*list.Element // nil while it is not idle
	idleConns list.List                  // of idleConn, the longest idle first
}

type idleConn struct {
	conn  net.Conn
	since time.Time
}

// NewConns returns the connections of a server, at most so many. Idle tells how
// long one may be idle, head how long the head of a request may take; zero is not
// set.
func NewConns(most int, idle, head func() time.Duration) *Conns {
	return &Conns{
		maxOpen:     most,
		idleTimeout: idle,
		headTimeout: head,
		open:        make(map[net.Conn]*list.Element),
	}
}

// ConnState takes a change of a connection's state, as http.Server.ConnState.
func (c *Conns) ConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[conn]; e != nil {
		c.idleConns.Remove(e)
	}
	switch state {
	case http.StateNew, http.StateActive:
		c.open[conn] = nil
	case http.StateIdle:
		if t, ok := conn.(*trackedConn); ok {
			t.responseDone()
		}
		c.open[conn] = c.idleConns.PushBack(idleConn{
			conn:  conn,
			since: time.Now(),
		})
	default:
		delete(c.open, conn)
	}
	if state == http.StateNew && len(c.open) > c.maxOpen {
		c.closeLongestIdle()
	}
}

// closeLongestIdle closes the connection that is idle for longest; mu is held.
func (c *Conns) closeLongestIdle() {
	if first := c.idleConns.Front(); first != nil {
		// The server reports the end, which removes it from the open ones.
		go first.Value.(idleConn).conn.Close()
		c.idleConns.Remove(first)
		c.open[first.Value.(idleConn).conn] = nil
	}
}

// NearLimit reports whether callers should leave their connections.
func (c *Conns) NearLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.open)) > nearLimitFraction*float64(c.maxOpen)
}

// Busy returns on how many connections a request has come, at least in part, that is
// not answered.
func (c *Conns) Busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for conn := range c.open {
		if t, ok := conn.(*trackedConn); ok && t.busy() {
			n++
		}
	}
	return n
}

// CloseIdle closes all connections on which nothing has come since the last answer.
func (c *Conns) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idleConns.Front(); e != nil; e = e.Next() {
		conn := e.Value.(idleConn).conn
		if t, ok := conn.(*trackedConn); !ok || !t.busy() {
			go conn.Close() // the server reports the end
		}
	}
}

// Open returns how many connections are open.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Run closes connections that are idle for too long, until the context ends.
func (c *Conns) Run(ctx context.Context) {
	ticker := time.NewTicker(connScanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.prune(now)
		}
	}
}

func (c *Conns) prune(now time.Time) {
	limit := c.idleTimeout()
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for first := c.idleConns.Front(); first != nil; first = c.idleConns.Front() {
		if now.Sub(first.Value.(idleConn).since) <= limit {
			break
		}
		c.closeLongestIdle()
	}
	c.pruneLateHeads(now)
}

// pruneLateHeads closes connections whose head is late; mu is held. A process that was
// paused finds heads late that have arrived meanwhile, so each is looked at twice.
func (c *Conns) pruneLateHeads(now time.Time) {
	limit := c.headTimeout()
	if limit <= 0 {
		return
	}
	for conn := range c.open {
		t, ok := conn.(*trackedConn)
		if !ok {
			continue
		}
		if since := t.headSince.Load(); since == 0 || now.Sub(time.Unix(0, since)) <= limit {
			t.overdue = false
			continue
		}
		if t.overdue {
			go conn.Close() // the server reports the end
		}
		t.overdue = true
	}
}
