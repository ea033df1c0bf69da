// Package state implements the deterministic state machine behind the replicated
// log; State.Apply executes its commands. It holds resources with versions and a
// bounded history of changes, the configuration in force, claims that let a
// non-idempotent request run at most once, leases with fencing tokens, and the
// results of recent changes, so that a retried change is applied once.
//
// Every replica applies the same commands in the same order and holds the same
// State. The only clock is the leader's timestamp in each Command.
package state
