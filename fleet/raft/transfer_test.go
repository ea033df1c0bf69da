package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lead runs a healthy schedule until there is a leader that all follow.
func lead(s *schedule) *node {
	const most = 2000 // steps
	for range most {
		s.step()
		for _, id := range s.order {
			n := s.nodes[id]
			if n.core.Role() != Leader {
				continue
			}
			followed := true
			for _, other := range s.nodes {
				followed = followed && other.core.Leader() == id
			}
			if followed && n.core.Commit() > 2 {
				return n
			}
		}
	}
	return nil
}

// TestTransferLeavesNoGap has the leader ask another one to lead: that takes some
// round trips, not an election timeout.
func TestTransferLeavesNoGap(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := newSchedule(t, seed+1, noFault)
		s.healthy = true
		old := lead(s)
		is.True(old != nil)
		s.quiet = true
		started := s.now
		for !old.core.TransferLeadership() {
			s.step()
		}
		s.settle(old)
		is.True(old.core.Role() == Leader) // until another one is elected
		for old.core.Role() == Leader && s.now.Before(started.Add(2*time.Second)) {
			s.step()
		}
		next := lead(s)
		is.True(next != nil && next != old)
		is.True(s.now.Sub(started) < DefaultElectionTimeout)
		is.Equal(s.broken, "")
	}
}

// TestTransferFromNobody ignores the message of one that does not lead.
func TestTransferFromNobody(t *testing.T) {
	is := is.New(t)
	s := newSchedule(t, 1, noFault)
	s.healthy = true
	leader := lead(s)
	var bystanders []*node
	for _, n := range s.nodes {
		if n != leader {
			bystanders = append(bystanders, n)
		}
	}
	term := leader.core.Term()
	bystanders[0].core.Step(s.now, Message{
		Type: MsgTransfer,
		From: bystanders[1].id,
		To:   bystanders[0].id,
		Term: term,
	})
	is.Equal(bystanders[0].core.Role(), Follower)
	is.Equal(bystanders[0].core.Term(), term)
}
