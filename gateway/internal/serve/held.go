package serve

import (
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

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
	h.conns.setRefusals(h.connRetryAfter(), h.protocol.RetryAfter(drainRetryAfter))
	h.conns.refused = func(cause string) { h.counters.countRefusal("connection_" + cause) }
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

// releaseAll returns all bytes reserved for the request, and lets go of its body: after a panic the
// exchange is referenced until the connection has ended.
func (x *exchange) releaseAll() {
	x.body = nil
	x.release(x.held.bytes)
}

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
	if t := x.held.conn; t != nil {
		t.refused.Store(true)
	}
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
	x.reportOutcome(id, dispatch.Unsent)
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

// finishAnswer writes what the server holds of a whole answer and reports whether the caller has accepted
// it. It bounds the time of the last chunk, which the server writes once the handler has returned.
func (x *exchange) finishAnswer() bool {
	x.limitWrite()
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false
	}
	x.limitWrite()
	return true
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

// beginBody records that the body of the request arrives.
func (x *exchange) beginBody() {
	if t := x.held.conn; t != nil {
		t.bodySince.Store(time.Now().UnixNano())
	}
}

// endBody records that the reading of the body has ended. It reports whether the request was given up
// meanwhile; it must not be handled then.
func (x *exchange) endBody() (givenUp bool) {
	t := x.held.conn
	return t != nil && t.bodySince.Swap(0) == bodyGivenUp
}
