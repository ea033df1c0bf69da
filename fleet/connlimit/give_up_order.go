package connlimit

import (
	"net/netip"
	"slices"
	"time"
)

// orderLifetime is how long an order of connections to give up is used. Beyond the limit, to make one for
// each new connection would hold Listener.mu for most of the processor time of a small host.
const orderLifetime = 50 * time.Millisecond

// ordered is a connection that may be given up as long as it is in the phase.
type ordered struct {
	conn  *conn
	phase Phase
}

// giveUpOne gives up one connection for a new one and reports whether there was one; mu must be held.
// An order without a connection that the peer may take the place of is not made again within its lifetime.
func (l *Listener) giveUpOne(added *conn) bool {
	now := time.Now()
	if now.Sub(l.orderedAt) > orderLifetime {
		l.order(now, added)
	}
	if l.takeFirst(now, added.peer) {
		return true
	}
	if len(l.toGiveUp) > 0 || !l.gaveUp {
		return false
	}
	l.order(now, added)
	return l.takeFirst(now, added.peer)
}

// takeFirst gives up the first connection of the order that may be given up for the peer, and reports
// whether there was one; mu must be held.
func (l *Listener) takeFirst(now time.Time, peer netip.Addr) bool {
	looks := maxLooks
	for i := 0; i < len(l.toGiveUp) && looks > 0; {
		next := l.toGiveUp[i]
		if phase, _ := next.conn.progress(now); phase != next.phase || !next.conn.counted.Load() {
			l.toGiveUp = slices.Delete(l.toGiveUp, i, i+1)
			continue
		}
		if l.giveUp(next.conn, next.phase, CauseConns, peer) {
			l.toGiveUp = slices.Delete(l.toGiveUp, i, i+1)
			l.gaveUp = true
			l.closed(next.conn.peer, CauseConns)
			return true
		}
		looks--
		i++
	}
	return false
}

// order orders the connections that may be given up now, without a new one; mu must be held.
func (l *Listener) order(now time.Time, added *conn) {
	conns, holders := l.holders(now, func(c *conn) int64 {
		if c == added {
			return 0
		}
		return 1
	})
	l.orderedAt, l.toGiveUp, l.gaveUp = now, l.toGiveUp[:0], false
	for _, i := range Order(holders) {
		l.toGiveUp = append(l.toGiveUp, ordered{
			conn:  conns[i],
			phase: holders[i].Phase,
		})
	}
}
