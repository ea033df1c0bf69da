package raft

import (
	"slices"
	"strconv"
	"time"
)

// client proposes a command or requests a read at a random replica.
func (s *schedule) client() {
	n := s.nodes[s.order[s.random.IntN(len(s.order))]]
	if !n.up || s.now.Before(n.pausedUntil) {
		return
	}
	if s.random.IntN(4) == 0 {
		if s.fault == unconfirmedReads && n.core.Role() == Leader {
			s.checkRead(n, n.core.Commit(), len(s.acked))
			return
		}
		s.nextRead++
		n.reads[s.nextRead] = len(s.acked)
		n.core.ReadIndex(s.now, s.nextRead)
		s.processOutput(n)
		return
	}
	s.nextCmd++
	command := "c" + strconv.Itoa(s.nextCmd)
	if _, err := n.core.Propose(s.now, []byte(command)); err == nil {
		s.pending[command] = n.id
		s.processOutput(n)
	}
}

// nemesis injects a random fault: a crash, a pause, a partition or a lost disk.
// It may also heal the partitions.
func (s *schedule) nemesis() {
	n := s.nodes[s.order[s.random.IntN(len(s.order))]]
	switch s.random.IntN(10) {
	case 0, 1:
		if n.up {
			s.crash(n)
		}
	case 2, 3:
		n.pausedUntil = s.now.Add(time.Duration(s.random.IntN(4000)) * time.Millisecond)
	case 4, 5, 6:
		s.partition()
	case 7, 8:
		clear(s.blockedLinks)
	case 9:
		s.loseDisk(n)
	}
}

// partition blocks the links between two random sets of replicas, in one
// direction or both.
func (s *schedule) partition() {
	inside := make(map[uint64]bool)
	for _, id := range s.order {
		inside[id] = s.random.IntN(2) == 0
	}
	oneWay := s.random.IntN(3) == 0
	for _, a := range s.order {
		for _, b := range s.order {
			if inside[a] && !inside[b] {
				s.blockedLinks[[2]uint64{a, b}] = true
				s.blockedLinks[[2]uint64{b, a}] = !oneWay
			}
		}
	}
}

// loseDisk destroys a replica's disk, if canLoseDisk allows it and no other disk
// waits for replacement. A new replica with a new identifier takes its place.
func (s *schedule) loseDisk(n *node) {
	if len(s.lostDisks) > 0 || !s.canLoseDisk() {
		return
	}
	if s.fault == sameIDNewDisk {
		first := s.nodes[s.order[0]].snapshot.Members
		if n.snapshot.Index > 1 {
			return // only a bootstrapped replica can restart from an empty disk
		}
		n.hard = HardState{}
		n.entries = nil
		n.snapshot = Snapshot{
			Index:   1,
			Term:    1,
			Members: first,
		}
		s.crash(n)
		return
	}
	n.up = false
	n.restartAt = time.Time{}
	s.lostDisks = append(s.lostDisks, n.id)
	delete(s.nodes, n.id)
	s.order = slices.DeleteFunc(s.order, func(id uint64) bool { return id == n.id })
	s.nextID++
	s.add(s.nextID, Snapshot{})
}

// canLoseDisk reports whether every replica is a voter and every member still has
// its disk, so that the loss of one disk leaves a quorum of disks.
func (s *schedule) canLoseDisk() bool {
	for _, id := range s.order {
		n := s.nodes[id]
		if m, ok := n.core.members.Find(id); !ok || !m.Voter {
			return false
		}
		for _, m := range n.core.members.List {
			if s.nodes[m.ID] == nil {
				return false
			}
		}
	}
	return true
}

// operator removes replicas whose disks were lost and adds new replicas as
// learners, as an operator would with the command line tool.
func (s *schedule) operator() {
	for _, id := range s.order {
		n := s.nodes[id]
		if !n.up || n.core.Role() != Leader || s.now.Before(n.pausedUntil) {
			continue
		}
		members := n.core.Members()
		next, err := Members{}, ErrMemberExists
		if len(s.lostDisks) > 0 {
			if next, err = members.Without(s.lostDisks[0]); err != nil {
				s.lostDisks = s.lostDisks[1:]
			}
		}
		for _, other := range s.order {
			if _, ok := members.Find(other); !ok && err != nil {
				next, err = members.WithLearner(other, "")
			}
		}
		if err == nil {
			// Refused while another change is in progress; tried again later.
			_, _ = n.core.ProposeMembers(s.now, next)
			s.processOutput(n)
		}
	}
}
