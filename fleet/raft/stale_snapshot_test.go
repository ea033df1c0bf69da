package raft

import (
	"testing"

	"github.com/matryer/is"
)

// TestRepliesFromBeforeTheSnapshotAreNoSignOfLoss guards against many copies of a snapshot
// in flight: reads that are confirmed together send a heartbeat each, which the driver
// sends before the snapshot, and their answers were taken for signs that it was lost.
func TestRepliesFromBeforeTheSnapshotAreNoSignOfLoss(t *testing.T) {
	is := is.New(t)
	const (
		follower = 3
		reads    = 30
	)
	g := newLostSnapshot(t, 0)
	g.run(g.leader.settings.HeartbeatInterval * (snapshotTimeoutHeartbeats + 1)) // the next snapshot is due
	g.leader.TakeOutput()
	g.leader.peers[follower].snapshotRetryAt = g.now
	for context := range uint64(reads) {
		g.leader.ReadIndex(g.now, context)
	}
	snapshots := 0
	var heartbeats []Message
	for _, m := range g.leader.TakeOutput().Messages {
		switch {
		case m.To != follower:
		case m.Type == MsgSnapshot:
			snapshots++
		case m.Type == MsgAppend:
			heartbeats = append(heartbeats, m)
		}
	}
	is.Equal(snapshots, 1)
	is.Equal(len(heartbeats), reads)
	for _, m := range heartbeats {
		g.follower.Step(g.now, m)
		for _, reply := range g.follower.TakeOutput().Messages {
			g.leader.Step(g.now, reply)
		}
	}
	for _, m := range g.leader.TakeOutput().Messages {
		if m.To == follower && m.Type == MsgSnapshot {
			snapshots++
		}
	}
	is.Equal(snapshots, 1) // the first one is still on its way
}
