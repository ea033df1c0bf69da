package replica

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/wire"
)

const peerCheckInterval = time.Second

// network sends messages to the other replicas, over one link to each.
type network struct {
	replica *Replica
	dialer  link.Dialer
	group   sync.WaitGroup

	mu    sync.Mutex
	conns map[uint64]*link.Conn[wire.Replica]
	// answers are the links that others have opened. A replica that joins
	// knows no addresses yet and can only answer on those.
	answers map[uint64]*link.Conn[wire.Replica]
	stops   map[uint64]context.CancelFunc
	disks   map[uint64]string // of those that were met
}

func newNetwork(r *Replica, dialer link.Dialer) *network {
	return &network{
		replica: r,
		dialer:  dialer,
		conns:   make(map[uint64]*link.Conn[wire.Replica]),
		answers: make(map[uint64]*link.Conn[wire.Replica]),
		stops:   make(map[uint64]context.CancelFunc),
		disks:   make(map[uint64]string),
	}
}

// start keeps a link to every member until the context ends.
func (n *network) start(ctx context.Context) {
	n.group.Go(func() {
		ticker := time.NewTicker(peerCheckInterval)
		defer ticker.Stop()
		for {
			n.match(ctx)
			n.bindDisks(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func (n *network) wait() { n.group.Wait() }

// match makes the links match the membership.
func (n *network) match(ctx context.Context) {
	status := n.replica.Status()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range status.Members.List {
		if m.ID == status.ReplicaID || n.stops[m.ID] != nil {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		n.stops[m.ID] = cancel
		n.group.Go(func() { n.keep(peerCtx, m) })
	}
	for id, stop := range n.stops {
		if _, ok := status.Members.Find(id); !ok {
			stop()
			delete(n.stops, id)
		}
	}
}

func (n *network) keep(ctx context.Context, m raft.Member) {
	address := func() string { return m.Address }
	link.Maintain(ctx, n.dialer, address, wire.PathReplica, func(c *link.Conn[wire.Replica]) {
		if err := n.introduce(c); err != nil {
			return
		}
		peer, err := n.meet(c)
		if err != nil && !errors.Is(err, ErrDiskMismatch) {
			return
		}
		if err != nil || peer.id != m.ID {
			n.replica.log.Warn("replica not accepted", "replica", m.ID, "cause", err)
			return
		}
		n.set(n.conns, m.ID, c)
		defer n.unset(n.conns, m.ID, c)
		if err := n.replica.receive(ctx, peer, c); err != nil && ctx.Err() == nil {
			n.replica.log.Info("replica link lost", "replica", m.ID, "cause", err)
		}
	})
}

// introduce tells the other end who this is.
func (n *network) introduce(c *link.Conn[wire.Replica]) error {
	id := n.replica.store.Identity
	return c.Send(wire.Replica{
		ReplicaID: id.ReplicaID,
		DiskID:    id.DiskID,
	})
}

// peer is who is at the other end of a link.
type peer struct {
	id     uint64
	diskID string
}

// meet reads who is at the other end, and refuses one whose identifier belongs
// to another disk.
func (n *network) meet(c *link.Conn[wire.Replica]) (peer, error) {
	hello, err := c.Receive()
	if err != nil {
		return peer{}, err
	}
	if err := n.replica.CheckPeerDisk(hello.ReplicaID, hello.DiskID); err != nil {
		return peer{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disks[hello.ReplicaID] = hello.DiskID
	return peer{
		id:     hello.ReplicaID,
		diskID: hello.DiskID,
	}, nil
}

// bindDisks records the disks of those that were met.
func (n *network) bindDisks(ctx context.Context) {
	n.mu.Lock()
	met := maps.Clone(n.disks)
	n.mu.Unlock()
	for id, diskID := range met {
		n.replica.BindPeerDisk(ctx, id, diskID)
	}
}

func (n *network) set(links map[uint64]*link.Conn[wire.Replica], id uint64, c *link.Conn[wire.Replica]) {
	n.mu.Lock()
	defer n.mu.Unlock()
	links[id] = c
}

// unset forgets a link unless a newer one has taken its place.
func (n *network) unset(links map[uint64]*link.Conn[wire.Replica], id uint64, c *link.Conn[wire.Replica]) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if links[id] == c {
		delete(links, id)
	}
}

// send drops the message when there is no link; the core sends again.
func (n *network) send(m raft.Message) {
	n.mu.Lock()
	c := n.conns[m.To]
	if c == nil {
		c = n.answers[m.To]
	}
	n.mu.Unlock()
	if c == nil {
		return
	}
	// A failed send closes the link, which is dialled anew.
	_ = c.Send(wire.Replica{
		Messages: []raft.Message{m},
	})
}

// Handler accepts the links of other replicas.
func (r *Replica) Handler(ctx context.Context, dialer link.Dialer) http.Handler {
	return link.Handler(ctx, dialer, func(_ credential.Peer, c *link.Conn[wire.Replica]) {
		peer, err := r.network.meet(c)
		if errors.Is(err, ErrDiskMismatch) {
			r.log.Warn("replica refused", "cause", err)
		}
		if err != nil {
			return
		}
		if r.network.introduce(c) != nil {
			return
		}
		r.network.set(r.network.answers, peer.id, c)
		defer r.network.unset(r.network.answers, peer.id, c)
		// The other end dials again when the link is lost.
		_ = r.receive(ctx, peer, c)
	})
}

// errForged tells that a replica spoke in another's name.
var errForged = merry.Sentinel("the message names another sender")

// receive takes a replica's messages until the link is lost. Its disk is checked
// with each frame, since the binding may become known after the link was opened.
func (r *Replica) receive(ctx context.Context, from peer, c *link.Conn[wire.Replica]) error {
	for {
		frame, err := c.Receive()
		if err != nil {
			return err
		}
		if err := r.CheckPeerDisk(from.id, from.diskID); err != nil {
			return err
		}
		for _, m := range frame.Messages {
			if m.From != from.id {
				return errForged
			}
		}
		select {
		case r.inbox <- frame.Messages:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
