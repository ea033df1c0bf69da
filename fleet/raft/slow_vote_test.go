package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// standAgain returns replica 1 of three voters, which has stood for election in term 2 and
// asks for pre-votes of term 3, as no vote has arrived within its election timeout.
func standAgain(t *testing.T) (*Core, time.Time) {
	t.Helper()
	is := is.New(t)
	c := New(Settings{
		ID: 1,
	}, Restored{
		HardState: HardState{
			Term: 1,
		},
		Snapshot: Snapshot{
			Index:   1,
			Term:    1,
			Members: newLeader(3, 0).Members(),
		},
	}, rand.New(rand.NewPCG(1, 1)), epoch)
	c.Tick(c.Deadline())
	c.Step(epoch, voteReply(MsgPreVoteReply, 2))
	is.Equal(c.Role(), Candidate)
	now := c.Deadline()
	c.Tick(now)
	is.Equal(c.Role(), PreCandidate)
	is.Equal(c.Term(), uint64(2))
	return c, now
}

// voteReply returns a vote or pre-vote that replica 2 has granted to replica 1.
func voteReply(kind MessageType, term uint64) Message {
	return Message{
		Type: kind,
		From: 2,
		To:   1,
		Term: term,
	}
}

// TestVoteAfterTheElectionTimeoutCounts guards against voters that elect no leader although
// all of them grant their votes: on slow disks a vote arrived once the candidate had begun the
// next pre-vote, and was dropped.
func TestVoteAfterTheElectionTimeoutCounts(t *testing.T) {
	is := is.New(t)
	c, now := standAgain(t)
	c.Step(now, voteReply(MsgVoteReply, 2))
	is.Equal(c.Role(), Leader)
	is.Equal(c.Term(), uint64(2))
	c.Step(now, voteReply(MsgPreVoteReply, 3)) // of the pre-vote that has become void
	is.Equal(c.Role(), Leader)
	is.Equal(c.Term(), uint64(2))
}

// TestVoteOfAnotherTermDoesNotCount guards against a leader that no majority has elected in
// its term: late votes count in their own term only, and not after another leader was
// followed or the term was left.
func TestVoteOfAnotherTermDoesNotCount(t *testing.T) {
	late := voteReply(MsgVoteReply, 2)
	for name, messages := range map[string][]Message{
		"candidate of the next term": {voteReply(MsgPreVoteReply, 3), late},
		"follower of a leader of the term": {
			{
				Type:    MsgAppend,
				From:    3,
				To:      1,
				Term:    2,
				Index:   1,
				LogTerm: 1,
			},
			late,
		},
		"voter for a candidate of a later term": {
			{
				Type:    MsgVote,
				From:    3,
				To:      1,
				Term:    4,
				Index:   1,
				LogTerm: 1,
			},
			late,
		},
		"pre-vote of the present term": {voteReply(MsgPreVoteReply, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := standAgain(t)
			for _, m := range messages {
				c.Step(now, m)
				is.True(c.Role() != Leader)
			}
		})
	}
}
