package serve

import (
	"net"
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
		c, _ := net.Pipe()
		answering := newTrackedConn(c, conns)
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

	c, _ := net.Pipe()
	arriving := newTrackedConn(c, conns)
	arriving.state.Store(time.Now().UnixNano())
	conns.mu.Lock()
	defer conns.unlock()
	conns.open[arriving] = nil
	time.Sleep(2 * orderLifetime)
	is.True(conns.giveUpOne(nil)) // it is found by the next order
}
