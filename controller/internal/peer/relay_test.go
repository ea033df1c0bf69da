package peer

import (
	"net"
	"sync"
	"testing"
)

// relay passes connections on to a host, and can hold back what they carry.
type relay struct {
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	target  string // "" while no connection is accepted
	holdTo  bool   // what is sent to the host, the ends of connections included
	holdOf  bool   // what the host sends
	ended   bool
	conns   map[net.Conn]bool
}

// newRelay returns a relay that accepts connections at an address of its own, and holds
// what they carry until setTarget is called.
func newRelay(t *testing.T) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		listener: listener,
		conns:    make(map[net.Conn]bool),
	}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close() // nothing is left to do if that fails
		r.mu.Lock()
		r.ended = true
		r.mu.Unlock()
		r.changed.Broadcast()
		r.cut()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setTarget sets where connections that are opened from now on lead.
func (r *relay) setTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// hold sets which directions are held back. What was held back is passed on afterwards, as
// it is on a network that loses packets for a while.
func (r *relay) hold(to, of bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdTo, r.holdOf = to, of
	r.changed.Broadcast()
}

// cut closes all connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close() // nothing is left to do if that fails
	}
}

func (r *relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(caller)
	}
}

func (r *relay) serve(caller net.Conn) {
	defer caller.Close()
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	if target == "" {
		return
	}
	host, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer host.Close()
	r.mu.Lock()
	r.conns[caller], r.conns[host] = true, true
	r.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { r.pass(host, caller, &r.holdTo) })
	running.Go(func() { r.pass(caller, host, &r.holdOf) })
	running.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, caller)
	delete(r.conns, host)
}

// pass passes on what arrives, and the end of the connection.
func (r *relay) pass(to, from net.Conn, held *bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		for *held && !r.ended {
			r.changed.Wait()
		}
		r.mu.Unlock()
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_ = to.Close()   // nothing is left to do if that fails
			_ = from.Close() // nothing is left to do if that fails
			return
		}
	}
}
