package raft

import "time"

// ReadIndex requests a linearizable read. A ReadState with the same context
// follows in an Output, unless the leader is lost meanwhile; the caller needs a
// deadline of its own.
func (c *Core) ReadIndex(now time.Time, context uint64) {
	if c.role == Leader {
		c.addRead(now, pendingRead{
			requester:        c.settings.ID,
			requesterContext: context,
		})
		return
	}
	if c.leader == 0 {
		c.out.Reads = append(c.out.Reads, ReadState{
			Context: context,
			Failed:  true,
		})
		return
	}
	c.send(Message{
		Type:    MsgRead,
		To:      c.leader,
		Context: context,
	})
}

// addRead queues a read on the leader. Before the first entry of its term is
// committed, a leader does not know the latest commit index, so the read is
// deferred until then.
func (c *Core) addRead(now time.Time, r pendingRead) {
	if c.role != Leader {
		c.completeRead(r, true)
		return
	}
	if term, _ := c.log.term(c.hardState.Commit); term != c.hardState.Term {
		c.deferredReads = append(c.deferredReads, r)
		return
	}
	r.index = c.hardState.Commit
	c.readSequence++
	r.sequence = c.readSequence
	c.pendingReads = append(c.pendingReads, r)
	c.broadcast(now)
	c.confirmReads()
}

// startDeferredReads queues the reads that waited for the first commit of the
// leader's term.
func (c *Core) startDeferredReads(now time.Time) {
	waiting := c.deferredReads
	c.deferredReads = nil
	for _, r := range waiting {
		c.addRead(now, r)
	}
}

// confirmReads completes the reads that are confirmed: a majority of voters has
// acknowledged a heartbeat sent after the read was queued.
func (c *Core) confirmReads() {
	for len(c.pendingReads) > 0 {
		sequence := c.pendingReads[0].sequence
		if !c.members.Majority(func(id uint64) bool {
			p := c.peers[id]
			return id == c.settings.ID || (p != nil && p.readAck >= sequence)
		}) {
			return
		}
		c.completeRead(c.pendingReads[0], false)
		c.pendingReads = c.pendingReads[1:]
	}
}
