package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"baobabpaddle/fleet/connlimit"
)

// States of a trackedConn. While a head is arriving, the state is the time of its first byte.
const (
	// connIdle means that nothing has arrived since the last answer.
	connIdle int64 = 0
	// connAnswering lasts from the end of a request's head to the end of its answer.
	connAnswering int64 = -1
	// connClosing means that the gateway closes the connection.
	connClosing int64 = -2
)

// bodyGivenUp is the bodySince of a request that is given up.
const bodyGivenUp int64 = -1

// trackedConn is a caller's connection that records whether a request has begun to
// arrive on it. The server reports a connection as active only once a whole head was
// read.
type trackedConn struct {
	net.Conn
	// state is one of the states above or a time in Unix nanoseconds. A request is read
	// only in a state other than connClosing, so that none is handled whose answer would
	// have no connection.
	state atomic.Int64
	// overdue is true if the head was late in the last scan, and givenUp if the connection is
	// closed at a limit. lateWrite and stalledWrite are the writeSince of a write that was late
	// in the last scan and in two scans. Conns.mu guards them.
	overdue      bool
	givenUp      bool
	lateWrite    int64
	stalledWrite int64

	conns *Conns
	peer  netip.Addr
	// waiting is true while the reader waits for more of a head, or for the first byte of one, and
	// the socket has none.
	waiting atomic.Bool
	// buffered is true while the server may hold a part of the next request that it has read together
	// with the last one: from the end of a head until it reads again.
	buffered atomic.Bool
	// crossed is true if bytes arrived after the decision to close an idle connection and may have been taken
	// from the socket.
	crossed atomic.Bool
	// held is the memory reserved for the connection, in bytes.
	held atomic.Int64
	// idleSince, bodySince and writeSince are when the connection became idle, when the body of
	// a request began to arrive and when a write began, in Unix nanoseconds; zero while the
	// latter don't last. Refused is true while the request has been refused and the rest of its
	// body arrives.
	idleSince  atomic.Int64
	bodySince  atomic.Int64
	writeSince atomic.Int64
	refused    atomic.Bool
	closed     atomic.Bool
	kept       atomic.Bool // a request was answered on it
	admitted   bool        // set before the server has it
	// decision is set once the gateway has decided to close the connection, and ending is done
	// once that is carried out.
	decision atomic.Pointer[closeDecision]
	ending   sync.Once
	// head is the head that arrives, and headBytes the memory reserved for it. The server reads
	// with one goroutine at a time.
	head      connlimit.HeadCost
	headBytes int64
}

// closeDecision is why the gateway closes a connection, and when it decided so.
type closeDecision struct {
	cause string
	// phase is how far the request on the connection had come.
	phase connlimit.Phase
	at    time.Time
}

// errClosing is the error of reads from a connection that the gateway closes. The server answers
// other errors than those of the network with status 400.
var errClosing = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: net.ErrClosed,
}

// newTrackedConn returns the trackedConn of a connection that was accepted.
func newTrackedConn(c net.Conn, conns *Conns) *trackedConn {
	t := &trackedConn{
		Conn:  c,
		conns: conns,
		peer:  connlimit.Peer(c),
	}
	t.idleSince.Store(time.Now().UnixNano())
	return t
}

// Read implements net.Conn. It returns nothing once the gateway closes the connection.
func (t *trackedConn) Read(p []byte) (int, error) {
	if t.state.Load() != connAnswering {
		t.buffered.Store(false)
		t.awaitHead()
	}
	n, err := t.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && t.state.Load() >= connIdle {
		if arrived := t.readNow(p); arrived > 0 {
			n, err = arrived, nil
		}
	}
	if n > 0 && t.state.Load() == connIdle {
		t.state.CompareAndSwap(connIdle, time.Now().UnixNano())
	}
	if t.state.Load() == connClosing {
		if n > 0 {
			t.reportDropped()
		}
		return 0, errClosing
	}
	if n > 0 && t.state.Load() > 0 && !t.reserveHead(p[:n]) {
		return 0, errClosing // the caller was refused
	}
	return n, err
}

// awaitHead waits until bytes of a head have arrived and records that before they are taken from the
// kernel, where endIdle and end look for them. It does nothing if the connection has no socket.
func (t *trackedConn) awaitHead() {
	access := t.socket()
	if access == nil {
		return
	}
	// An error here is that of the read that follows, too.
	_ = access.Read(func(fd uintptr) bool {
		n, err := peekByte(fd)
		if n > 0 && !t.state.CompareAndSwap(connIdle, time.Now().UnixNano()) && t.state.Load() == connClosing {
			t.crossed.Store(true)
		}
		none := errors.Is(err, syscall.EAGAIN)
		t.waiting.Store(none)
		return !none
	})
	t.waiting.Store(false)
}

// reportDropped reports that a request, or a part of one, is dropped, since the gateway closes the
// connection.
func (t *trackedConn) reportDropped() {
	if t.conns == nil {
		return
	}
	if t.decision.Load() == nil {
		t.conns.awaitDecision()
	}
	if d := t.decision.Load(); d != nil {
		t.conns.dropped(t.peer, *d)
	}
}

// reserveHead reserves memory for bytes of a head that have arrived. It reports false if there
// is none; the connection is then being closed.
func (t *trackedConn) reserveHead(data []byte) bool {
	if t.conns == nil {
		return true
	}
	more := t.head.Add(data) - t.headBytes
	if more <= 0 {
		return true
	}
	if !t.conns.reserve(t, more) {
		if since := t.headSince(); since > 0 && t.endHead(since) {
			t.decide(connlimit.CauseMemory, connlimit.ReadingHead)
			t.end()
		}
		t.conns.closed(t.peer, connlimit.CauseMemory)
		return false
	}
	t.headBytes += more
	return true
}

