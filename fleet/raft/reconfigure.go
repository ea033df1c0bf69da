package raft

import "time"

// maxLearnerLag is by how many entries a learner may lag when it is promoted.
const maxLearnerLag = 64

// reconfigure takes one step towards the membership that the settings ask
// for. Changes are made one replica at a time, so that any two majorities of
// successive memberships have a replica in common.
func (c *Core) reconfigure(now time.Time) {
	var next Members
	var err error
	if c.settings.MaxVoters == 0 {
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

// nextPromotion returns the membership with the first learner that has caught up as
// a voter; without one the result is empty.
func (c *Core) nextPromotion() (Members, error) {
	for _, m := range c.members.List {
		if !m.Voter && c.caughtUp(m.ID) {
			return c.members.WithVoter(m.ID)
		}
	}
	return Members{}, nil
}

func (c *Core) caughtUp(id uint64) bool {
	p := c.peers[id]
	return p != nil && p.match > 0 && p.match+maxLearnerLag >= c.log.lastIndex()
}

// alive reports whether a member was heard within ReplaceAfter.
func (c *Core) alive(now time.Time, id uint64) bool {
	if id == c.settings.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && now.Sub(p.lastContact) < c.settings.ReplaceAfter
}

// nextMembers returns the next membership. The number of voters is kept odd: a
// learner that has caught up fills an even number, takes the place of a silent
// voter, or two of them enlarge the group. The result is empty when nothing is
// to be changed.
func (c *Core) nextMembers(now time.Time) (Members, error) {
	var ready, silent []uint64
	voters := 0
	for _, m := range c.members.List {
		alive := c.alive(now, m.ID)
		if m.Voter {
			voters++
			if !alive {
				silent = append(silent, m.ID)
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
	case len(silent) > 0:
		return c.members.Without(silent[0])
	case len(ready) >= 2 && voters+2 <= c.settings.MaxVoters:
		return c.members.WithVoter(ready[0])
	}
	return Members{}, nil
}
