// Package e2e tests the fleet's programs end to end: each test starts a fleet of
// real processes on loopback with startFleet, injects faults (kills, freezes,
// network partitions, connections that stop carrying data, damaged or lost disks)
// and checks what callers, operators and upstreams observe.
//
// TestMain builds the programs, or takes them from the folder in BAOBABPADDLE_BIN.
package e2e
