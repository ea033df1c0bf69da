package serve

import (
	"net"
	"time"

	"baobabpaddle/fleet/connlimit"
)

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
	defer c.unlock()
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

// cheapOrder is the number of connections up to which they are ordered each time, unless the last order
// has none left to give up: answers wait for the lock meanwhile.
const cheapOrder = 256

// ordered is a connection that may be given up as long as it is in the phase.
type ordered struct {
	conn  *trackedConn
	phase connlimit.Phase
}

// giveUpOne gives up one connection other than a new one, on which a request may be about to arrive,
// and reports whether there was one; mu must be held.
func (c *Conns) giveUpOne(added net.Conn) bool {
	now := time.Now()
	if len(c.open) <= cheapOrder && len(c.toGiveUp) > 0 || now.Sub(c.orderedAt) > orderLifetime {
		c.order(now)
	}
	for len(c.toGiveUp) > 0 {
		next := c.toGiveUp[0]
		c.toGiveUp = c.toGiveUp[1:]
		if _, open := c.open[next.conn]; !open || next.conn == added {
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

// giveUp gives up a connection in a phase unless it has left it, and reports whether it did; mu
// must be held. A request that is given up was not placed, except that of a stalled caller.
func (c *Conns) giveUp(t *trackedConn, phase connlimit.Phase, cause string) bool {
	var given bool
	switch phase {
	case connlimit.Stalled:
		given = c.endStalled(t, cause)
	case connlimit.ReadingBody:
		given = c.endBody(t, cause)
	default:
		given = c.closeIfIdle(t, cause) || c.endIncompleteHead(t, cause)
	}
	if given {
		t.givenUp = true
		c.closed(t.peer, cause)
	}
	return given
}

// endStalled closes a connection whose caller does not read, and reports whether a write still waits
// for it; mu must be held.
func (c *Conns) endStalled(t *trackedConn, cause string) bool {
	if !t.writeSince.CompareAndSwap(t.stalledWrite, 0) {
		return false
	}
	c.end(t, cause, connlimit.Stalled)
	return true
}

// endBody refuses a request whose body is being read, and reports whether the reading had not ended;
// mu must be held. If the request is refused already, its refusal is sent without waiting for the rest
// of the body.
func (c *Conns) endBody(t *trackedConn, cause string) bool {
	since := t.bodySince.Load()
	if since <= 0 || !t.bodySince.CompareAndSwap(since, bodyGivenUp) {
		return false
	}
	if t.refused.Load() {
		_ = t.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has ended already
		return true
	}
	t.state.Store(connClosing)
	c.end(t, cause, connlimit.ReadingBody)
	return true
}

// endIncompleteHead closes a connection on which a part of a head has arrived, and reports whether more
// of it has to arrive; mu must be held.
func (c *Conns) endIncompleteHead(t *trackedConn, cause string) bool {
	since := t.headSince()
	if since == 0 || !t.headIncomplete() || !t.endHead(since) {
		return false
	}
	c.end(t, cause, connlimit.ReadingHead)
	return true
}

// RefuseArriving refuses the requests that nobody has begun to handle, whole or in part, and closes the
// connections without a request. It is meant for the deadline of a drain, after CloseListener.
func (c *Conns) RefuseArriving() {
	c.mu.Lock()
	for conn := range c.open {
		if t, ok := conn.(*trackedConn); ok && !c.closeIfIdle(t, causeDrain) && !c.endHead(t, causeDrain) {
			c.endBody(t, causeDrain)
		}
	}
	for _, t := range c.takeEnding() {
		t.drain() // the process may end before Close
		go closeConn(t)
	}
}

// endHead refuses a request that the server has not begun to handle, and reports whether there was one; mu
// must be held.
func (c *Conns) endHead(t *trackedConn, cause string) bool {
	for state := t.state.Load(); state >= connIdle; state = t.state.Load() {
		if t.endHead(state) {
			c.end(t, cause, connlimit.ReadingHead)
			return true
		}
	}
	return false
}
