package raft

import "time"

// snapshotTimeoutHeartbeats is the time, in heartbeat intervals, after which a snapshot
// is sent again to a peer that does not answer.
const snapshotTimeoutHeartbeats = 50

// maxStaleReplies is the number of replies after which a snapshot counts as lost: a
// peer handles messages in the order in which they were sent, so it answers the
// heartbeats after a snapshot only once it has installed it. Replies that come within
// staleReplyHeartbeats intervals of the snapshot may answer earlier messages.
const (
	maxStaleReplies      = 3
	staleReplyHeartbeats = 3
)

// sendSnapshot sends a peer the snapshot, unless one is in flight.
func (c *Core) sendSnapshot(now time.Time, to uint64, p *peerProgress) {
	if now.Before(p.snapshotRetryAt) {
		return
	}
	p.snapshotRetryAt = now.Add(snapshotTimeoutHeartbeats * c.settings.HeartbeatInterval)
	p.staleReplies = 0
	p.staleRepliesFrom = now.Add(staleReplyHeartbeats * c.settings.HeartbeatInterval)
	c.send(Message{
		Type: MsgSnapshot,
		To:   to,
		Snapshot: &Snapshot{
			Index:   c.log.snapshotIndex,
			Term:    c.log.snapshotTerm,
			Members: c.snapshotMembers.Clone(),
		},
	})
}

// countStaleReply counts a reply that shows that the peer has not installed the
// snapshot in flight, and makes that snapshot due again after maxStaleReplies.
func (c *Core) countStaleReply(now time.Time, p *peerProgress, m Message) {
	if p.snapshotRetryAt.IsZero() || now.Before(p.staleRepliesFrom) || max(m.Index, m.Hint) >= c.log.snapshotIndex {
		return
	}
	if p.staleReplies++; p.staleReplies >= maxStaleReplies {
		p.snapshotRetryAt = time.Time{}
	}
}

// stepSnapshot handles MsgSnapshot. It replaces the whole log, unless the
// snapshot is not newer than what is committed here, or the log holds its last entry: the
// entries after that one may have been acknowledged since the snapshot was sent.
func (c *Core) stepSnapshot(now time.Time, m Message) {
	c.followLeader(now, m)
	s := m.Snapshot
	if s == nil || s.Index <= c.hardState.Commit {
		c.send(Message{
			Type:  MsgAppendReply,
			To:    m.From,
			Index: c.hardState.Commit,
		})
		return
	}
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		c.setCommit(s.Index)
		c.send(Message{
			Type:  MsgAppendReply,
			To:    m.From,
			Index: s.Index,
		})
		return
	}
	c.log = memoryLog{
		snapshotIndex: s.Index,
		snapshotTerm:  s.Term,
	}
	c.out.Entries = nil
	c.out.Committed = nil
	c.out.Snapshot = s
	c.applied = s.Index
	c.persisted = s.Index
	c.snapshotMembers = s.Members.Clone()
	c.reloadMembers()
	c.setCommit(s.Index)
	c.send(Message{
		Type:  MsgAppendReply,
		To:    m.From,
		Index: s.Index,
	})
}
