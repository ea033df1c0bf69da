package replica

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
)

// peerCheckInterval is the pause between two comparisons of the links with the
// membership.
const peerCheckInterval = time.Second

// network exchanges messages with the other replicas, over one link to each. It owns all
// links that carry messages of its replica, whichever end has opened them: they end with
// the replica, so that the other ends open links to the one that is started next.
type network struct {
	replica    *Replica
	dialer     link.Dialer
	goroutines sync.WaitGroup
	// ctx ends with the replica.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the following maps. Their keys are replica identifiers.
	mu sync.Mutex
	// outbound are the links that this replica has opened.
	outbound links
	// inbound are the links that others have opened. A replica that joins knows no
	// addresses yet and can only answer on those.
	inbound links
	// cancels end the goroutines that maintain the outbound links.
	cancels map[uint64]context.CancelFunc
	// peerDisks are the disks that peers have named in their hello.
	peerDisks map[uint64]string

	// membersChanged has the goroutine of start compare the links with a new membership.
	membersChanged chan struct{}

	// leaderlessPace spaces the lines about a missing leader. Only the goroutine of start
	// uses it.
	leaderlessPace telemetry.Pace
}

func newNetwork(r *Replica, dialer link.Dialer) *network {
	ctx, cancel := context.WithCancel(context.Background())
	return &network{
		replica:        r,
		dialer:         dialer,
		ctx:            ctx,
		cancel:         cancel,
		outbound:       make(links),
		inbound:        make(links),
		cancels:        make(map[uint64]context.CancelFunc),
		peerDisks:      make(map[uint64]string),
		membersChanged: make(chan struct{}, 1),
		leaderlessPace: telemetry.Pace{
			First: peerCheckInterval,
			Max:   leaderlessMaxInterval,
		},
	}
}

// start maintains a link to every member and has the disks of peers recorded, until
// stop is called.
func (n *network) start() {
	n.goroutines.Go(func() {
		ticker := time.NewTicker(peerCheckInterval)
		defer ticker.Stop()
		for {
			n.reconcileLinks()
			select {
			case <-n.ctx.Done():
				return
			case <-n.membersChanged:
			case <-ticker.C:
				n.bindPeerDisks(n.ctx)
				n.watchLeader(time.Now())
			}
		}
	})
}

// noteMembers has the links compared with a new membership without waiting for the next
// check: a replica that joins waits for its first link.
func (n *network) noteMembers() {
	select {
	case n.membersChanged <- struct{}{}:
	default: // a comparison is due already
	}
}

// stop closes all links and returns when the goroutines of start have ended.
func (n *network) stop() {
	n.cancel()
	n.goroutines.Wait()
}

// reconcileLinks starts a link to each new member and ends the links to former ones.
func (n *network) reconcileLinks() {
	status := n.replica.Status()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range status.Members.List {
		if m.ID == status.ReplicaID || n.cancels[m.ID] != nil || n.replica.lost(m) {
			continue
		}
		peerCtx, cancel := context.WithCancel(n.ctx)
		n.cancels[m.ID] = cancel
		n.goroutines.Go(func() { n.maintainLink(peerCtx, m) })
	}
	for id, cancel := range n.cancels {
		if m, ok := status.Members.Find(id); !ok || n.replica.lost(m) {
			cancel()
			delete(n.cancels, id)
		}
	}
}

// maintainLink keeps an outbound link to a member open until the context ends.
func (n *network) maintainLink(ctx context.Context, m raft.Member) {
	address := func() string { return n.replica.memberAddress(m.ID) }
	link.Maintain(ctx, n.dialer, address, wire.PathReplica, func(c *link.Conn[wire.Replica]) {
		if err := n.sendHello(c, m.ID); err != nil {
			return
		}
		peer, err := n.receiveHello(c)
		if err != nil && !errors.Is(err, ErrDiskMismatch) && !errors.Is(err, errOtherGroup) {
			return
		}
		if err != nil || peer.id != m.ID {
			n.replica.log.Warn("replica at a member's address is not that member, link closed", "cause", err, "replica", m.ID)
			return
		}
		n.registerLink(n.outbound, m.ID, c)
		defer n.unregisterLink(n.outbound, m.ID, c)
		if err := n.replica.receive(ctx, peer, c); err != nil && ctx.Err() == nil {
			n.replica.log.Info("link to a replica lost, dialed again", "cause", err, "replica", m.ID)
		}
	})
}

// sendHello sends this replica's identifiers, as each end of a link does first. expected
// is the replica that is to be at the other end; zero means any.
func (n *network) sendHello(c *link.Conn[wire.Replica], expected uint64) error {
	id := n.replica.store.Identity()
	return c.Send(wire.Replica{
		ReplicaID: id.ReplicaID,
		DiskID:    id.DiskID,
		Expected:  expected,
		Group:     n.replica.Status().Members.Group,
	})
}

