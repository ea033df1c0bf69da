package serve

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/connlimit"
)

const (
	// connScanInterval is the interval between scans for connections to close.
	connScanInterval = 500 * time.Millisecond
	// defaultIdleTimeout is the time that a connection may be idle if the configuration
	// sets no limit.
	defaultIdleTimeout = time.Minute
	// nearLimitFraction is the fraction of the maximum number of connections above which
	// a refusal closes its connection; the caller retries on a new one.
	nearLimitFraction = 0.5
)

// Conns bounds the connections of callers. It closes connections that are idle for too
// long or on which the head of a request takes too long, and the longest idle one when
// there are too many. Late heads are detected only on connections of its Listener. Its
// methods are safe for concurrent use.
type Conns struct {
	maxOpen     int
	idleTimeout func() time.Duration
	headTimeout func() time.Duration

	// accepting is held while a connection is accepted.
	accepting sync.Mutex
	// roomUntil is until when new connections may wait for room, and refusedInTurn the number of those that were
	// refused since; accepting guards them.
	roomUntil     time.Time
	refusedInTurn int
	// room has a value if an admitted connection was closed, and closedAt is the time of the last such close,
	// or of the last connection that was given up for a new one, in Unix nanoseconds.
	room     chan struct{}
	closedAt atomic.Int64

	mu        sync.Mutex
	open      map[net.Conn]*list.Element // element of idleConns; nil while not idle
	idleConns list.List                  // of idleConn, longest idle first
	// closed is told of each connection that is given up at a limit, with its peer.
	closed func(peer netip.Addr, cause string)
	// dropped is called when a request, or a part of one, is dropped, since its connection is being
	// closed.
	dropped func(peer netip.Addr, d closeDecision)
	// refusals are the answers to requests whose connections are closed, by cause, which are sent in
	// turn, and refused is called for each that is sent.
	refusals map[string][][]byte
	refused  func(cause string)
	sent     atomic.Uint64 // refusals
	// reserve reserves memory for a head that arrives on a connection, and release returns it.
	reserve func(t *trackedConn, n int64) bool
	release func(t *trackedConn, n int64)
	// toGiveUp are connections that may be given up, the first to go first, as of orderedAt.
	toGiveUp  []ordered
	orderedAt time.Time
	// ending are connections that unlock ends.
	ending []*trackedConn
	// descriptors is the number of connections of Listener that are not closed.
	descriptors atomic.Int64
	// fullUntil is until when the limit counts as reached, in Unix nanoseconds.
	fullUntil atomic.Int64
	// closing is true after CloseIdle: connections that nothing arrives on are closed.
	closing bool
	// callers are those whose requests run.
	callers callers
}

// Causes for which a connection is closed, beside those of package connlimit.
const (
	causeIdle     = "idle"
	causeLateHead = "late_head"
	causeDrain    = "drain"
)

// idleConn is an idle connection and the time since which it is idle.
type idleConn struct {
	conn  net.Conn
	since time.Time
}

// NewConns returns the Conns of a server that allows at most maxOpen connections.
// IdleTimeout returns the time that a connection may be idle; zero means one minute.
// HeadTimeout returns the time that the head of a request may take; zero means no limit.
func NewConns(maxOpen int, idleTimeout, headTimeout func() time.Duration) *Conns {
	c := &Conns{
		maxOpen:     maxOpen,
		idleTimeout: idleTimeout,
		headTimeout: headTimeout,
		room:        make(chan struct{}, 1),
		open:        make(map[net.Conn]*list.Element),
		closed:      func(netip.Addr, string) {},
		dropped:     func(netip.Addr, closeDecision) {},
		refused:     func(string) {},
		reserve:     func(*trackedConn, int64) bool { return true },
		release:     func(*trackedConn, int64) {},
	}
	c.setRefusals([]string{defaultRetryAfter}, defaultRetryAfter)
	return c
}

