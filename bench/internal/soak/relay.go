package soak

import (
	"net"
	"sync"
	"time"
)

// Relay stands before a process and carries its connections, or harms them.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	pairs  map[*pair]bool
	delay  time.Duration
	silent bool // new connections carry nothing
	oneWay bool // nothing is carried back
	harms  spans
}

// pair is one relayed connection.
type pair struct {
	relay     *Relay
	near, far net.Conn
	silent    bool // guarded by the relay's mu
}

// NewRelay relays from an address to a target.
func NewRelay(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener: l,
		target:   target,
		pairs:    make(map[*pair]bool),
	}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.each(func(p *pair) { p.close() })
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.open(near)
	}
}

func (r *Relay) open(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{
		relay: r,
		near:  near,
		far:   far,
	}
	r.mu.Lock()
	p.silent = r.silent
	r.pairs[p] = true
	r.mu.Unlock()
	go p.carry(near, far, false)
	p.carry(far, near, true)
}

// relayBytes is how much is carried at once.
const relayBytes = 16 << 10

// carry copies one direction. A silent connection swallows all, also its end.
func (p *pair) carry(from, to net.Conn, back bool) {
	buffer := make([]byte, relayBytes)
	for {
		n, err := from.Read(buffer)
		p.relay.mu.Lock()
		swallow := p.silent || (back && p.relay.oneWay)
		delay := p.relay.delay
		p.relay.mu.Unlock()
		if swallow {
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
				p.close()
				return
			}
		}
		if err != nil {
			p.close()
			return
		}
	}
}

func (p *pair) close() {
	p.relay.mu.Lock()
	delete(p.relay.pairs, p)
	p.relay.mu.Unlock()
	p.near.Close()
	p.far.Close()
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (r *Relay) each(f func(*pair)) {
	r.mu.Lock()
	pairs := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	r.mu.Unlock()
	for _, p := range pairs {
		f(p)
	}
}

// InjectFault harms the relay for a time.
func (r *Relay) InjectFault(kind string, lasts time.Duration) {
	end := r.harms.begin()
	defer end()
	r.mu.Lock()
	switch kind {
	case "delay":
		r.delay = 80 * time.Millisecond
	case "one_way":
		r.oneWay = true
	case "silent":
		r.silent = true
		for p := range r.pairs {
			p.silent = true
		}
	}
	r.mu.Unlock()
	if kind == "reset" {
		r.each(func(p *pair) {
			reset(p.near)
			reset(p.far)
			p.close()
		})
		return
	}
	time.Sleep(lasts)
	r.mu.Lock()
	r.delay, r.oneWay, r.silent = 0, false, false
	r.mu.Unlock()
	if kind == "one_way" {
		// What was swallowed is missing from these connections.
		r.each(func(p *pair) { p.close() })
	}
}

// sameTime is how far apart two processes may note what happens at once.
const sameTime = 50 * time.Millisecond

// spans are times in which something was harmed.
type spans struct {
	mu   sync.Mutex
	list []*span
}

type span struct{ from, to time.Time }

// begin opens a span and returns what ends it.
func (s *spans) begin() func() {
	one := &span{
		from: time.Now(),
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

// overlap reports whether a span touches the time from..to. A margin after each span
// counts as part of it.
func (s *spans) overlap(from, to time.Time, margin time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if one.from.Before(to.Add(sameTime)) && (one.to.IsZero() || one.to.Add(margin).After(from)) {
			return true
		}
	}
	return false
}
