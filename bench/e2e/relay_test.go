package e2e

import (
	"net"
	"regexp"
	"slices"
	"sync"
	"testing"
)

// relay stands before a process. It can lose track of its open connections,
// which stay open and carry nothing any more, while new ones work, and it can cut
// off the processes with given names, whose new connections carry nothing either.
type relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	conns   []*relayedConn
	blocked []string
}

// pair is a relayed connection.
type relayedConn struct {
	relay          *relay
	client, server net.Conn

	mu         sync.Mutex
	source     string // the name of the process that opened it
	blackholed bool
}

// sourceName finds the name in the first request of a connection without TLS.
var sourceName = regexp.MustCompile(`(?m)^Baobab-Name: (.*?)\r?$`)

// newRelay relays from an address to a target until the test ends.
func newRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		listener: l,
		target:   target,
	}
	t.Cleanup(func() {
		l.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.conns {
			p.close()
		}
	})
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		p := &relayedConn{
			relay:  r,
			client: client,
			server: server,
		}
		r.mu.Lock()
		r.conns = append(r.conns, p)
		r.mu.Unlock()
		go p.forward(client, server)
		go p.forward(server, client)
	}
}

// carry copies bytes; once silent it swallows them, also the end.
func (p *relayedConn) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.drops(buffer[:n]) {
			if err != nil {
				return
			}
			continue
		}
		if _, werr := to.Write(buffer[:n]); err != nil || werr != nil {
			p.close()
			return
		}
	}
}

// swallows reports whether the connection carries nothing any more. What opens
// it names its source.
func (p *relayedConn) drops(data []byte) bool {
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if found := sourceName.FindSubmatch(data); found != nil && p.source == "" {
		p.source = string(found[1])
		p.blackholed = p.blackholed || slices.Contains(p.relay.blocked, p.source)
	}
	return p.blackholed
}

func (p *relayedConn) close() {
	p.client.Close()
	p.server.Close()
}

// loseTrack makes every open connection silent for good.
func (r *relay) blackholeAll() {
	r.blackhole(func(string) bool { return true })
}

// cutOff makes the connections from the processes silent, and new ones too,
// until it is called with others.
func (r *relay) blockSources(names ...string) {
	r.mu.Lock()
	r.blocked = names
	r.mu.Unlock()
	r.blackhole(func(source string) bool { return slices.Contains(names, source) })
}

func (r *relay) blackhole(which func(source string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.mu.Lock()
		p.blackholed = p.blackholed || which(p.source)
		p.mu.Unlock()
	}
}