// ConnState records a change of a connection's state. It is meant for
// http.Server.ConnState.
func (c *Conns) ConnState(conn net.Conn, state http.ConnState) {
	c.callers.scanIfDue()
	c.mu.Lock()
	if state == http.StateNew {
		defer c.unlockForNew()
	} else {
		defer c.unlock()
	}
	if e := c.open[conn]; e != nil {
		c.idleConns.Remove(e)
	}
	switch state {
	case http.StateNew, http.StateActive:
		c.open[conn] = nil
	case http.StateIdle:
		if t, ok := conn.(*trackedConn); ok {
			t.responseDone()
			c.releaseHead(t)
		}
		c.open[conn] = c.idleConns.PushBack(idleConn{
			conn:  conn,
			since: time.Now(),
		})
	default:
		delete(c.open, conn)
		if t, ok := conn.(*trackedConn); ok {
			c.releaseHead(t)
		}
	}
	if state == http.StateNew && len(c.open) > c.maxOpen {
		c.makeRoom(conn)
	}
	if state == http.StateNew && c.closing {
		c.closeIfIdle(conn, causeDrain)
	}
}

// closeIfIdle closes a connection and reports true, unless a request has begun to arrive on it;
// mu must be held. Of connections that are not of Listener, that is known only once the whole
// head was read.
func (c *Conns) closeIfIdle(conn net.Conn, cause string) bool {
	e := c.open[conn]
	t, tracked := conn.(*trackedConn)
	if tracked && !t.endIdle() || !tracked && e == nil {
		return false
	}
	if e != nil {
		c.idleConns.Remove(e)
		c.open[conn] = nil
	}
	// The server then reports StateClosed, which removes it from c.open.
	if tracked {
		c.end(t, cause, connlimit.Idle)
	} else {
		go conn.Close()
	}
	return true
}

// NearLimit reports whether so many connections are open that callers whose requests are
// refused should give theirs up.
func (c *Conns) NearLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.open)) > nearLimitFraction*float64(c.maxOpen)
}

// Busy returns the number of connections on which a request, or a part of one, has
// arrived that is not answered yet. One that was not read counts after CloseIdle.
func (c *Conns) Busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for conn := range c.open {
		if t, ok := conn.(*trackedConn); ok && (t.busy() || c.closing && t.state.Load() != connClosing) {
			n++
		}
	}
	return n
}

// CloseIdle closes all connections on which nothing has arrived since the last answer, and from
// now on new ones on which nothing has arrived yet. After it, only requests on connections that
// Busy counts are handled.
func (c *Conns) CloseIdle() {
	c.mu.Lock()
	defer c.unlock()
	c.closing = true
	for conn := range c.open {
		c.closeIfIdle(conn, causeDrain)
	}
}

// Open returns the number of open connections.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Run closes connections that are idle or read a head for too long, and ends requests whose callers
// have left, until ctx ends.
func (c *Conns) Run(ctx context.Context) {
	c.callers.run(ctx)
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

// prune closes the connections that are overdue at the time now.
func (c *Conns) prune(now time.Time) {
	limit := c.idleTimeout()
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	c.mu.Lock()
	defer c.unlock()
	for e := c.idleConns.Front(); e != nil && now.Sub(e.Value.(idleConn).since) > limit; {
		conn := e.Value.(idleConn).conn
		e = e.Next()
		c.closeIfIdle(conn, causeIdle)
	}
	c.pruneLateHeads(now)
	c.markStalled(now)
}

// pruneLateHeads closes connections whose head is late; mu must be held. A connection is
// closed only if it is late in two scans and more of its head has to arrive: after a pause of the
// process a head may look late that has arrived meanwhile.
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
		since := t.headSince()
		if since == 0 || now.Sub(time.Unix(0, since)) <= limit {
			t.overdue = false
			continue
		}
		if t.overdue && t.headIncomplete() && t.endHead(since) {
			c.end(t, causeLateHead, connlimit.ReadingHead)
		}
		t.overdue = true
	}
}
