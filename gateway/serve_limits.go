package main

import (
	"time"

	"baobabpaddle/fleet/settings"
)

// HeldLimits bounds what the process holds. Zero fields take defaults that follow from MemoryMB
// and MaxOpenFiles.
type HeldLimits struct {
	// CallerConns is the maximum number of callers' connections.
	CallerConns int `json:"caller_connections,omitempty"`
	// UpstreamConns is the maximum number of connections to upstreams.
	UpstreamConns int `json:"upstream_connections,omitempty"`
	// HeldBytes is the maximum memory for what all requests hold: bodies, heads that are long
	// or of many fields, and answers that are read to their end.
	HeldBytes int `json:"held_bytes,omitempty"`
}

// Check returns an error for the first field that is out of range.
func (l *HeldLimits) Check() error {
	return settings.FirstError(
		settings.Between("limits.caller_connections", l.CallerConns, 0, maxOpenFiles),
		settings.Between("limits.upstream_connections", l.UpstreamConns, 0, maxOpenFiles),
		settings.Between("limits.held_bytes", l.HeldBytes, 0, maxMemoryMB<<20),
	)
}

// Defaults of HeldLimits.
const (
	// callerConnsFraction and upstreamConnsFraction are the fractions of MaxOpenFiles for
	// callers' connections and for those to upstreams. The rest is for controllers, health
	// checks, metrics, files and connections that arrive before others are closed.
	callerConnsFraction   = 0.45
	upstreamConnsFraction = 0.3
	// defaultConns is the maximum number of connections of either kind if MaxOpenFiles is zero.
	defaultConns = 10_000
	// connMemoryFraction is the fraction of MemoryMB for callers' connections without what
	// their requests hold, and connBytes the memory of one: buffers and stacks of the process,
	// and bytes that have arrived and were not read.
	connMemoryFraction = 0.44
	connBytes          = 64 << 10
	// heldMemoryFraction is the fraction of MemoryMB for what requests hold, and
	// defaultHeldMemoryBytes its limit if MemoryMB is zero.
	heldMemoryFraction     = 0.2
	defaultHeldMemoryBytes = 1 << 30
	// connReserveBytes is the memory kept free for each of callers' connections: twice its
	// receive buffer, and what the Go runtime may hold beyond its limit meanwhile.
	connReserveBytes = 96 << 10
	// memoryInterval is how often the limit of the Go runtime's memory is adapted, and
	// memoryStep the part of it below which a change is left out.
	memoryInterval = 100 * time.Millisecond
	memoryStep     = 16
)

// maxConns returns the maximum number of callers' connections.
func (s *ServeSettings) maxConns() int {
	if s.Limits.CallerConns > 0 {
		return s.Limits.CallerConns
	}
	conns := defaultConns
	if s.MaxOpenFiles > 0 {
		conns = int(callerConnsFraction * float64(s.MaxOpenFiles))
	}
	if s.MemoryMB > 0 {
		conns = min(conns, int(connMemoryFraction*float64(s.MemoryMB)*(1<<20)/connBytes))
	}
	return conns
}

// maxUpstreamConns returns the maximum number of connections to upstreams.
func (s *ServeSettings) maxUpstreamConns() int {
	switch {
	case s.Limits.UpstreamConns > 0:
		return s.Limits.UpstreamConns
	case s.MaxOpenFiles > 0:
		return int(upstreamConnsFraction * float64(s.MaxOpenFiles))
	}
	return defaultConns
}

// heldBytes returns the maximum memory for what callers' requests hold, in bytes.
func (s *ServeSettings) heldBytes() int64 {
	switch {
	case s.Limits.HeldBytes > 0:
		return int64(s.Limits.HeldBytes)
	case s.MemoryMB > 0:
		return int64(heldMemoryFraction * float64(s.MemoryMB) * (1 << 20))
	}
	return defaultHeldMemoryBytes
}

// heapBytes returns the limit of the Go runtime's memory while callers have the given number of
// connections open, in bytes. MemoryMB must not be zero.
func (s *ServeSettings) heapBytes(conns int) int64 {
	limit := memoryFraction * float64(s.MemoryMB) * (1 << 20)
	return int64(max(limit-float64(conns)*connReserveBytes, limit/2))
}
