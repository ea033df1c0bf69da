package gateway

import (
	"context"
	"sync"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// preparedConfiguration is a committed configuration, parsed and indexed.
type preparedConfiguration struct {
	document state.Configuration
	snapshot *configuration.Snapshot
	table    *configuration.Table
}

// configurationCache parses the replica's configuration once per version. It is used
// outside the control goroutine, since parsing thousands of routes takes
// milliseconds.
type configurationCache struct {
	mu   sync.Mutex
	last *preparedConfiguration
}

// newest returns the newest configuration of a replica. It returns nil if there is
// none or it can't be parsed.
func (c *configurationCache) newest(from *replica.Replica) (*preparedConfiguration, error) {
	var newest state.Configuration
	from.View(func(s *state.State) { newest = s.Configuration })
	return c.prepare(newest)
}

// prepare parses and indexes a configuration unless it is the last one. It returns
// nil for version zero, which stands for no configuration.
func (c *configurationCache) prepare(document state.Configuration) (*preparedConfiguration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if document.Version == 0 {
		return nil, nil
	}
	if c.last != nil && c.last.document.Version == document.Version {
		return c.last, nil
	}
	parsed, err := configuration.Parse(document.Document)
	if err != nil {
		return nil, err
	}
	snapshot, err := configuration.NewSnapshot(parsed)
	if err != nil {
		return nil, err
	}
	c.last = &preparedConfiguration{
		document: document,
		snapshot: snapshot,
		table:    configuration.NewTable(parsed),
	}
	return c.last, nil
}

// newestConfiguration returns the newest configuration of a replica, or nil.
func (h *Hub) newestConfiguration(from *replica.Replica) *preparedConfiguration {
	newest, err := h.cache.newest(from)
	if err != nil {
		// This is not expected: the same parser accepted it when it was put.
		h.log.Error("committed configuration can't be parsed, the previous one stays in force", "cause", err)
		return nil
	}
	return newest
}

// activate puts a configuration in force if it is newer than the active one, and
// sends it to the gateways.
func (h *Hub) activate(next *preparedConfiguration) {
	if next == nil || h.active != nil && next.document.Version <= h.active.document.Version {
		return
	}
	previous := h.active
	h.active = next
	h.scheduler.SetConfiguration(next.table)
	h.log.Info("configuration in force", "version", next.document.Version)
	h.deltaFrame = nil
	h.fullFrame = nil
	if previous != nil {
		frame, err := link.NewFrame(wire.Serve{
			Change: next.snapshot.Since(previous.snapshot),
		})
		if err != nil {
			h.log.Error("change of the configuration can't be encoded, gateways get the whole configuration", "cause", err)
		} else {
			h.deltaFrame = frame
			h.deltaBase = previous.document.Version
		}
	}
	for _, c := range h.conns {
		h.sendConfiguration(c)
	}
}

// sendConfiguration sends a gateway the active configuration if it has an older one:
// the change if it has the previous version, the whole configuration otherwise. Each
// frame is encoded once for all gateways.
func (h *Hub) sendConfiguration(c *conn) {
	if h.active == nil || c.version >= h.active.document.Version {
		return
	}
	frame := h.deltaFrame
	if frame == nil || c.version != h.deltaBase {
		if h.fullFrame == nil {
			full, err := link.NewFrame(wire.Serve{
				Configuration: &h.active.document,
			})
			if err != nil {
				h.log.Error("configuration can't be encoded, gateways keep the previous one", "cause", err)
				return
			}
			h.fullFrame = full
		}
		frame = h.fullFrame
	}
	c.version = h.active.document.Version
	// A failed send closes the link; its receiver reports that.
	_ = c.SendFrame(frame)
}

// watchConfiguration posts each new configuration of the replica, its evacuations and its
// quarantined subjects.
func (h *Hub) watchConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		r := h.replicas.Replica()
		if r == nil {
			select {
			case <-ctx.Done():
			case <-time.After(leadershipCheckInterval):
			}
			continue
		}
		changed := r.Changed()
		h.post(ctx, event{
			evacuations: readEvacuations(r),
		})
		h.post(ctx, event{
			recorded: readQuarantine(r),
		})
		if newest := h.newestConfiguration(r); newest != nil {
			h.post(ctx, event{
				configuration: newest,
			})
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(time.Second): // the replica may have been replaced
		}
	}
}
