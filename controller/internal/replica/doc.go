// Package replica runs one replica of the controllers' replicated log. Its entry
// point is Replica, which New returns and Run drives.
//
// One goroutine owns the raft core, the log on the disk and the state machine.
// Proposals and messages that arrive while the disk syncs are handled as one
// batch, so that they share the next sync (group commit). Each pair of replicas
// exchanges raft messages over links.
package replica
