package raft

import "time"

// ReadIndex asks for a linearizable read. A ReadState with the same context follows;
// it never does when the leader is lost meanwhile, so the caller needs a deadline.
func (c *Core) ReadIndex(now time.Time, context uint64) {
	if c.role == Leader {
		c.addRead(now, pendingRead{
			from:  c.settings.ID,
			asked: context,
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

func (c *Core) addRead(now time.Time, r pendingRead) {
	if c.role != Leader {
		c.answerRead(r, true)
		return
	}
	if term, _ := c.log.term(c.hard.Commit); term != c.hard.Term {
		c.waitingReads = append(c.waitingReads, r)
		return
	}
	r.index = c.hard.Commit
	c.readSequence++
	r.context = c.readSequence
	c.reads = append(c.reads, r)
	c.broadcast(now)
	c.confirmReads()
}

func (c *Core) startWaitingReads(now time.Time) {
	waiting := c.waitingReads
	c.waitingReads = nil
	for _, r := range waiting {
		c.addRead(now, r)
	}
}

// confirmReads answers the reads whose heartbeat a majority has acknowledged.
func (c *Core) confirmReads() {
	for len(c.reads) > 0 {
		acks := 0
		for _, m := range c.members.List {
			if !m.Voter {
				continue
			}
			if p := c.peers[m.ID]; m.ID == c.settings.ID || (p != nil && p.readAck >= c.reads[0].context) {
				acks++
			}
		}
		if acks < c.members.Quorum() {
			return
		}
		c.answerRead(c.reads[0], false)
		c.reads = c.reads[1:]
	}
}
