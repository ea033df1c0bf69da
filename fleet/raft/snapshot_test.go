package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lostSnapshot is a leader, replica 1, whose voter 3 needs a snapshot and is reached
// again only after the first message with it was lost. All other replicas answer each
// append at once.
type lostSnapshot struct {
	now      time.Time
	leader   *Core
	follower *Core
	reached  bool // replica 3 receives messages
	lost     bool // a snapshot to replica 3 was lost
}

// newLostSnapshot returns a group of three voters and a number of learners, at the
// moment when the snapshot was lost.
func newLostSnapshot(t *testing.T, learners int) *lostSnapshot {
	t.Helper()
	is := is.New(t)
	const voters = 3
	g := &lostSnapshot{
		now:    epoch.Add(10 * time.Second),
		leader: newLeader(voters, learners),
	}
	g.follower = New(Settings{
		ID: voters,
	}, Restored{
		Snapshot: Snapshot{
			Index:   1,
			Term:    1,
			Members: g.leader.Members(),
		},
	}, rand.New(rand.NewPCG(1, voters)), g.now)
	g.leader.peers[voters].match = 0
	for range 5 {
		_, err := g.leader.Propose(g.now, []byte("change"))
		is.NoErr(err)
	}
	g.run(500 * time.Millisecond)
	is.Equal(g.leader.Commit(), g.leader.LastIndex())
	g.leader.Compact(g.leader.Commit())
	for range 100 {
		if !g.lost {
			g.run(stepTime)
		}
	}
	is.True(g.lost)
	return g
}

// run advances the time by span.
func (g *lostSnapshot) run(span time.Duration) {
	for end := g.now.Add(span); g.now.Before(end); g.now = g.now.Add(stepTime) {
		if !g.now.Before(g.leader.Deadline()) {
			g.leader.Tick(g.now)
		}
		for range 10 { // messages of a step that answer each other
			out := g.leader.TakeOutput()
			if len(out.Entries) > 0 {
				g.leader.Persisted(g.now, out.Entries[len(out.Entries)-1].Index)
			}
			for _, m := range out.Messages {
				g.deliver(m)
			}
		}
	}
}

// deliver passes a message of the leader on, and the replies back.
func (g *lostSnapshot) deliver(m Message) {
	if m.To != g.follower.settings.ID {
		g.leader.Step(g.now, Message{
			Type:    MsgAppendReply,
			From:    m.To,
			To:      m.From,
			Term:    m.Term,
			Index:   m.Index + uint64(len(m.Entries)),
			Context: m.Context,
		})
		return
	}
	if !g.reached {
		g.lost = g.lost || m.Type == MsgSnapshot
		return
	}
	g.follower.Step(g.now, m)
	for _, reply := range g.follower.TakeOutput().Messages {
		g.leader.Step(g.now, reply)
	}
}

// TestLostSnapshotIsSentAgain guards against a member that hears nothing from the
// leader for five seconds after a snapshot that was sent before it was reached.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	is := is.New(t)
	const catchUpTime = 4 * time.Second
	g := newLostSnapshot(t, 0)
	g.reached = true
	g.run(catchUpTime)
	is.Equal(g.follower.Commit(), g.leader.Commit())
	is.Equal(g.follower.Leader(), uint64(1))
}

// TestReachedVoterIsNotReplaced guards against the removal of a voter that is reached,
// but to which the leader sends nothing since a snapshot was lost.
func TestReachedVoterIsNotReplaced(t *testing.T) {
	is := is.New(t)
	g := newLostSnapshot(t, 1)
	g.reached = true
	g.run(2 * g.leader.settings.ReplaceAfter)
	m, ok := g.leader.members.Find(g.follower.settings.ID)
	is.True(ok)
	is.True(m.Voter)
}
