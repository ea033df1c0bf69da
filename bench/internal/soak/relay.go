package soak

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to a process and can inject faults into them.
type Relay struct {
	address string
	target  string

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]bool
	delay       time.Duration
	silent      bool   // new connections are silent
	down        bool   // the host is without power: connections are silent and dialed in vain
	oneWay      bool   // nothing is forwarded to clients
	cutOff      string // the process whose connections are silent; empty if there is none
	faultTimes  intervals
}

// connection is one relayed connection. A silent one stays open but forwards nothing.
type connection struct {
	relay          *Relay
	client, server net.Conn
	silent         bool // guarded by the relay's mu
	// head is what the client sent first, at most headBytes; it names the client. Guarded by
	// the relay's mu.
	head []byte
}

// headBytes is the number of bytes within which a client names itself.
const headBytes = 4 << 10

// NewRelay starts a relay that listens on an address and forwards to a target.
func NewRelay(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		address:     l.Addr().String(),
		listener:    l,
		target:      target,
		connections: make(map[*connection]bool),
	}
	go r.accept(l)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.address }

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.listener.Close()
	r.mu.Unlock()
	r.forEach(func(c *connection) { c.close() })
}

// Reopen listens again after Close.
func (r *Relay) Reopen() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = l
	r.mu.Unlock()
	go r.accept(l)
	return nil
}

// PowerOff makes the relay behave as a host without power: connections stay open and forward
// nothing, and new ones are not answered.
func (r *Relay) PowerOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for c := range r.connections {
		c.silent = true
	}
}

// PowerOn ends PowerOff and resets the connections of before.
func (r *Relay) PowerOn() {
	r.mu.Lock()
	r.down = false
	r.mu.Unlock()
	r.forEach(func(c *connection) {
		reset(c.client)
		c.close()
	})
}

// CutOff makes the connections of the process with a name silent, those that are open and new
// ones. An empty name ends it for new ones.
func (r *Relay) CutOff(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = name
}

// isCutOff reports whether the client of the connection is the process that is cut off. It is
// called with the relay's mu held.
func (c *connection) isCutOff() bool {
	return c.relay.cutOff != "" && bytes.Contains(c.head, []byte(c.relay.cutOff))
}

// Move has the relay listen on another address and closes its connections.
func (r *Relay) Move(address string) error {
	r.Close()
	r.mu.Lock()
	r.address = address
	r.mu.Unlock()
	return r.Reopen()
}

func (r *Relay) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go r.open(client)
	}
}

// open connects a client to the target and forwards both directions until one ends. The
// client sees a reset if the target refuses the connection.
func (r *Relay) open(client net.Conn) {
	c := &connection{
		relay:  r,
		client: client,
	}
	r.mu.Lock()
	if r.down {
		r.connections[c] = true
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(client)
		return
	}
	c.server = server
	r.mu.Lock()
	c.silent = r.silent || r.down
	r.connections[c] = true
	r.mu.Unlock()
	go c.forward(client, server, false)
	c.forward(server, client, true)
}

// relayBufferBytes is the size of the buffer for each direction of a connection.
const relayBufferBytes = 16 << 10

// forward copies one direction. A silent connection drops the data and does not pass on the
// end of the stream either.
func (c *connection) forward(from, to net.Conn, toClient bool) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		c.relay.mu.Lock()
		if !toClient {
			c.head = append(c.head, buffer[:min(n, headBytes-len(c.head))]...)
		}
		c.silent = c.silent || c.isCutOff()
		discard := c.silent || (toClient && c.relay.oneWay)
		delay := c.relay.delay
		c.relay.mu.Unlock()
		if discard {
			if err != nil {
				return
			}
			continue
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				c.close()
				return
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}

func (c *connection) close() {
	c.relay.mu.Lock()
	delete(c.relay.connections, c)
	c.relay.mu.Unlock()
	c.client.Close()
	if c.server != nil {
		c.server.Close()
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// forEach calls f for every connection, without holding the lock.
func (r *Relay) forEach(f func(*connection)) {
	r.mu.Lock()
	connections := make([]*connection, 0, len(r.connections))
	for c := range r.connections {
		connections = append(connections, c)
	}
	r.mu.Unlock()
	for _, c := range connections {
		f(c)
	}
}

// InjectFault injects a fault and returns after it is over: "delay", "one_way", which drops
// what goes to clients, and "silent" last for the given time; "reset" is over at once.
func (r *Relay) InjectFault(kind string, duration time.Duration) {
	end := r.faultTimes.begin()
	defer end()
	r.mu.Lock()
	switch kind {
	case "delay":
		r.delay = 80 * time.Millisecond
	case "one_way":
		r.oneWay = true
	case "silent":
		r.silent = true
		for c := range r.connections {
			c.silent = true
		}
	}
	r.mu.Unlock()
	if kind == "reset" {
		r.forEach(func(c *connection) {
			reset(c.client)
			if c.server != nil {
				reset(c.server)
			}
			c.close()
		})
		return
	}
	time.Sleep(duration)
	r.mu.Lock()
	if r.oneWay {
		for c := range r.connections {
			c.silent = true // data sent from now on would follow a gap
		}
	}
	r.delay, r.oneWay, r.silent = 0, false, false
	r.mu.Unlock()
	if kind == "one_way" {
		// These connections lack the dropped data and cannot go on.
		r.forEach(func(c *connection) { c.close() })
	}
}

// clockTolerance is the largest difference between two goroutines' times for the same
// event, such as the start of a fault and the end of an attempt that it breaks off.
const clockTolerance = 50 * time.Millisecond

// intervals are the times at which a fault was active.
type intervals struct {
	mu   sync.Mutex
	list []*interval
}

// interval is one time of a fault; to is zero while the fault lasts.
type interval struct{ from, to time.Time }

// begin starts an interval and returns the function that ends it.
func (s *intervals) begin() func() { return s.beginAt(time.Now()) }

// beginAt is begin for an interval that started at a time before.
func (s *intervals) beginAt(from time.Time) func() {
	one := &interval{
		from: from,
	}
	s.mu.Lock()
	s.list = append(s.list, one)
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		one.to = time.Now()
		s.mu.Unlock()
	}
}

// add adds an interval.
func (s *intervals) add(one interval) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, &one)
}

// all returns the intervals so far.
func (s *intervals) all() []interval {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]interval, len(s.list))
	for i, one := range s.list {
		out[i] = *one
	}
	return out
}

// overlaps reports whether an interval, extended by the margin at its end, overlaps the time
// between from and to.
func (s *intervals) overlaps(from, to time.Time, margin time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if one.from.Before(to.Add(clockTolerance)) && (one.to.IsZero() || one.to.Add(margin).After(from)) {
			return true
		}
	}
	return false
}
