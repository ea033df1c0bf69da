package gateway

import (
	"sync"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// preparedConfiguration is a configuration that the replicas hold, ready to be put in force.
type preparedConfiguration struct {
	document state.Configuration
	snapshot *configuration.Snapshot
	table    *configuration.Table
}

// configurationCache reads the replica's configuration outside the control goroutine: that takes
// milliseconds for thousands of routes.
type configurationCache struct {
	mu   sync.Mutex
	last *preparedConfiguration
}

// newest returns the newest configuration of a replica, or nil when there is none or it
// can't be newest.
func (r *configurationCache) newest(from *replica.Replica) (*preparedConfiguration, error) {
	var newest state.Configuration
	from.View(func(s *state.State) { newest = s.Configuration })
	return r.prepare(newest)
}

// prepare makes a configuration ready.
func (r *configurationCache) prepare(document state.Configuration) (*preparedConfiguration, error) {
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
	r.last = &preparedConfiguration{
		document: document,
		snapshot: snapshot,
		table:    configuration.NewTable(parsed),
	}
	return r.last, nil
}

// newestConfiguration returns the newest configuration, or nil.
func (h *Hub) newestConfiguration(from *replica.Replica) *preparedConfiguration {
	a, err := h.cache.newest(from)
	if err != nil {
		// It was checked before it was accepted, by the same code.
		h.log.Error("accepted configuration not understood", "cause", err)
		return nil
	}
	return a
}

// activate puts a configuration in force if it is newer, and tells the gateways.
func (h *Hub) activate(a *preparedConfiguration) {
	if a == nil || h.active != nil && a.document.Version <= h.active.document.Version {
		return
	}
	before := h.active
	h.active = a
	h.scheduler.SetConfiguration(a.table)
	h.log.Info("configuration in force", "version", a.document.Version)
	h.deltaFrame = nil
	h.fullFrame = nil
	if before != nil {
		frame, err := link.NewFrame(wire.Serve{
			Change: a.snapshot.Since(before.snapshot),
		})
		if err != nil {
			h.log.Error("change of the configuration not encoded, gateways get all of it", "cause", err)
		} else {
			h.deltaFrame = frame
			h.deltaBase = before.document.Version
		}
	}
	for _, c := range h.conns {
		h.sendConfiguration(c)
	}
}

// sendConfiguration sends a gateway the configuration if it has an older one: what changed if it has
// the one before, all of it otherwise. Frames are encoded once for all gateways.
func (h *Hub) sendConfiguration(c *conn) {
	if h.active == nil || c.version >= h.active.document.Version {
		return
	}
	frame := h.deltaFrame
	if frame == nil || c.version != h.deltaBase {
		if h.fullFrame == nil {
			whole, err := link.NewFrame(wire.Serve{
				Configuration: &h.active.document,
			})
			if err != nil {
				h.log.Error("configuration not encoded, gateways keep the one before", "cause", err)
				return
			}
			h.fullFrame = whole
		}
		frame = h.fullFrame
	}
	c.version = h.active.document.Version
	// A failed send closes the link; its receiver reports that.
	_ = c.SendFrame(frame)
}
