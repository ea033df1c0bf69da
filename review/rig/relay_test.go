package rig

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callerBytes is the number of bytes at the start of a connection among which the name of the
	// machine that opened it is looked for.
	callerBytes = 4 << 10
	// relayBufferBytes is the size of the buffer for each direction.
	relayBufferBytes = 16 << 10
)

// network connects the processes of all machines with the controllers. It can cut one machine off from
// those of the core.
type network struct {
	core []string               // the names of the machines of the core
	cut  atomic.Pointer[string] // the name of the machine that is cut off, nil if there is none

	mu        sync.Mutex
	listeners []net.Listener
	open      []net.Conn
	closed    bool
}

// relay forwards connections to a machine from one address to another.
func (n *network) relay(machine, address, target string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(machine, c, target)
		}
	}()
	return nil
}

// keep records an open connection, or closes it if the network is closed.
func (n *network) keep(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return
	}
	n.open = append(n.open, c)
}

// relayed is a connection between two machines.
type relayed struct {
	network *network
	to      string

	mu   sync.Mutex
	from []byte // the first bytes from the machine that opened it
}

// isCut reports whether the connection is one between the machine that is cut off and the core.
func (c *relayed) isCut() bool {
	machine := c.network.cut.Load()
	if machine == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.network.core {
		if c.to == name && bytes.Contains(c.from, []byte(*machine)) || c.to == *machine && bytes.Contains(c.from, []byte(name)) {
			return true
		}
	}
	return false
}

// forward forwards a connection in both directions. What is sent while one of its ends is cut off is
// dropped, and the connection stays silent from then on.
func (n *network) forward(machine string, client net.Conn, target string) {
	n.keep(client)
	server, err := net.Dial("tcp", target)
	if err != nil {
		client.Close()
		return
	}
	n.keep(server)
	c := &relayed{
		network: n,
		to:      machine,
	}
	go c.copy(client, server, true)
	c.copy(server, client, false)
}

func (c *relayed) copy(from, to net.Conn, opener bool) {
	buffer := make([]byte, relayBufferBytes)
	silent := false
	for {
		read, err := from.Read(buffer)
		if opener {
			c.mu.Lock()
			c.from = append(c.from, buffer[:min(read, callerBytes-len(c.from))]...)
			c.mu.Unlock()
		}
		silent = silent || c.isCut()
		switch {
		case err != nil && !silent:
			from.Close()
			to.Close()
			return
		case err != nil:
			return
		case silent:
		default:
			if _, err := to.Write(buffer[:read]); err != nil {
				from.Close()
				return
			}
		}
	}
}

// cutOff cuts a machine off from the others for a time.
func (n *network) cutOff(r *record, machine string, d time.Duration) {
	r.line("%s is cut off from the core", machine)
	n.cut.Store(&machine)
	time.Sleep(d)
	n.cut.Store(nil)
	r.line("the cut of %s is over", machine)
}

// stop closes all connections.
func (n *network) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		l.Close()
	}
	for _, c := range n.open {
		c.Close()
	}
}

// start puts a relay before each controller.
func (n *network) start(f *fleet) error {
	for _, h := range f.hosts {
		if h.disk {
			n.core = append(n.core, h.name)
		}
		if err := n.relay(h.name, fmt.Sprintf("%s:%d", h.ip, peerPort), fmt.Sprintf("%s:%d", f.address(2, h.number), peerPort)); err != nil {
			return err
		}
	}
	return nil
}
