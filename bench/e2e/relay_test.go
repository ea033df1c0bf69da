package e2e

import (
	"net"
	"regexp"
	"slices"
	"sync"
	"testing"
)

// relay is a TCP proxy in front of a process. It can blackhole its open connections,
// which stay open and carry no more data while new ones work, and it can block source
// processes by name, whose new connections carry no data either.
type relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	conns   []*relayedConn
	blocked []string
}

// relayedConn is one connection through the relay.
type relayedConn struct {
	relay          *relay
	client, server net.Conn

	mu         sync.Mutex
	source     string // name of the process that opened it; empty until its first request
	blackholed bool
}

// sourceName matches the header that names the source process, in plaintext.
var sourceName = regexp.MustCompile(`(?m)^Baobab-Name: (.*?)\r?$`)

// newRelay forwards connections from an address to a target until the test ends.
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

// forward copies bytes in one direction. Once the connection is blackholed, it discards
// them and does not pass on the end of the stream either.
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

// drops reports whether the connection is blackholed. It first learns the source from
// the data, since the first request names it.
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

// blackholeAll blackholes every open connection for good.
func (r *relay) blackholeAll() {
	r.blackhole(func(string) bool { return true })
}

// blockSources blackholes open and new connections from the named processes. Each call
// replaces the blocked names; connections that are blackholed already stay so.
func (r *relay) blockSources(names ...string) {
	r.mu.Lock()
	r.blocked = names
	r.mu.Unlock()
	r.blackhole(func(source string) bool { return slices.Contains(names, source) })
}

// blackhole blackholes the open connections whose source is selected.
func (r *relay) blackhole(selected func(source string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.mu.Lock()
		p.blackholed = p.blackholed || selected(p.source)
		p.mu.Unlock()
	}
}
