package membership_test

import "time"

// powerCases returns the cases in which the promise holds that a group survives the
// loss of the tolerated number of disks.
func powerCases() []powerCase {
	return []powerCase{
		{
			name: "plain",
		},
		{
			name:    "replacement",
			prepare: (*powerRun).replaceHost,
		},
		{
			name:    "join",
			prepare: (*powerRun).loseOneDisk,
		},
		{
			name:    "promotion",
			prepare: (*powerRun).awaitLearner,
		},
		{
			name:    "snapshot",
			prepare: (*powerRun).installSnapshot,
		},
		{
			name:    "change of leader",
			prepare: (*powerRun).restartLeader,
		},
		{
			name:    "change of seeds",
			prepare: (*powerRun).changeSeeds,
		},
		{
			name:    "lag",
			prepare: (*powerRun).cutOff,
		},
	}
}

// replaceHost takes a host away for good and starts an empty one at another address.
func (p *powerRun) replaceHost() {
	if p.budget() < 1 {
		return
	}
	h := p.anyVoter()
	p.tracef("%s is gone for good", h.name)
	h.stop()
	h.gone = true
	h.lost = true
	p.run(p.draw(0, 4*time.Second))
	p.nextNumber++
	h.successor = p.addHost("r"+h.name, p.nextNumber, true)
	h.successor.firstStart = p.started
	p.changeSeeds()
	h.successor.start()
	p.run(p.draw(0, 5*time.Second))
}

// loseOneDisk empties the disk of a host, which comes back at the same address.
func (p *powerRun) loseOneDisk() {
	if p.budget() < 1 {
		return
	}
	h := p.anyVoter()
	h.stop()
	h.wipe()
	p.run(p.draw(0, 3*time.Second))
	h.start()
	p.run(p.draw(0, 5*time.Second))
}

// awaitLearner empties the disk of a host and waits until its new replica is a learner.
func (p *powerRun) awaitLearner() {
	if p.budget() < 1 {
		return
	}
	h := p.anyVoter()
	h.stop()
	h.wipe()
	p.run(p.draw(0, time.Second))
	h.start()
	p.await(calmTime, func() bool {
		leader := p.leader()
		return leader != nil && len(leader.status.members.List) > leader.status.members.Voters()
	})
	p.run(p.draw(0, 1500*time.Millisecond))
}

// installSnapshot lets a host lag behind so far that it needs a snapshot.
func (p *powerRun) installSnapshot() {
	h := p.anyVoter()
	h.cut = true
	p.tracef("%s is cut off", h.name)
	p.run(p.draw(time.Second, 4*time.Second))
	h.cut = false
	p.tracef("%s is reached again", h.name)
	p.run(p.draw(0, 400*time.Millisecond))
}

// restartLeader stops the leader's host, which comes back soon.
func (p *powerRun) restartLeader() {
	leader := p.leader()
	if leader == nil {
		return
	}
	h := leader.host
	p.tracef("%s is restarted", h.name)
	h.stop()
	p.run(p.draw(0, 800*time.Millisecond))
	h.start()
	p.run(p.draw(0, 800*time.Millisecond))
}

// changeSeeds replaces the seeds of all hosts.
func (p *powerRun) changeSeeds() {
	p.drawSeeds()
	for _, h := range p.hosts {
		if h.up {
			h.gossip.SetSeeds(p.seeds)
		}
	}
}

// cutOff cuts a host off until the power loss.
func (p *powerRun) cutOff() {
	h := p.anyVoter()
	h.cut = true
	p.tracef("%s is cut off", h.name)
	p.run(p.draw(time.Second, 4*time.Second))
}
