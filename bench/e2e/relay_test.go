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
		for _, c := range r.conns {
			c.close()
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
		c := &relayedConn{
			relay:  r,
			client: client,
			server: server,
		}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.forward(client, server)
		go c.forward(server, client)
	}
}

// forward copies bytes in one direction. Once the connection is blackholed, it discards
// them and does not pass on the end of the stream either.
func (c *relayedConn) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.drops(buffer[:n]) {
			if err != nil {
				return
			}
			continue
		}
		if _, werr := to.Write(buffer[:n]); err != nil || werr != nil {
			c.close()
			return
		}
	}
}

// drops reports whether the connection is blackholed. It first learns the source from
// the data, since the first request names it.
func (c *relayedConn) drops(data []byte) bool {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := sourceName.FindSubmatch(data); found != nil && c.source == "" {
		c.source = string(found[1])
		c.blackholed = c.blackholed || slices.Contains(c.relay.blocked, c.source)
	}
	return c.blackholed
}

func (c *relayedConn) close() {
	c.client.Close()
	c.server.Close()
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
	for _, c := range r.conns {
		c.mu.Lock()
		c.blackholed = c.blackholed || selected(c.source)
		c.mu.Unlock()
	}
}
