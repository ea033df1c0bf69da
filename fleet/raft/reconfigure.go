package raft

import "time"

// maxLearnerLag is the largest number of entries that a learner may lack when it
// is promoted to voter.
const maxLearnerLag = 64

// reconfigure proposes the next membership change that the settings ask for, if
// any. Two successive memberships differ in one voter, or are joined by a replacement,
// so that any two of their majorities have a replica in common.
func (c *Core) reconfigure(now time.Time) {
	var next Members
	var err error
	if c.settings.MaxVoters == 0 && c.members.Leaving == 0 {
		next, err = c.nextPromotion()
	} else {
		next, err = c.nextMembers(now)
	}
	if err != nil || len(next.List) == 0 {
		return
	}
	if _, err := c.ProposeMembers(now, next); err == nil {
		c.Flush(now)
	}
}

// nextPromotion returns the membership in which the first learner that has
// caught up is a voter. The result is empty if there is no such learner.
func (c *Core) nextPromotion() (Members, error) {
	for _, m := range c.members.List {
		if !m.Voter && c.caughtUp(m.ID) {
			return c.members.WithVoter(m.ID)
		}
	}
	return Members{}, nil
}

// caughtUp reports whether the member lacks at most maxLearnerLag entries.
func (c *Core) caughtUp(id uint64) bool {
	p := c.peers[id]
	return p != nil && p.match > 0 && p.match+maxLearnerLag >= c.log.lastIndex()
}

// alive reports whether the member was in contact within ReplaceAfter.
func (c *Core) alive(now time.Time, id uint64) bool {
	if id == c.settings.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && now.Sub(p.lastContact) < c.settings.ReplaceAfter
}

// nextMembers returns the next membership, or an empty one when nothing is to be
// changed. It keeps the number of voters odd, as an even number tolerates no more
// failures than the odd number below it: a learner that is alive and has caught up makes
// an even number odd, and two such learners enlarge the group up to MaxVoters. A learner
// replaces a voter that is silent or superseded, in two steps: joint consensus, then the
// removal. Neither the loss of the learner nor that of a voter meanwhile costs the
// majority that the group would have without the change.
func (c *Core) nextMembers(now time.Time) (Members, error) {
	if c.members.Leaving != 0 {
		return c.members.Complete()
	}
	var ready, lost []uint64
	voters := 0
	for _, m := range c.members.List {
		alive := c.alive(now, m.ID) && !m.Superseded
		if m.Voter {
			voters++
			if !alive {
				lost = append(lost, m.ID)
			}
		} else if alive && c.caughtUp(m.ID) {
			ready = append(ready, m.ID)
		}
	}
	switch {
	case len(ready) == 0:
		return Members{}, nil
	case voters%2 == 0:
		return c.members.WithVoter(ready[0])
	case len(lost) > 0:
		return c.members.Replace(lost[0], ready[0])
	case len(ready) >= 2 && voters+2 <= c.settings.MaxVoters:
		return c.members.WithVoter(ready[0])
	}
	return Members{}, nil
}
