package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// awaitLeader runs the schedule until a leader is followed by all replicas. It
// returns nil if there is none within the bound.
func awaitLeader(s *schedule) *node {
	const maxSteps = 2000
	for range maxSteps {
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

// TestTransferCompletesWithinElectionTimeout guards against a planned shutdown
// that costs an election timeout: a transfer takes only a few round trips.
func TestTransferCompletesWithinElectionTimeout(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := newSchedule(t, seed+1, noFault)
		s.healthy = true
		old := awaitLeader(s)
		is.True(old != nil)
		s.idleClients = true
		started := s.now
		for !old.core.TransferLeadership() {
			s.step()
		}
		s.processOutput(old)
		is.True(old.core.Role() == Leader) // until another leader is elected
		for old.core.Role() == Leader && s.now.Before(started.Add(2*time.Second)) {
			s.step()
		}
		next := awaitLeader(s)
		is.True(next != nil && next != old)
		is.True(s.now.Sub(started) < DefaultElectionTimeout)
		is.Equal(s.violation, "")
	}
}

// TestTransferFromNonLeaderIsIgnored guards against elections caused by a
// MsgTransfer whose sender is not the leader.
func TestTransferFromNonLeaderIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newSchedule(t, 1, noFault)
	s.healthy = true
	leader := awaitLeader(s)
	var followers []*node
	for _, n := range s.nodes {
		if n != leader {
			followers = append(followers, n)
		}
	}
	term := leader.core.Term()
	followers[0].core.Step(s.now, Message{
		Type: MsgTransfer,
		From: followers[1].id,
		To:   followers[0].id,
		Term: term,
	})
	is.Equal(followers[0].core.Role(), Follower)
	is.Equal(followers[0].core.Term(), term)
}
