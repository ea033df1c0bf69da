package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
