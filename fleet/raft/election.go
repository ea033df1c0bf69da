package raft

import "time"

// campaign starts a pre-vote if pre is true, else a vote in the next term.
func (c *Core) campaign(now time.Time, pre bool) {
	transferRequested := c.transferRequested
	c.transferRequested = false
	c.leader = 0
	term := c.hardState.Term + 1
	kind := MsgPreVote
	if pre {
		c.role = PreCandidate
		c.preVotes = map[uint64]bool{c.settings.ID: true}
	} else {
		c.role = Candidate
		c.preVotes = nil
		c.votes = map[uint64]bool{c.settings.ID: true}
		kind = MsgVote
		c.hardState.Term = term
		c.hardState.Vote = c.settings.ID
		c.emitHardState()
	}
	if c.tallyVotes(now, kind) {
		return
	}
	for _, m := range c.members.List {
		if c.members.IsVoter(m.ID) && m.ID != c.settings.ID {
			c.send(Message{
				Type:    kind,
				To:      m.ID,
				Term:    term,
				Index:   c.log.lastIndex(),
				LogTerm: c.log.lastTerm(),

				Transfer: transferRequested,
			})
		}
	}
}

// tallyVotes reports whether a majority of voters has granted the requests of the kind
// MsgPreVote or MsgVote, and if so moves from the pre-vote to the vote or from the vote to
// leadership.
func (c *Core) tallyVotes(now time.Time, kind MessageType) bool {
	granted := c.votes
	if kind == MsgPreVote {
		granted = c.preVotes
	}
	if !c.members.Majority(func(id uint64) bool { return granted[id] }) {
		return false
	}
	if kind == MsgPreVote {
		c.campaign(now, false)
	} else {
		c.becomeLeader(now)
	}
	return true
}

// becomeLeader enters the leader role. It appends an empty entry, since entries
// of earlier terms can only be committed by one of the current term.
func (c *Core) becomeLeader(now time.Time) {
	c.role = Leader
	c.preVotes = nil
	c.leader = c.settings.ID
	c.peers = make(map[uint64]*peerProgress)
	c.syncPeers(now)
	c.quorumCheckDeadline = now.Add(c.settings.ElectionTimeout)
	c.heartbeatDeadline = now.Add(c.settings.HeartbeatInterval)
	c.appendEntries(Entry{
		Index: c.log.lastIndex() + 1,
		Term:  c.hardState.Term,
		Kind:  EntryNoop,
	})
	c.broadcast(now)
	c.advanceCommit(now)
}

// syncPeers adds and removes progress records to match the membership.
func (c *Core) syncPeers(now time.Time) {
	for _, m := range c.members.List {
		if m.ID != c.settings.ID && c.peers[m.ID] == nil {
			c.peers[m.ID] = &peerProgress{
				next:        c.log.lastIndex() + 1,
				probing:     true,
				lastContact: now,
			}
		}
	}
	for id := range c.peers {
		if _, ok := c.members.Find(id); !ok {
			delete(c.peers, id)
		}
	}
}

// logUpToDate reports whether a candidate's log is at least as up to date as
// this replica's.
func (c *Core) logUpToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.lastIndex())
}

// leaderAlive reports whether a leader was in contact within the election
// timeout. Requests for votes are ignored then (check-quorum), so that a replica
// that was cut off cannot depose a working leader.
func (c *Core) leaderAlive(now time.Time) bool {
	if c.role == Leader {
		return true
	}
	return c.leader != 0 && now.Sub(c.leaderContact) < c.settings.ElectionTimeout
}

// stepVote handles MsgPreVote and MsgVote. A pre-vote changes no durable state.
func (c *Core) stepVote(now time.Time, m Message) {
	pre := m.Type == MsgPreVote
	reply := MsgVoteReply
	if pre {
		reply = MsgPreVoteReply
	}
	if c.leaderAlive(now) && !m.Transfer {
		return
	}
	if !pre && m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, 0)
	}
	grant := m.Term >= c.hardState.Term && c.logUpToDate(m)
	if pre {
		grant = grant && m.Term > c.hardState.Term
	} else {
		grant = grant && m.Term == c.hardState.Term && (c.hardState.Vote == 0 || c.hardState.Vote == m.From)
	}
	if grant && !pre {
		c.hardState.Vote = m.From
		c.emitHardState()
		c.resetElectionTimer(now)
	}
	term := c.hardState.Term
	if pre && grant {
		term = m.Term
	}
	c.send(Message{
		Type:   reply,
		To:     m.From,
		Term:   term,
		Reject: !grant,
	})
}

// TransferLeadership asks a voter that has the whole log to become leader, so
// that a leader that shuts down does not leave the group without one for an
// election timeout. It reports whether such a voter was found. If the message is
// lost, an election follows after the election timeout.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	for _, m := range c.members.List {
		if p := c.peers[m.ID]; m.Voter && p != nil && p.match == c.log.lastIndex() {
			c.send(Message{
				Type: MsgTransfer,
				To:   m.ID,
			})
			return true
		}
	}
	return false
}

// stepTransfer handles MsgTransfer: it stands for election at once, without a
// pre-vote, if the sender is the current leader.
func (c *Core) stepTransfer(now time.Time, m Message) {
	if c.role != Follower || c.leader != m.From || m.Term != c.hardState.Term || !c.members.IsVoter(c.settings.ID) {
		return
	}
	c.transferRequested = true
	c.resetElectionTimer(now)
	c.campaign(now, false)
}

// stepVoteReply handles MsgPreVoteReply and MsgVoteReply. A granted pre-vote
// carries the term that the candidate would enter. Votes count until the replica leaves
// the term, also while it asks for pre-votes of the next one: on slow disks votes become
// durable later than the candidate's election timeout.
func (c *Core) stepVoteReply(now time.Time, m Message) {
	kind, granted, term := MsgVote, c.votes, c.hardState.Term
	if m.Type == MsgPreVoteReply {
		kind, granted, term = MsgPreVote, c.preVotes, term+1
	}
	if m.Reject && m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, 0)
		return
	}
	if granted == nil || c.role == Leader || m.Reject || m.Term != term {
		return
	}
	granted[m.From] = true
	c.tallyVotes(now, kind)
}
