package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMovedMemberSupersedesNobody guards against the removal of voters with their disks:
// two hosts that have exchanged addresses are both alive, and the one that asks first took
// the place of the other, which a learner then replaced.
func TestMovedMemberSupersedesNobody(t *testing.T) {
	is := is.New(t)
	const moved, other = 2, 3
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	now := epoch.Add(10 * time.Second)
	leader := newLeader(3, 1)
	for i := range leader.members.List {
		leader.members.List[i].Address = addresses[i]
	}
	answerAll(leader, now)
	next, err := leader.members.Admit(moved, addresses[other-1])
	is.NoErr(err)
	_, err = leader.ProposeMembers(now, next)
	is.NoErr(err)
	answerAll(leader, now) // all replicas are in contact and answer
	members := leader.Members()
	m, _ := members.Find(other)
	is.True(m.Voter)
	is.Equal(members.Leaving, uint64(0))
	is.Equal(len(members.Removed), 0)
}

// answerAll has all other members make durable what the leader sends, until it has nothing
// more to send.
func answerAll(leader *Core, now time.Time) {
	for range 20 {
		leader.Flush(now)
		out := leader.TakeOutput()
		leader.Persisted(now, leader.LastIndex())
		for _, m := range out.Messages {
			leader.Step(now, Message{
				Type:  MsgAppendReply,
				From:  m.To,
				To:    m.From,
				Term:  m.Term,
				Index: m.Index + uint64(len(m.Entries)),
			})
		}
	}
}
