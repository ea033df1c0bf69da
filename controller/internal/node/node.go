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
	// confirmInterval is how often a controller confirms that it is current.
	confirmInterval = time.Second
	// staleAfter is after how long without confirmation nodes are sent away.
	staleAfter = 3 * time.Second
	// MaxSyncResources bounds the resources of one frame.
	MaxSyncResources = 1000
)

// Hub holds the links of the nodes at this controller.
type Hub struct {
	replica *replica.Replica
	log     *slog.Logger

	confirmed atomic.Int64 // Unix nanoseconds of the last confirmed read

	mu             sync.Mutex
	conns          map[*link.Conn[wire.Node]]wire.Hello
	leaving        []string
	leavingChanged chan struct{}
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

// Run confirms once a second that this controller is current and sends the
// nodes away when it is not, until the context ends.
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

// Current reports whether this controller was confirmed current lately.
func (h *Hub) Current() bool {
	return time.Since(time.Unix(0, h.confirmed.Load())) < staleAfter
}

func (h *Hub) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
}

// NodeCount returns how many nodes are linked.
func (h *Hub) NodeCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// Handler accepts the links of gateways and sidecars.
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

// receive reads until the link ends, so that its heartbeats are seen.
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
	var told []string
	for {
		changed := h.replica.Changed()
		leaving, leavingChanged := h.LeavingHosts()
		frame := wire.Node{}
		if s, ok := h.syncFrom(revision, first); ok {
			frame.Sync = &s
			revision = s.Revision
		}
		if l := h.replica.LeaderAddress(); l != leader {
			leader = l
			frame.Leader = l
		}
		if first || !slices.Equal(told, leaving) {
			told = leaving
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

// syncFrom returns what brings a node from the revision to the present one. The
// first sync of a link is sent even when nothing changed.
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

// SetLeavingHosts takes the platform's list of leaving hosts, in order.
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

// LeavingHosts returns the leaving hosts and a channel that is closed when they change.
func (h *Hub) LeavingHosts() ([]string, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving, h.leavingChanged
}
