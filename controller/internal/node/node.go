package node

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// Timings of the links to nodes.
const (
	// confirmInterval is the pause between two confirmations by a majority that this
	// controller is current.
	confirmInterval = time.Second
	// staleAfter is the time without confirmation after which this controller closes
	// the links of nodes.
	staleAfter = 3 * time.Second
	// MaxSyncResources bounds the changed resources of one frame. A node that is
	// further behind gets all resources instead.
	MaxSyncResources = 1000
)

// Hub holds the links of nodes and sends them changes of resources, of the leader and
// of the leaving hosts.
type Hub struct {
	replica *replica.Replica
	log     *slog.Logger

	confirmed atomic.Int64 // Unix nanoseconds of the last confirmed read

	mu             sync.Mutex // guards the following fields
	conns          map[*link.Conn[wire.Node]]wire.Hello
	leaving        []string      // names of hosts, in order
	leavingChanged chan struct{} // closed and replaced at each change of leaving
}

// New returns a hub without links.
func New(r *replica.Replica, log *slog.Logger) *Hub {
	return &Hub{
		replica:        r,
		log:            log,
		conns:          make(map[*link.Conn[wire.Node]]wire.Hello),
		leavingChanged: make(chan struct{}),
	}
}

// Run confirms once a second that this controller is current, and closes the links of
// nodes when it no longer is, so that they turn to another controller. It returns when
// the context ends.
func (h *Hub) Run(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		if h.replica.Barrier(ctx) == nil {
			h.confirmed.Store(time.Now().UnixNano())
		} else if !h.Current() {
			h.closeAll()
		}
		select {
		case <-ctx.Done():
			h.closeAll()
			return
		case <-ticker.C:
		}
	}
}

// Current reports whether a majority confirmed within the last three seconds that this
// controller is current.
func (h *Hub) Current() bool {
	return time.Since(time.Unix(0, h.confirmed.Load())) < staleAfter
}

// closeAll closes the links of all nodes.
func (h *Hub) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
}

// NodeCount returns the number of connected nodes.
func (h *Hub) NodeCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// Handler accepts the links of gateways and sidecars. It closes a link at once unless a
// majority confirms that this controller is current.
func (h *Hub) Handler(ctx context.Context, dialer link.Dialer) http.Handler {
	return link.Handler(ctx, dialer, func(_ credential.Peer, c *link.Conn[wire.Node]) {
		frame, err := c.Receive()
		if err != nil || frame.Hello == nil || h.replica.Barrier(ctx) != nil {
			return
		}
		h.add(c, *frame.Hello)
		defer h.remove(c)
		go h.receive(c)
		h.sendUpdates(c, frame.Hello.Revision)
	})
}

func (h *Hub) add(c *link.Conn[wire.Node], hello wire.Hello) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[c] = hello
}

func (h *Hub) remove(c *link.Conn[wire.Node]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// receive reads until the link ends, since the link handles the node's heartbeats while
// it is read.
func (h *Hub) receive(c *link.Conn[wire.Node]) {
	for {
		if _, err := c.Receive(); err != nil {
			return
		}
	}
}

// sendUpdates sends a node every change after the revision until the link ends.
func (h *Hub) sendUpdates(c *link.Conn[wire.Node], revision uint64) {
	leader := ""
	first := true
	var sentLeaving []string
	for {
		changed := h.replica.Changed()
		leaving, leavingChanged := h.LeavingHosts()
		frame := wire.Node{}
		if s, ok := h.syncFrom(revision, first); ok {
			frame.Sync = &s
			revision = s.Revision
		}
		if address := h.replica.LeaderAddress(); address != leader {
			leader = address
			frame.Leader = address
		}
		if first || !slices.Equal(sentLeaving, leaving) {
			sentLeaving = leaving
			frame.Leaving = &wire.Leaving{
				Hosts: leaving,
			}
		}
		first = false
		if frame.Sync != nil || frame.Leader != "" || frame.Leaving != nil {
			if c.Send(frame) != nil {
				return
			}
		}
		select {
		case <-c.Done():
			return
		case <-changed:
		case <-leavingChanged:
		case <-time.After(confirmInterval):
		}
	}
}

// syncFrom returns the update that brings a node from the revision to the present one,
// and whether one is to be sent. It holds all services, upstreams and placements if the
// node has none yet (revision zero), or if the changes are no longer kept or too many.
// The first update of a link is sent even if nothing changed.
func (h *Hub) syncFrom(revision uint64, first bool) (wire.Sync, bool) {
	var out wire.Sync
	ok := false
	h.replica.View(func(s *state.State) {
		if s.Revision < revision || (s.Revision == revision && !first) {
			return
		}
		ok = true
		out.Revision = s.Revision
		changes, kept := s.ChangesSince(revision)
		if kept && (revision > 0 || s.Revision == 0) && len(changes) <= MaxSyncResources {
			out.Resources = changes
			return
		}
		out.Full = true
		for _, k := range []resource.Kind{resource.KindService, resource.KindUpstream, resource.KindPlacement} {
			out.Resources = append(out.Resources, s.List(k)...)
		}
	})
	return out, ok
}

// SetLeavingHosts replaces the names of the hosts that the platform lists as leaving.
// They must be sorted.
func (h *Hub) SetLeavingHosts(hosts []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Equal(hosts, h.leaving) {
		return
	}
	h.leaving = hosts
	close(h.leavingChanged)
	h.leavingChanged = make(chan struct{})
}

// LeavingHosts returns the names of the leaving hosts and a channel that is closed when
// they change.
func (h *Hub) LeavingHosts() ([]string, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving, h.leavingChanged
}
