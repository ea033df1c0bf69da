package gateway

import (
	"sync"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// accepted is a configuration that the replicas hold, ready to be put in force.
type accepted struct {
	document state.Configuration
	snapshot *configuration.Snapshot
	table    *configuration.Table
}

// reader reads the replica's configuration outside the control goroutine: that takes
// milliseconds for thousands of routes.
type reader struct {
	mu   sync.Mutex
	last *accepted
}

// read returns the newest configuration of a replica, or nil when there is none or it
// can't be read.
func (r *reader) read(from *replica.Replica) (*accepted, error) {
	var newest state.Configuration
	from.View(func(s *state.State) { newest = s.Configuration })
	return r.accept(newest)
}

// accept makes a configuration ready.
func (r *reader) accept(document state.Configuration) (*accepted, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if document.Version == 0 {
		return nil, nil
	}
	if r.last != nil && r.last.document.Version == document.Version {
		return r.last, nil
	}
	parsed, err := configuration.Parse(document.Document)
	if err != nil {
		return nil, err
	}
	snapshot, err := configuration.NewSnapshot(parsed)
	if err != nil {
		return nil, err
	}
	r.last = &accepted{
		document: document,
		snapshot: snapshot,
		table:    configuration.NewTable(parsed),
	}
	return r.last, nil
}

// readNewest returns the newest configuration, or nil.
func (h *Hub) readNewest(from *replica.Replica) *accepted {
	a, err := h.reader.read(from)
	if err != nil {
		// It was checked before it was accepted, by the same code.
		h.log.Error("accepted configuration not understood", "cause", err)
		return nil
	}
	return a
}

// putInForce puts a configuration in force if it is newer, and tells the gateways.
func (h *Hub) putInForce(a *accepted) {
	if a == nil || h.inForce != nil && a.document.Version <= h.inForce.document.Version {
		return
	}
	before := h.inForce
	h.inForce = a
	h.core.SetConfiguration(a.table)
	h.log.Info("configuration in force", "version", a.document.Version)
	h.change = nil
	h.whole = nil
	if before != nil {
		frame, err := link.NewFrame(wire.Serve{
			Change: a.snapshot.Since(before.snapshot),
		})
		if err != nil {
			h.log.Error("change of the configuration not encoded, gateways get all of it", "cause", err)
		} else {
			h.change = frame
			h.changeFrom = before.document.Version
		}
	}
	for _, c := range h.conns {
		h.tell(c)
	}
}

// tell sends a gateway the configuration if it has an older one: what changed if it has
// the one before, all of it otherwise. Frames are encoded once for all gateways.
func (h *Hub) tell(c *conn) {
	if h.inForce == nil || c.version >= h.inForce.document.Version {
		return
	}
	frame := h.change
	if frame == nil || c.version != h.changeFrom {
		if h.whole == nil {
			whole, err := link.NewFrame(wire.Serve{
				Configuration: &h.inForce.document,
			})
			if err != nil {
				h.log.Error("configuration not encoded, gateways keep the one before", "cause", err)
				return
			}
			h.whole = whole
		}
		frame = h.whole
	}
	c.version = h.inForce.document.Version
	// A failed send closes the link; its receiver reports that.
	_ = c.SendFrame(frame)
}
