package serve

import (
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"baobabpaddle/fleet/connlimit"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/telemetry"
)

const (
	// freeAnswerBytes is the part of an answer or of an event that may be held without a
	// reservation. Nearly all are shorter.
	freeAnswerBytes = 16 << 10
	// unreadBodyTimeout is how long the rest of a refused request's body may take to arrive,
	// after which its connection is closed. Bodies mostly arrive with their heads.
	unreadBodyTimeout = time.Second
	// stallTime is how long a write must wait for the caller until its connection may be
	// given up. A caller that reads takes milliseconds.
	stallTime = time.Second
	// minGivenUpFactor is how many times more than a request a connection of the same caller
	// must hold to be given up for it.
	minGivenUpFactor = 4
)

// held is what is held for one request.
type held struct {
	// conn is the connection that the request arrived on; nil if it is not of Listener.
	conn *trackedConn
	// bodyRead is true once the reading of the body has ended.
	bodyRead bool
	// bytes is the memory reserved for the request.
	bytes int64
}

// newHeld returns the held of a request that holds nothing.
func newHeld(r *http.Request) held {
	t, _ := r.Context().Value(connKey{}).(*trackedConn)
	return held{
		conn: t,
	}
}

// limitConns connects the limits of the connections with those of the requests.
func (h *Handler) limitConns(metrics *telemetry.Metrics) {
	h.conns.closed = program.ReportClosed("callers", metrics, h.log)
	h.conns.dropped = reportDropped(metrics, h.log)
	h.conns.reserve, h.conns.release = h.reserve, h.release
}

// Bounds of the pause between two lines about dropped bytes.
const (
	droppedLogInterval    = time.Second
	droppedLogMaxInterval = 30 * time.Second
)

// reportDropped returns a function that counts requests that were dropped, since their connections
// were being closed, and logs them at growing intervals. It is safe for concurrent use.
func reportDropped(metrics *telemetry.Metrics, log *slog.Logger) func(netip.Addr, closeDecision) {
	var mu sync.Mutex
	since := 0 // the last line
	pace := telemetry.Pace{
		First: droppedLogInterval,
		Max:   droppedLogMaxInterval,
	}
	return func(peer netip.Addr, d closeDecision) {
		metrics.Counter(`gateway_requests_dropped_total{cause="` + d.cause + `",phase="` + d.phase.String() + `"}`).Inc()
		mu.Lock()
		defer mu.Unlock()
		since++
		if pace.Due(time.Now()) {
			log.Warn("request arrived on a connection that is being closed", "cause", d.cause, "phase", d.phase.String(), "decided_ms_before", time.Since(d.at).Milliseconds(), "peer", peer, "dropped", since)
			since = 0
		}
	}
}

// reserve reserves n bytes for the request. If there is no room it gives up connections that
// hold more. It reports false if there is none.
func (x *exchange) reserve(n int64) bool {
	if !x.handler.reserve(x.held.conn, n) {
		return false
	}
	x.held.bytes += n
	return true
}

// release returns n reserved bytes.
func (x *exchange) release(n int64) {
	x.held.bytes -= n
	x.handler.release(x.held.conn, n)
}

// releaseAll returns all bytes reserved for the request.
func (x *exchange) releaseAll() { x.release(x.held.bytes) }

// reserve reserves n bytes for a connection, which may be nil. If there is no room it gives up
// connections that hold more. It reports false if there is none.
func (h *Handler) reserve(t *trackedConn, n int64) bool {
	if !h.bodies.reserve(n) && (t == nil || !h.reserveBeyond(t, n)) {
		return false
	}
	if t != nil {
		t.held.Add(n)
	}
	return true
}

// reserveBeyond reserves n bytes beyond the limit and gives up connections that hold as much.
func (h *Handler) reserveBeyond(t *trackedConn, n int64) bool {
	if !h.bodies.reserveBeyond(n) {
		return false
	}
	if !h.conns.giveUpBytes(t, n) {
		h.bodies.release(n)
		return false
	}
	return true
}

// release returns n bytes reserved for a connection, which may be nil.
func (h *Handler) release(t *trackedConn, n int64) {
	h.bodies.release(n)
	if t != nil {
		t.held.Add(-n)
	}
}

// limitUnreadBody bounds the time in which the server reads what is left of the body of a
// refused request before it answers.
func (x *exchange) limitUnreadBody() {
	if x.held.bodyRead || x.r.ContentLength == 0 {
		return
	}
	// Without a deadline the answer waits for a caller that sends no more.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	x.beginBody() // lasts until the answer is sent
}

// limitRefusal bounds the time of a refusal that is written next.
func (x *exchange) limitRefusal() {
	x.limitUnreadBody()
	x.limitWrite()
}

// noConns ends an attempt for which no connection may be opened.
func (x *exchange) noConns(id uint64) outcome {
	x.nothingSent = true
	x.unsentTo += maxUnsent // no other upstream can be reached either
	x.handler.scheduler.ReportOutcome(id, dispatch.Unsent)
	return notRun
}

// limitWrite bounds the time in which the caller must accept what is written next.
func (x *exchange) limitWrite() {
	now := time.Now()
	// If the deadline can't be set, the write fails as well.
	_ = http.NewResponseController(x.w).SetWriteDeadline(now.Add(callerWriteTimeout))
	if t := x.held.conn; t != nil {
		t.writeSince.Store(now.UnixNano())
	}
}

// endWrite records that the caller has accepted what was written.
func (x *exchange) endWrite() {
	if t := x.held.conn; t != nil {
		t.writeSince.Store(0)
	}
}

