package raft

import (
	"slices"
	"time"
)

// appendTimeoutHeartbeats is the time, in heartbeat intervals, after which an
// unanswered append is sent again.
const appendTimeoutHeartbeats = 3

// maxAppendBytes bounds the data of the entries of one append. Links refuse much larger
// messages, and the loss of a link costs what was in flight.
const maxAppendBytes = 4 << 20

// Step handles a message from another replica. Messages to other identifiers and
// messages from removed members are dropped.
func (c *Core) Step(now time.Time, m Message) {
	if m.To != c.settings.ID || slices.Contains(c.members.Removed, m.From) {
		return
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		c.stepVote(now, m)
		return
	case MsgPreVoteReply, MsgVoteReply:
		c.stepVoteReply(now, m)
		return
	}
	if m.Term < c.hardState.Term {
		if m.Type == MsgAppend || m.Type == MsgSnapshot {
			c.send(Message{
				Type:   MsgAppendReply,
				To:     m.From,
				Reject: true,
				Hint:   c.log.lastIndex(),
			})
		}
		return
	}
	if m.Term > c.hardState.Term {
		leader := uint64(0)
		if m.Type == MsgAppend || m.Type == MsgSnapshot {
			leader = m.From
		}
		c.becomeFollower(now, m.Term, leader)
	}
	switch m.Type {
	case MsgAppend:
		c.stepAppend(now, m)
	case MsgAppendReply:
		c.stepAppendReply(now, m)
	case MsgSnapshot:
		c.stepSnapshot(now, m)
	case MsgTransfer:
		c.stepTransfer(now, m)
	case MsgRead:
		c.addRead(now, pendingRead{
			requester:        m.From,
			requesterContext: m.Context,
		})
	case MsgReadReply:
		c.out.Reads = append(c.out.Reads, ReadState{
			Context: m.Context,
			Index:   m.Index,
			Failed:  m.Reject,
		})
	}
}

