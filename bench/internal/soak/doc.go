// Package soak runs real controllers and gateways as processes on loopback, injects
// random faults and checks the invariants that callers, upstreams and operators rely
// on; Run does one run with one seed.
//
// The seed determines the sequence of faults and of requests, but not their timing.
// Processes are killed, paused, stopped and started by signals. Relays before
// controllers and upstreams delay, reset or silence connections or drop one direction.
// Upstreams crash, hang, reject requests, lose answers or truncate them. Data folders
// are wiped or end in a torn record, and settings files are rewritten. With options, all
// hosts lose power at once, some of them their disk, controllers are replaced at new
// addresses, disks are full for some seconds while the processes live on, and crowds of callers
// meet gateways that are short of processor time. Several series of faults run at the same
// time, so faults overlap. Only processes that the package started are signalled.
//
// Callers, upstreams and the operator are part of the test process. They record in a
// Ledger what they sent and received, and the ledger reports violations.
package soak
