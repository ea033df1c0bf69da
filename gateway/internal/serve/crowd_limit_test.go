package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusalsKeepOrder guards against answers that wait for the lock of all connections, since each
// refusal at the limit orders them though none can be given up.
func TestRefusalsKeepOrder(t *testing.T) {
	is := is.New(t)
	conns := NewConns(10, noLimit, noLimit)
	for range 10 {
		answering := newPipeConn(t, conns)
		answering.state.Store(connAnswering)
		conns.open[answering] = nil
	}
	orders := 0
	var last time.Time
	end := time.Now().Add(3 * orderLifetime)
	for time.Now().Before(end) {
		conns.mu.Lock()
		is.Equal(conns.giveUpOne(nil), false)
		if conns.orderedAt != last {
			last = conns.orderedAt
			orders++
		}
		conns.mu.Unlock()
	}
	is.True(orders <= 4) // one each orderLifetime

	arriving := newPipeConn(t, conns)
	arriving.state.Store(time.Now().UnixNano())
	conns.mu.Lock()
	defer conns.unlock()
	conns.open[arriving] = nil
	time.Sleep(2 * orderLifetime)
	is.True(conns.giveUpOne(nil)) // it is found by the next order
}

// TestFullGatewayClosesConnectionsWithAnswers guards against requests that get no answer, since their
// connections are given up for the next caller of a gateway at its limit.
func TestFullGatewayClosesConnectionsWithAnswers(t *testing.T) {
	is := is.New(t)
	g, address := newTrackedGateway(t, reply("200 OK", stamp, "yes"))
	conns := g.handler.Conns()
	closes := func() bool {
		c := dialRaw(t, address, "GET /look/ HTTP/1.1\r\nHost: a\r\n\r\n")
		defer c.Close()
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		return response.Close
	}
	is.Equal(closes(), false)
	const used = 2000 // beyond the limit of the gateway
	conns.descriptors.Add(used)
	refused, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer refused.Close()
	_, err = io.ReadAll(refused) // until it is closed
	is.NoErr(err)
	conns.descriptors.Add(-used)
	is.Equal(closes(), true)
	is.Equal(conns.Full(time.Now().Add(fullTime)), false)
}

// TestLimitIsFullAsConnectionsGiveWay guards against requests that get no answer, since their connections are given
// up for callers beyond the limit that are within the bound on descriptors.
func TestLimitIsFullAsConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	conns := NewConns(10, noLimit, noLimit)
	for range 10 {
		kept := newPipeConn(t, conns)
		is.True(conns.admit(kept))
		conns.ConnState(kept, http.StateNew)
		conns.ConnState(kept, http.StateIdle)
	}
	is.Equal(conns.Full(time.Now()), false)
	next := newPipeConn(t, conns)
	is.True(conns.admit(next))
	conns.ConnState(next, http.StateNew)
	is.True(conns.Full(time.Now()))
}

// newPipeConn returns a connection of conns that arrives, without a socket.
func newPipeConn(t *testing.T, conns *Conns) *trackedConn {
	c, peer := net.Pipe()
	t.Cleanup(func() { peer.Close() })
	return newTrackedConn(c, conns)
}

// TestCallerTakesPlaceOfClosedConnection guards against callers that are refused at the limit of connections
// while another connection is about to be closed, so that its place is not used.
func TestCallerTakesPlaceOfClosedConnection(t *testing.T) {
	is := is.New(t)
	conns := NewConns(1, noLimit, noLimit)
	conns.descriptors.Store(1)
	soon := time.Now().Add(10 * time.Second)
	conns.roomUntil = soon
	conns.closedAt.Store(soon.UnixNano())
	first := newPipeConn(t, conns)
	is.True(conns.admit(first))
	first.state.Store(connAnswering)
	time.AfterFunc(20*time.Millisecond, func() { closeConn(first) })
	is.True(conns.admit(newPipeConn(t, conns)))
}

// TestRefusalsMakeNoRoom guards against callers that wait at the limit of connections though no answer ends:
// a refused connection that is closed makes no room.
func TestRefusalsMakeNoRoom(t *testing.T) {
	is := is.New(t)
	conns := NewConns(1, noLimit, noLimit)
	conns.descriptors.Store(2)
	for range 100 {
		conns.roomUntil = time.Now().Add(time.Hour)
		is.Equal(conns.admit(newPipeConn(t, conns)), false)
		is.Equal(conns.closedAt.Load(), int64(0))
		is.Equal(len(conns.room), 0)
	}
}

// TestRoomIsSeenLate guards against a caller that is refused although a place became free while Accept waited,
// since it got the processor only after the time to wait.
func TestRoomIsSeenLate(t *testing.T) {
	is := is.New(t)
	conns := NewConns(1, noLimit, noLimit)
	for range 100 {
		conns.room <- struct{}{}
		conns.roomUntil = time.Now().Add(-time.Second)
		is.True(conns.awaitRoom())
	}
}

// TestCallerTakesPlaceGivenUpForIt guards against a caller that is refused at the limit of connections although
// another one was given up for it, whose close takes a moment.
func TestCallerTakesPlaceGivenUpForIt(t *testing.T) {
	is := is.New(t)
	conns := NewConns(1, noLimit, noLimit)
	for range 2 {
		reading := newPipeConn(t, conns)
		is.True(conns.admit(reading))
		reading.state.Store(connAnswering)
		reading.bodySince.Store(time.Now().UnixNano())
	}
	conns.roomUntil = time.Now().Add(roomTime)
	is.True(conns.admit(newPipeConn(t, conns)))
}

// TestIdleConnectionIsCountedBetweenOrders guards against connections that are closed at the limit and not counted,
// since they became idle after the last order.
func TestIdleConnectionIsCountedBetweenOrders(t *testing.T) {
	is := is.New(t)
	conns := NewConns(1, noLimit, noLimit)
	counted := 0
	conns.closed = func(netip.Addr, string) { counted++ }
	kept := newPipeConn(t, conns)
	is.True(conns.admit(kept))
	conns.orderedAt = time.Now() // none could be given up
	conns.ConnState(kept, http.StateIdle)
	conns.mu.Lock()
	defer conns.unlock()
	conns.makeRoom(nil)
	is.Equal(kept.state.Load(), connClosing)
	is.Equal(counted, 1)
}
