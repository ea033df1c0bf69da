package main

import (
	"net"
	"net/http"
	"time"

	"baobabpaddle/gateway/internal/serve"
)

// drainPollInterval is how often a draining gateway checks whether requests are in flight.
const drainPollInterval = 50 * time.Millisecond

// finish stops a server whose connections are those of conns. It accepts no more connections, refuses
// the requests of those that wait to be accepted, closes idle ones, and closes the others once all
// requests are answered, including those whose heads are still being read, or at the deadline; the zero
// time means none. Before the deadline it refuses the requests that nobody has begun to handle, and
// refusals that wait for the rest of a body are sent; that takes drainPollInterval, after the deadline if
// that has passed already. It returns the number of connections whose requests it cut off.
// http.Server.Shutdown is not used, since it drops requests that are read after it was called.
func finish(listener net.Listener, server *http.Server, conns *serve.Conns, deadline time.Time) int {
	_ = conns.CloseListener(listener) // fails only if it is closed
	conns.CloseIdle()
	for conns.Busy() > 0 && (deadline.IsZero() || time.Now().Before(deadline.Add(-drainPollInterval))) {
		time.Sleep(drainPollInterval)
		conns.CloseIdle()
	}
	if conns.Busy() > 0 {
		conns.RefuseArriving()
		time.Sleep(drainPollInterval)
	}
	cut := conns.Busy()
	server.Close()
	return cut
}