// followLeader records contact with the leader of the current term.
func (c *Core) followLeader(now time.Time, m Message) {
	if c.role != Follower {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.leader = m.From
	c.leaderContact = now
	c.resetElectionTimer(now)
}

// stepAppend handles MsgAppend. It appends the entries if the preceding entry
// matches, after removing entries that conflict with the leader's log.
func (c *Core) stepAppend(now time.Time, m Message) {
	c.followLeader(now, m)
	reply := Message{
		Type:    MsgAppendReply,
		To:      m.From,
		Context: m.Context,
	}
	if m.Index < c.hardState.Commit {
		// Everything up to the commit index is known to match.
		skip := c.hardState.Commit - m.Index
		if uint64(len(m.Entries)) <= skip {
			reply.Index = c.hardState.Commit
			c.send(reply)
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = c.hardState.Commit
		m.LogTerm, _ = c.log.term(m.Index)
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = c.conflictHint(m.Index)
		c.send(reply)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	for i, e := range m.Entries {
		if term, ok := c.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= c.log.lastIndex() {
			c.log.truncate(e.Index)
			c.persisted = min(c.persisted, e.Index-1)
			c.reloadMembers()
		}
		c.appendEntries(m.Entries[i:]...)
		break
	}
	c.setCommit(min(m.Commit, last))
	reply.Index = last
	c.send(reply)
}

// BeforeSync reports whether a message of an output may be sent before the output is durable,
// given what is durable already: an append, which followers make durable at the same time, or
// the answer to an append that acknowledges only what is durable, such as a heartbeat. It must be
// called before Persisted.
func (c *Core) BeforeSync(out Output, durable HardState, m Message) bool {
	if m.Type == MsgAppend {
		return true
	}
	return m.Type == MsgAppendReply && !m.Reject && m.Index <= c.persisted &&
		out.Snapshot == nil && (out.HardState == nil || !out.HardState.MustSync(durable))
}

// conflictHint returns the highest index that may match the leader's log: the
// end of a log that is too short, else the index before the conflicting term,
// but not below the commit index. It spares the leader one round trip per
// entry.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	bad, _ := c.log.term(index)
	for index > c.hardState.Commit {
		index--
		if term, ok := c.log.term(index); !ok || term != bad {
			break
		}
	}
	return index
}

// stepAppendReply handles MsgAppendReply: it updates the peer's progress and
// sends the next entries.
func (c *Core) stepAppendReply(now time.Time, m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastContact = now
	p.unansweredFrom = time.Time{}
	p.retransmitAt = time.Time{}
	c.countStaleReply(now, p, m)
	if m.Reject {
		p.probing = true
		p.next = max(p.match+1, min(m.Hint+1, c.log.lastIndex()+1))
		if p.next > c.log.snapshotIndex {
			c.sendAppend(now, m.From, p, 0)
		} else {
			c.sendSnapshot(now, m.From, p)
		}
		return
	}
	p.readAck = max(p.readAck, m.Context)
	p.probing = false
	if m.Index > p.match {
		p.match = m.Index
		if m.Index >= c.log.snapshotIndex {
			p.snapshotRetryAt = time.Time{}
		}
		c.advanceCommit(now)
		if c.role == Leader {
			c.reconfigure(now)
		}
	}
	p.next = max(p.next, p.match+1)
	c.confirmReads()
	switch {
	case c.role != Leader || p.next > c.log.lastIndex():
	case p.next <= c.log.snapshotIndex:
		c.sendSnapshot(now, m.From, p)
	default:
		c.sendAppend(now, m.From, p, 0)
	}
}

// Heartbeat sends the appends of a leader if they are due, and reports whether they were. It
// acts on no other deadline and adds no entry: a driver calls it between two writes, before it
// handles the messages that have arrived meanwhile.
func (c *Core) Heartbeat(now time.Time) bool {
	if c.role != Leader || now.Before(c.heartbeatDeadline) {
		return false
	}
	c.heartbeatDeadline = now.Add(c.settings.HeartbeatInterval)
	c.broadcast(now)
	return true
}

// broadcast sends each peer the entries that it lacks, or a heartbeat.
func (c *Core) broadcast(now time.Time) {
	for _, m := range c.members.List {
		if p := c.peers[m.ID]; p != nil {
			c.sendAppend(now, m.ID, p, c.readSequence)
		}
	}
}

// sendAppend sends a peer the next entries, or an empty append while others are in
// flight or the peer is probed. If the entries are compacted, it sends a snapshot, and
// heartbeats while that is in flight.
func (c *Core) sendAppend(now time.Time, to uint64, p *peerProgress, context uint64) {
	if p.unansweredFrom.IsZero() {
		p.unansweredFrom = now
	}
	if p.next <= c.log.snapshotIndex {
		c.sendSnapshot(now, to, p)
		term, _ := c.log.term(p.match) // unknown once compacted; a rejection is a sign of life, too
		c.send(Message{
			Type:    MsgAppend,
			To:      to,
			Index:   p.match,
			LogTerm: term,
			Commit:  min(c.hardState.Commit, p.match),
			Context: context,
		})
		return
	}
	var entries []Entry
	if now.After(p.retransmitAt) {
		limit := c.settings.MaxAppendEntries
		if p.probing {
			limit = 0
		}
		p.next = max(p.match+1, min(p.next, c.log.lastIndex()+1))
		if !p.probing && !p.retransmitAt.IsZero() {
			p.next = p.match + 1 // the append in flight was not answered in time
		}
		entries = withinBytes(c.log.slice(p.next, c.log.lastIndex(), limit), maxAppendBytes)
	}
	prev := p.next - 1
	if prev < c.log.snapshotIndex {
		prev = c.log.snapshotIndex
		entries = nil
	}
	term, _ := c.log.term(prev)
	c.send(Message{
		Type:    MsgAppend,
		To:      to,
		Index:   prev,
		LogTerm: term,
		Commit:  c.hardState.Commit,
		Entries: entries,
		Context: context,
	})
	if len(entries) > 0 {
		p.next = prev + uint64(len(entries)) + 1
		p.retransmitAt = now.Add(appendTimeoutHeartbeats * c.settings.HeartbeatInterval)
	}
}

// advanceCommit commits the entries of the current term that a majority of
// voters has made durable, and with them all earlier entries.
func (c *Core) advanceCommit(now time.Time) {
	index := c.members.MajorityValue(func(id uint64) uint64 {
		if id == c.settings.ID {
			return c.persisted
		}
		if p := c.peers[id]; p != nil {
			return p.match
		}
		return 0
	})
	if term, ok := c.log.term(index); !ok || term != c.hardState.Term || index <= c.hardState.Commit {
		return
	}
	c.setCommit(index)
	c.startDeferredReads(now)
	c.stepDownIfRemoved(now)
}

// stepDownIfRemoved makes a leader that is no voter in the committed membership
// a follower.
func (c *Core) stepDownIfRemoved(now time.Time) {
	if c.membersIndex <= c.hardState.Commit && !c.members.IsVoter(c.settings.ID) {
		c.broadcast(now) // tells the other members of the commit
		c.becomeFollower(now, c.hardState.Term, 0)
	}
}

// Propose appends a command and returns its index. Nothing was appended if it
// returns ErrNotLeader or ErrTooManyUncommitted. Flush sends the entry.
func (c *Core) Propose(now time.Time, data []byte) (uint64, error) {
	return c.propose(now, Entry{
		Kind: EntryCommand,
		Data: data,
	})
}

func (c *Core) propose(now time.Time, e Entry) (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if c.log.lastIndex()-c.hardState.Commit >= uint64(c.settings.MaxUncommitted) {
		return 0, ErrTooManyUncommitted
	}
	e.Index = c.log.lastIndex() + 1
	e.Term = c.hardState.Term
	c.appendEntries(e)
	if e.Kind == EntryMembers {
		c.syncPeers(now)
	}
	return e.Index, nil
}

// Flush sends the entries proposed since the last call. One call for several
// proposals sends them as one batch (group commit).
func (c *Core) Flush(now time.Time) {
	if c.role != Leader {
		return
	}
	for _, m := range c.members.List {
		p := c.peers[m.ID]
		if p == nil || p.next > c.log.lastIndex() || p.probing {
			continue
		}
		if p.next <= c.log.snapshotIndex {
			c.sendSnapshot(now, m.ID, p)
		} else if now.After(p.retransmitAt) {
			c.sendAppend(now, m.ID, p, 0)
		}
	}
}

// ProposeMembers appends a new membership and returns its index. It returns
// ErrChangePending while the previous change, or the first entry of the leader's
// term, is not committed, or a replacement is not complete, since two changes in
// progress could allow disjoint majorities.
func (c *Core) ProposeMembers(now time.Time, members Members) (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if term, _ := c.log.term(c.hardState.Commit); c.membersIndex > c.hardState.Commit || term != c.hardState.Term ||
		(c.members.Leaving != 0 && members.Leaving != 0) {
		return 0, ErrChangePending
	}
	m := members.Clone()
	return c.propose(now, Entry{
		Kind:    EntryMembers,
		Members: &m,
	})
}
