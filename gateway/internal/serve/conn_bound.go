package serve

import (
	"math"
	"net"
	"time"

	"baobabpaddle/fleet/connlimit"
)

// overLimitFraction is the part of maxOpen by which the connections may exceed it while none of
// them can be given up, or while those that were given up are being closed.
const overLimitFraction = 0.1

// fullTime is how long the limit counts as reached after a connection found another one to give up, or
// no room.
const fullTime = time.Second

// beyondBound reports whether more connections of Listener are not closed than allowed; mu must be
// held.
func (c *Conns) beyondBound() bool {
	return float64(c.descriptors.Load()) > math.Ceil((1+overLimitFraction)*float64(c.maxOpen))
}

// makeRoom gives up one connection for a new one, added, which may not be open yet; mu must be held.
func (c *Conns) makeRoom(added net.Conn) {
	c.fullUntil.Store(time.Now().Add(fullTime).UnixNano())
	if !c.giveUpOne(added) {
		c.makeRoomOfIdle()
	}
}

// makeRoomOfIdle gives up the connection that is idle for longest; mu must be held.
func (c *Conns) makeRoomOfIdle() {
	for e := c.idleConns.Front(); e != nil; e = e.Next() { // not of Listener, or idle since the last order
		conn := e.Value.(idleConn).conn
		if !c.closeIfIdle(conn, connlimit.CauseConns) {
			continue
		}
		if t, ok := conn.(*trackedConn); ok {
			t.givenUp = true
			c.closed(t.peer, connlimit.CauseConns)
		}
		return
	}
}

// admit reports whether a new connection keeps the bound on descriptors, for which it may give up
// another one or wait until one is closed. If not, it refuses what has arrived on the new one and closes
// it. A connection that is admitted is open, though the server has not reported it yet. accepting must be
// held.
func (c *Conns) admit(t *trackedConn) bool {
	c.descriptors.Add(1)
	mayWait := time.Now().Before(c.roomUntil)
	for first := true; !c.takeRoom(t, first && mayWait); first = false {
		if !c.awaitRoom() {
			t.refuseNew(connlimit.CauseConns)
			c.closed(t.peer, connlimit.CauseConns)
			return false
		}
	}
	return true
}

// takeRoom reports whether a new connection keeps the bound on descriptors, for which it may give up
// an idle one or, if it may give up any, another one whose descriptor may be freed later. It is then open.
func (c *Conns) takeRoom(t *trackedConn, giveUpAny bool) bool {
	c.mu.Lock()
	if c.beyondBound() {
		c.fullUntil.Store(time.Now().Add(fullTime).UnixNano())
		if giveUpAny {
			c.makeRoom(t)
		} else {
			c.makeRoomOfIdle()
		}
		if len(c.ending) > 0 { // their descriptors may be freed later
			c.closedAt.Store(time.Now().UnixNano())
		}
		c.unlockForNew()
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.beyondBound() {
		return false
	}
	c.open[t] = nil
	t.admitted = true
	return true
}

// awaitRoom waits until an admitted connection is closed. It reports false if none is until roomUntil, or if
// none was, or began to be, for roomTime; accepting must be held.
func (c *Conns) awaitRoom() bool {
	until := time.Unix(0, c.closedAt.Load()).Add(roomTime)
	if c.roomUntil.Before(until) {
		until = c.roomUntil
	}
	timer := time.NewTimer(min(time.Until(until), roomTime)) // the clock may be set back
	defer timer.Stop()
	select {
	case <-c.room:
		return true
	case <-timer.C:
	}
	select { // the timer may be seen late
	case <-c.room:
		return true
	default:
		return false
	}
}

// descriptorFreed records that a connection of Listener was closed.
func (c *Conns) descriptorFreed(t *trackedConn) {
	c.descriptors.Add(-1)
	if !t.admitted {
		return // nothing has ended
	}
	c.closedAt.Store(time.Now().UnixNano())
	select {
	case c.room <- struct{}{}:
	default: // Accept finds the value that is already in it
	}
}

// Full reports whether there were too many connections within fullTime before now. Answers then close theirs:
// it would be given up for the next caller, and a request that crosses that gets no answer.
func (c *Conns) Full(now time.Time) bool {
	left := c.fullUntil.Load() - now.UnixNano()
	return 0 < left && left <= int64(fullTime) // the clock may be set back
}

// refuseNew refuses what has arrived on a connection that nobody reads from yet, and closes it.
func (t *trackedConn) refuseNew(cause string) {
	t.state.Store(connClosing)
	t.decide(cause, connlimit.Idle)
	t.end()
	closeConn(t)
}

// end decides to end a connection, and has unlock do it; mu must be held. The server then reports
// StateClosed.
func (c *Conns) end(t *trackedConn, cause string, phase connlimit.Phase) {
	t.decide(cause, phase)
	c.ending = append(c.ending, t)
}

// awaitDecision waits until a decision that is being made is recorded.
func (c *Conns) awaitDecision() {
	c.mu.Lock()
	defer c.mu.Unlock()
}

// unlock releases mu, and ends and closes the connections that end was called for. Close waits until a
// read of the connection has returned, so goroutines call it.
func (c *Conns) unlock() {
	for _, t := range c.takeEnding() {
		go closeConn(t)
	}
}

// unlockForNew is unlock for the goroutine that accepts connections. A reader that waits for bytes
// returns at once, and the descriptor is free before another connection is accepted.
func (c *Conns) unlockForNew() {
	for _, t := range c.takeEnding() {
		if t.waiting.Load() {
			closeConn(t)
		} else {
			go closeConn(t)
		}
	}
}

// takeEnding releases mu, and ends and returns the connections that end was called for.
func (c *Conns) takeEnding() []*trackedConn {
	ending := c.ending
	c.ending = nil
	c.mu.Unlock()
	for _, t := range ending {
		t.end()
	}
	return ending
}

// closeConn closes a connection. It may have been closed by its peer.
func closeConn(c net.Conn) { c.Close() }
