package connlimit

import (
	"math"
	"net"
	"net/netip"
	"time"
)

// progress returns how far what the connection holds has come, and since when; Listener.mu must be held.
func (c *conn) progress(now time.Time) (Phase, time.Time) {
	since := time.Unix(0, c.since.Load())
	switch state := c.reader.Load(); {
	case state == connEnded || c.answersEarly:
		return Answering, now
	case c.stalled(now):
		return Stalled, time.Unix(0, c.lateWrite)
	case state == awaitsRequest && c.kept.Load():
		return Idle, since
	case state == awaitsRequest || state == awaitsHead:
		return ReadingHead, since
	case state == awaitsBody || state == awaitsRest:
		return ReadingBody, since
	}
	return Answering, now
}

// stalled reports whether a write has waited for the peer for longer than stallTime in two looks.
func (c *conn) stalled(now time.Time) bool {
	write := c.writeSince.Load()
	if write == 0 || now.Sub(time.Unix(0, write)) <= stallTime {
		return false
	}
	if c.lateWrite != write {
		c.lateWrite, c.lateAt = write, now
	}
	return now.Sub(c.lateAt) >= stallConfirmTime
}

// maxLooks is the number of connections that are looked at without giving them up. Each look is a system
// call, and new connections wait meanwhile.
const maxLooks = 8

// holders returns the open connections and what they hold; mu must be held.
func (l *Listener) holders(now time.Time, held func(*conn) int64) ([]*conn, []Holder) {
	conns := make([]*conn, 0, len(l.open))
	holders := make([]Holder, 0, len(l.open))
	for _, c := range l.open {
		phase, since := c.progress(now)
		amount := held(c)
		if c.reader.Load() == connEnded {
			amount = 0
		}
		conns = append(conns, c)
		holders = append(holders, Holder{
			Peer:  c.peer,
			Held:  amount,
			Phase: phase,
			Since: since,
		})
	}
	return conns, holders
}

// giveUpBytes gives up connections that hold n bytes together, in the order of what held returns, for a
// connection of the peer. It reports whether there were enough; mu must be held.
func (l *Listener) giveUpBytes(peer netip.Addr, held func(*conn) int64, n int64) bool {
	conns, holders := l.holders(time.Now(), held)
	looks := maxLooks
	for _, i := range Order(holders) {
		if n <= 0 || looks == 0 {
			break
		}
		if !l.giveUp(conns[i], holders[i].Phase, CauseMemory, peer) {
			looks--
			continue
		}
		n -= holders[i].Held
		l.closed(conns[i].peer, CauseMemory)
	}
	return n <= 0
}

// giveUp gives up a connection in a phase for one of the peer, unless it has left the phase, and
// reports whether it did; mu must be held. What has arrived of a request is refused. What was not read
// yet may be a whole request; it is given up only for another peer.
func (l *Listener) giveUp(c *conn, phase Phase, cause string, peer netip.Addr) bool {
	if phase == Stalled {
		if !c.writeSince.CompareAndSwap(c.lateWrite, 0) {
			return false
		}
		c.reader.Store(connEnded)
		l.end(c)
		return true
	}
	unread, _ := c.socket.Peek()
	if unread && (c.tls || c.peer == peer) {
		return false
	}
	state := c.reader.Load()
	switch state {
	case awaitsRest:
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has ended already
		c.answersEarly = true
		return true
	case awaitsRequest, awaitsHead, awaitsBody:
		if !c.reader.CompareAndSwap(state, connEnded) {
			return false
		}
	default:
		return false
	}
	if !c.tls && (unread || state != awaitsRequest) {
		c.socket.Send(l.refusals[cause])
	}
	l.end(c)
	return true
}

// overLimitFraction is the part of Limits.Conns by which connections may exceed it while others yield.
const overLimitFraction = 0.1

// yield has a connection end after its next answer, for one of a peer that holds fewer, and reports
// whether there is one and the limit may be exceeded meanwhile; mu must be held. Connections whose
// requests follow each other without a pause are never given up.
func (l *Listener) yield(peer netip.Addr) bool {
	if float64(l.held.Load()) > math.Ceil((1+overLimitFraction)*float64(l.limits.Conns)) {
		return false
	}
	total := make(map[netip.Addr]int)
	for _, c := range l.open {
		total[c.peer]++
	}
	var most *conn
	for _, c := range l.open {
		if !c.tls && !c.yields.Load() && total[c.peer] > total[peer] && (most == nil || total[c.peer] > total[most.peer]) {
			most = c
		}
	}
	if most == nil {
		return false
	}
	most.yields.Store(true)
	l.closed(most.peer, CauseConns)
	return true
}

// end ends a connection and has unlock close it; mu must be held. The peer sees the end at once. The
// server then reports StateClosed.
func (l *Listener) end(c *conn) {
	_ = c.CloseWrite() // fails only if the connection has ended already
	l.ending = append(l.ending, c)
}

// unlock releases mu and closes the connections that were ended meanwhile. Close waits until a read of
// the connection has returned, so goroutines call it.
func (l *Listener) unlock() {
	for _, c := range l.takeEnding() {
		go closeConn(c)
	}
}

// unlockForNew is unlock for the goroutine that accepts connections. A reader or writer that waits for
// the peer returns at once, and the descriptor is free before another connection is accepted.
func (l *Listener) unlockForNew() {
	for _, c := range l.takeEnding() {
		closeConn(c)
	}
}

// takeEnding releases mu and returns the connections that were ended meanwhile.
func (l *Listener) takeEnding() []*conn {
	defer l.mu.Unlock()
	ending := l.ending
	l.ending = nil
	return ending
}

// closeConn closes a connection. It may have been closed by its peer.
func closeConn(c net.Conn) { c.Close() }