// peer identifies the replica at the other end of a link.
type peer struct {
	id     uint64
	diskID string
	// expected is the replica that the other end wants to reach; zero means any.
	expected uint64
}

// receiveHello reads the identifiers of the replica at the other end. It returns
// ErrDiskMismatch if the identifier is bound to another disk and errOtherGroup if the
// replica belongs to another group.
func (n *network) receiveHello(c *link.Conn[wire.Replica]) (peer, error) {
	hello, err := c.Receive()
	if err != nil {
		return peer{}, err
	}
	if err := n.replica.CheckPeerDisk(hello.ReplicaID, hello.DiskID); err != nil {
		return peer{}, err
	}
	if own := n.replica.Status().Members.Group; own != 0 && hello.Group != 0 && own != hello.Group {
		return peer{}, errOtherGroup
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerDisks[hello.ReplicaID] = hello.DiskID
	return peer{
		id:       hello.ReplicaID,
		diskID:   hello.DiskID,
		expected: hello.Expected,
	}, nil
}

// bindPeerDisks has the disks of all peers so far recorded.
func (n *network) bindPeerDisks(ctx context.Context) {
	n.mu.Lock()
	disks := maps.Clone(n.peerDisks)
	n.mu.Unlock()
	for id, diskID := range disks {
		n.replica.BindPeerDisk(ctx, id, diskID)
	}
}

// errOtherGroup reports a replica whose log belongs to another group.
var errOtherGroup = merry.Sentinel("the replica belongs to another group")

// links are the open links to each replica, by its identifier, the newest last.
type links map[uint64][]*link.Conn[wire.Replica]

// newest returns the newest link to a replica, or nil.
func (l links) newest(id uint64) *link.Conn[wire.Replica] {
	if open := l[id]; len(open) > 0 {
		return open[len(open)-1]
	}
	return nil
}

// registerLink adds a link to a replica.
func (n *network) registerLink(l links, id uint64, c *link.Conn[wire.Replica]) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l[id] = append(l[id], c)
}

// unregisterLink removes a link to a replica; older ones to it stay in use.
func (n *network) unregisterLink(l links, id uint64, c *link.Conn[wire.Replica]) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l[id] = slices.DeleteFunc(l[id], func(open *link.Conn[wire.Replica]) bool { return open == c })
	if len(l[id]) == 0 {
		delete(l, id)
	}
}

// send sends a message over the outbound link or else the inbound one. It drops the
// message if there is neither; the core retransmits.
func (n *network) send(m raft.Message) {
	n.mu.Lock()
	c := n.outbound.newest(m.To)
	if c == nil {
		c = n.inbound.newest(m.To)
	}
	n.mu.Unlock()
	if c == nil {
		return
	}
	err := c.Send(wire.Replica{
		Messages: []raft.Message{m},
	})
	// After other errors the link is closed, and the replica that opened it dials again.
	if errors.Is(err, link.ErrFrameTooLarge) {
		n.replica.log.Error("message to a replica is too large for a link, not sent", "type", m.Type, "cause", err, "replica", m.To)
	}
}

// Handler accepts the links of other replicas, which end with this one.
func (r *Replica) Handler() http.Handler {
	return link.Handler(r.network.ctx, r.network.dialer, func(_ credential.Peer, c *link.Conn[wire.Replica]) {
		peer, err := r.network.receiveHello(c)
		if errors.Is(err, ErrDiskMismatch) || errors.Is(err, errOtherGroup) {
			r.log.Warn("inbound link of a replica refused", "cause", err)
		}
		if err != nil {
			return
		}
		if r.network.sendHello(c, 0) != nil || (peer.expected != 0 && peer.expected != r.store.Identity().ReplicaID) {
			return // the other end closes a link to a replica that it did not expect
		}
		r.network.registerLink(r.network.inbound, peer.id, c)
		defer r.network.unregisterLink(r.network.inbound, peer.id, c)
		// The other end dials again after the link is lost.
		_ = r.receive(r.network.ctx, peer, c)
	})
}

// errSenderMismatch reports a message whose From is not the replica at the other end
// of the link.
var errSenderMismatch = merry.Sentinel("a raft message names a sender other than the link's replica")

// receive passes a replica's messages to the control goroutine until the link is
// lost. The replica's disk is checked with each frame, since the binding may become
// known after the link was opened.
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
				return errSenderMismatch
			}
		}
		select {
		case r.inbox <- frame.Messages:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