// holdEvent reserves memory for a part of an event that is long, beside what is reserved for it
// already. It reports false if there is none.
func (x *exchange) holdEvent(reserved *int64) bool {
	size := int64(x.events.partialSize())
	if size <= freeAnswerBytes || size <= *reserved {
		return true
	}
	more := max(size-*reserved, freeAnswerBytes)
	if !x.reserve(more) {
		return false
	}
	*reserved += more
	return true
}

// beginBody records that the body of the request arrives, and endBody that it has.
func (x *exchange) beginBody() {
	if t := x.held.conn; t != nil {
		t.bodySince.Store(time.Now().UnixNano())
	}
}

func (x *exchange) endBody() {
	if t := x.held.conn; t != nil {
		t.bodySince.Store(0)
	}
}

// phase returns how far the request on the connection has come, and since when.
func (t *trackedConn) phase(now time.Time) (phase connlimit.Phase, since time.Time) {
	state := t.state.Load()
	body, write := t.bodySince.Load(), t.writeSince.Load()
	switch {
	case t.givenUp || state == connClosing:
		return connlimit.Answering, now
	case state == connIdle && t.kept.Load():
		return connlimit.Idle, time.Unix(0, t.idleSince.Load())
	case state == connIdle: // nothing has arrived yet
		return connlimit.ReadingHead, time.Unix(0, t.idleSince.Load())
	case state > 0:
		return connlimit.ReadingHead, time.Unix(0, state)
	case write > 0 && write == t.stalledWrite:
		return connlimit.Stalled, time.Unix(0, write)
	case body > 0:
		return connlimit.ReadingBody, time.Unix(0, body)
	}
	return connlimit.Answering, now
}

// markStalled records which writes have waited for their callers for longer than stallTime; mu
// must be held. One counts from the second scan that sees it, since after a pause of the process
// a write may seem to wait that has ended.
func (c *Conns) markStalled(now time.Time) {
	for conn := range c.open {
		t, ok := conn.(*trackedConn)
		if !ok {
			continue
		}
		write := t.writeSince.Load()
		if write == 0 || now.Sub(time.Unix(0, write)) <= stallTime {
			continue
		}
		if t.lateWrite == write {
			t.stalledWrite = write
		}
		t.lateWrite = write
	}
}

// holders returns the open connections and what they hold; mu must be held. Connections that
// are not of Listener are left out.
func (c *Conns) holders(held func(*trackedConn) int64) ([]*trackedConn, []connlimit.Holder) {
	now := time.Now()
	conns := make([]*trackedConn, 0, len(c.open))
	holders := make([]connlimit.Holder, 0, len(c.open))
	for conn := range c.open {
		t, ok := conn.(*trackedConn)
		if !ok {
			continue
		}
		phase, since := t.phase(now)
		conns = append(conns, t)
		holders = append(holders, connlimit.Holder{
			Peer:  t.peer,
			Held:  held(t),
			Phase: phase,
			Since: since,
		})
	}
	return conns, holders
}

// giveUpBytes gives up connections that hold n bytes together and more than that of t. It
// reports whether there were enough.
func (c *Conns) giveUpBytes(t *trackedConn, n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := minGivenUpFactor * (t.held.Load() + n)
	conns, holders := c.holders(func(o *trackedConn) int64 {
		held := o.held.Load()
		if o == t || o.peer == t.peer && held < least {
			return 0
		}
		return held
	})
	for _, i := range connlimit.Order(holders) {
		if n <= 0 {
			break
		}
		if c.giveUp(conns[i], holders[i].Phase, connlimit.CauseMemory) {
			n -= holders[i].Held
		}
	}
	return n <= 0
}

// orderLifetime is how long an order of connections to give up is used. To order them anew for each
// new connection would take most of the processor time of a small host beyond the limit.
const orderLifetime = 50 * time.Millisecond

// cheapOrder is the number of connections up to which they are ordered anew each time.
const cheapOrder = 256

// ordered is a connection that may be given up as long as it is in the phase.
type ordered struct {
	conn  *trackedConn
	phase connlimit.Phase
}

// giveUpOne gives up one connection, and reports whether there was one; mu must be held.
func (c *Conns) giveUpOne() bool {
	now := time.Now()
	if len(c.open) <= cheapOrder || now.Sub(c.orderedAt) > orderLifetime {
		c.order(now)
	}
	for len(c.toGiveUp) > 0 {
		next := c.toGiveUp[0]
		c.toGiveUp = c.toGiveUp[1:]
		if _, open := c.open[next.conn]; !open {
			continue
		}
		if phase, _ := next.conn.phase(now); phase == next.phase && c.giveUp(next.conn, phase, connlimit.CauseConns) {
			return true
		}
	}
	return false
}

// order orders the connections that may be given up now; mu must be held.
func (c *Conns) order(now time.Time) {
	conns, holders := c.holders(func(*trackedConn) int64 { return 1 })
	c.orderedAt, c.toGiveUp = now, c.toGiveUp[:0]
	for _, i := range connlimit.Order(holders) {
		c.toGiveUp = append(c.toGiveUp, ordered{
			conn:  conns[i],
			phase: holders[i].Phase,
		})
	}
}

// giveUp closes a connection in a phase unless it has left it, and reports whether it did; mu
// must be held. A request that is given up was not placed, except that of a stalled caller.
func (c *Conns) giveUp(t *trackedConn, phase connlimit.Phase, cause string) bool {
	if phase > connlimit.ReadingHead {
		t.end(cause, phase)
	} else if !c.closeIfIdle(t, cause) {
		since := t.headSince()
		if since == 0 || !t.endLate(since) {
			return false
		}
		t.end(cause, phase)
	}
	t.givenUp = true
	c.closed(t.peer, cause)
	return true
}