// releaseHead returns the memory reserved for the head of a request that was answered or whose
// connection was closed.
func (c *Conns) releaseHead(t *trackedConn) {
	if t.headBytes > 0 {
		c.release(t, t.headBytes)
	}
	t.head, t.headBytes = connlimit.HeadCost{}, 0
}

// CloseWrite closes the writing side of the connection if it can be closed separately.
func (t *trackedConn) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// closedByCaller reports whether the caller closed or reset the connection and all bytes
// that it sent before were read.
func (t *trackedConn) closedByCaller() bool {
	_, closed := t.peek()
	return closed
}

// headSince returns when the first byte of a head arrived, in Unix nanoseconds; zero while
// none is being read.
func (t *trackedConn) headSince() int64 { return max(t.state.Load(), 0) }

// busy reports whether a request is arriving or being answered.
func (t *trackedConn) busy() bool {
	state := t.state.Load()
	return state > 0 || state == connAnswering
}

// headRead records that the head of a request was read. It reports false if the gateway closes
// the connection.
func (t *trackedConn) headRead() bool {
	for {
		state := t.state.Load()
		if state == connClosing {
			t.reportDropped()
			return false
		}
		t.buffered.Store(true)
		if t.state.CompareAndSwap(state, connAnswering) {
			return true
		}
	}
}

// responseDone records that the request was answered; Conns.mu must be held.
func (t *trackedConn) responseDone() {
	t.bodySince.Store(0)
	t.refused.Store(false)
	t.givenUp = false // its refusal was sent, and it is used on
	t.writeSince.Store(0)
	t.idleSince.Store(time.Now().UnixNano())
	t.kept.Store(true)
	t.state.CompareAndSwap(connAnswering, connIdle)
}

// endIdle makes an idle connection on which nothing has arrived one that the gateway closes. It
// reports whether it was idle.
func (t *trackedConn) endIdle() bool {
	if t.state.Load() != connIdle || t.buffered.Load() {
		return false
	}
	if t.arriving() {
		return false
	}
	return t.state.CompareAndSwap(connIdle, connClosing)
}

// headIncomplete reports whether more of the head that is being read has to arrive. Of a connection
// without a socket it is not known, and the head counts as incomplete.
func (t *trackedConn) headIncomplete() bool {
	if t.socket() == nil {
		return true
	}
	if !t.waiting.Load() {
		return false
	}
	unread, _ := t.peek()
	return !unread
}

// endHead makes a connection on which a head is being read one that the gateway closes. It reports
// whether the head that has been arriving since the given time was still being read.
func (t *trackedConn) endHead(since int64) bool {
	return t.state.CompareAndSwap(since, connClosing)
}

// decide records the decision to close a connection that endIdle or endHead has ended, or whose request
// is given up.
func (t *trackedConn) decide(cause string, phase connlimit.Phase) {
	t.decision.Store(&closeDecision{
		cause: cause,
		phase: phase,
		at:    time.Now(),
	})
}

// end carries the decision out, without waiting for the caller. It sees the close at once; if a request,
// or a part of one, has arrived, it is refused first. Close may wait for the reading goroutine, and frees
// the descriptor.
func (t *trackedConn) end() {
	t.ending.Do(func() {
		d := t.decision.Load()
		if t.refusable(d.phase) {
			t.sendNow(t.conns.refusal(d.cause))
			t.conns.refused(d.cause)
		}
		_ = t.CloseWrite() // fails only if the connection has ended already
	})
}

// refusable reports whether a connection in a phase holds a request, or a part of one, that nothing
// was answered to.
func (t *trackedConn) refusable(phase connlimit.Phase) bool {
	switch {
	case t.conns == nil:
		return false
	case phase == connlimit.Idle:
		unread, _ := t.peek()
		return unread || t.crossed.Load()
	}
	return phase == connlimit.ReadingHead || phase == connlimit.ReadingBody
}

// Close implements net.Conn. If the gateway has decided to close the connection, that is carried out
// first: the server may call Close before the goroutine that has decided goes on.
func (t *trackedConn) Close() error {
	if !t.closed.CompareAndSwap(false, true) {
		return nil
	}
	if t.conns != nil {
		t.conns.awaitDecision()
		defer t.conns.descriptorFreed(t)
	}
	if t.decision.Load() != nil {
		t.end()
		t.drain()
	}
	return t.Conn.Close()
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext returns ctx with conn, for HeadRead and CallerLeft. It is meant for
// http.Server.ConnContext.
func (c *Conns) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// HeadRead records that the head of the request with context ctx was read. If it reports
// false, the request must not be handled: its connection is being closed, and nobody would get
// the answer.
func (c *Conns) HeadRead(ctx context.Context) bool {
	t, ok := ctx.Value(connKey{}).(*trackedConn)
	return !ok || t.headRead()
}

// CallerLeft reports whether the request with context ctx has ended or its caller has
// closed the connection. The context ends only once a read of the server has returned the
// end of the connection, which takes long in a process that is short of processor time.
func (c *Conns) CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	t, ok := ctx.Value(connKey{}).(*trackedConn)
	return ok && t.closedByCaller()
}

// Handler returns a handler that passes to next the requests that HeadRead lets through.
func (c *Conns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.HeadRead(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
