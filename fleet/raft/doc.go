// Package raft implements the Raft consensus protocol behind the controllers'
// replicated log. Its entry point is Core, which New returns.
//
// The protocol is that of Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (USENIX ATC 2014). Pre-vote, check-quorum,
// read index, leadership transfer, snapshots and membership changes of one
// replica at a time are those of Ongaro's thesis, "Consensus: Bridging Theory
// and Practice" (2014).
//
// Core is a deterministic state machine without I/O: it takes the time, messages
// and a seeded random source, and returns an Output. It starts no goroutine and
// reads no clock. The driver must make HardState, Entries and Snapshot of an
// Output durable before it sends any message other than a MsgAppend, and must
// then call Persisted.
package raft
