package main

import (
	"cmp"

	"baobabpaddle/fleet/connlimit"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/settings"
)

// HeldLimits bounds what the process holds for those that connect to it. Zero fields take
// defaults.
type HeldLimits struct {
	// OperatorConns is the maximum number of operators' connections.
	OperatorConns int `json:"operator_connections,omitempty"`
	// FleetConns is the maximum number of connections of the fleet's processes that are no
	// links yet.
	FleetConns int `json:"fleet_connections,omitempty"`
	// RequestBytes is the maximum memory for the requests that arrive at one listener.
	RequestBytes int `json:"request_bytes,omitempty"`
}

// Check returns an error for the first field that is out of range.
func (l *HeldLimits) Check() error {
	return settings.FirstError(
		settings.Between("limits.operator_connections", l.OperatorConns, 0, maxListenerConns),
		settings.Between("limits.fleet_connections", l.FleetConns, 0, maxListenerConns),
		settings.Between("limits.request_bytes", l.RequestBytes, 0, maxMemoryMB<<20),
	)
}

// Defaults and range of HeldLimits.
const (
	maxListenerConns = 1 << 20
	// operatorConns is the maximum number of operators' connections. There are few operators.
	operatorConns = 32
	// fleetConnsPerMB is the maximum number of connections of the fleet's processes that are
	// no link yet, for each MiB of MemoryMB, within the range below. A link is made within
	// milliseconds.
	fleetConnsPerMB = 2
	minFleetConns   = 64
	maxFleetConns   = 1024
	// requestMemoryFraction is the fraction of MemoryMB for the requests that arrive at one
	// listener, and defaultRequestBytes their limit if MemoryMB is zero.
	requestMemoryFraction = 0.15
	defaultRequestBytes   = 256 << 20
)

// requestBytes returns the maximum memory for the requests that arrive at one listener.
func (s *ServeSettings) requestBytes() int64 {
	switch {
	case s.Limits.RequestBytes > 0:
		return int64(s.Limits.RequestBytes)
	case s.MemoryMB == 0:
		return defaultRequestBytes
	}
	return int64(requestMemoryFraction * float64(s.MemoryMB) * (1 << 20))
}

// operatorServer returns the settings of the server for operators.
func (s *ServeSettings) operatorServer() program.ServerSettings {
	return program.ServerSettings{
		Name: "operator",
		Limits: connlimit.Limits{
			Conns:     cmp.Or(s.Limits.OperatorConns, operatorConns),
			HeldBytes: s.requestBytes(),
		},
	}
}

// fleetServer returns the settings of the server for the fleet's processes.
func (s *ServeSettings) fleetServer() program.ServerSettings {
	conns := maxFleetConns
	if s.MemoryMB > 0 {
		conns = min(max(fleetConnsPerMB*s.MemoryMB, minFleetConns), maxFleetConns)
	}
	return program.ServerSettings{
		Name: "fleet",
		Limits: connlimit.Limits{
			Conns:     cmp.Or(s.Limits.FleetConns, conns),
			HeldBytes: s.requestBytes(),
		},
	}
}
