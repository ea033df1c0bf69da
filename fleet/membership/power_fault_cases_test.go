package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Bounds and times of faults that hosts survive.
const (
	// serveTime bounds the time from the end of a fault until the host answers a read from its
	// own replica. It is the time in which the platform expects a recovery.
	serveTime     = 12 * time.Second
	minFault      = 2 * time.Second
	maxFault      = 4 * time.Second
	minFaultGap   = 200 * time.Millisecond
	maxFaultGap   = 5 * time.Second
	maxLastGap    = 500 * time.Millisecond // from the last fault to a loss of power
	serveInterval = 20 * time.Millisecond
)

// faultCase is a kind of fault that a host survives. begin returns what ends the fault, or nil
// if it is over.
type faultCase struct {
	name   string
	spares int
	begin  func(p *powerRun, h *host) (end func())
}

// faultCases returns all kinds of faults that a host survives; the last one draws from the
// others that need no spare host.
func faultCases() []faultCase {
	cases := []faultCase{
		{
			name:  "full disk",
			begin: (*powerRun).fillDisk,
		},
		{
			name:  "failing writes",
			begin: (*powerRun).failWrites,
		},
		{
			name:  "slow disk",
			begin: (*powerRun).slowDisk,
		},
		{
			name:  "stalled disk",
			begin: (*powerRun).stallDisk,
		},
		{
			name:  "clock step",
			begin: (*powerRun).stepClock,
		},
		{
			name:  "lost and regained role",
			begin: (*powerRun).moveLeader,
		},
	}
	simple := slices.Clone(cases)
	return append(cases, faultCase{
		name:   "removal",
		spares: 1,
		begin:  (*powerRun).removeVoter,
	}, faultCase{
		name:   "removal, full disk",
		spares: 1,
		begin:  (*powerRun).removeVoterOnFullDisk,
	}, faultCase{
		name: "mixed",
		begin: func(p *powerRun, h *host) func() {
			return simple[p.random.IntN(len(simple))].begin(p, h)
		},
	})
}

// fillDisk has all writes of a host fail.
func (p *powerRun) fillDisk(h *host) (end func()) {
	p.tracef("the disk of %s is full", h.name)
	h.faults.full = true
	return func() {
		h.faults.full = false
		p.tracef("the disk of %s has room again", h.name)
	}
}

// failWrites has the next few writes of a host fail, one at a time.
func (p *powerRun) failWrites(h *host) (end func()) {
	h.faults.failing = 1 + p.random.IntN(4)
	p.tracef("the next %d writes of %s fail", h.faults.failing, h.name)
	return func() { h.faults.failing = 0 }
}

// slowDisk slows the syncs of a host down.
func (p *powerRun) slowDisk(h *host) (end func()) {
	h.faults.slow = p.draw(50*time.Millisecond, 900*time.Millisecond)
	p.tracef("syncs of %s take up to %v longer", h.name, h.faults.slow)
	return func() { h.faults.slow = 0 }
}

// stallDisk has all syncs of a host wait until a time, and end for that time.
func (p *powerRun) stallDisk(h *host) (end func()) {
	until := p.now.Add(p.draw(minFault, maxFault))
	h.faults.stalledUntil = until
	p.tracef("syncs of %s wait until %v", h.name, until.Sub(powerEpoch))
	return func() { p.run(max(0, until.Sub(p.now))) }
}

// stepClock has the clock of a host step forward, so that timers expire early.
func (p *powerRun) stepClock(h *host) (end func()) {
	step := p.draw(100*time.Millisecond, 10*time.Second)
	p.tracef("the clock of %s steps forward by %v", h.name, step)
	h.faults.clockAhead += step
	if h.replica != nil {
		h.replica.wake()
	}
	return nil
}

// moveLeader has the leader pass on its role, and whoever leads then pass it on again at the
// end.
func (p *powerRun) moveLeader(*host) (end func()) {
	transfer := func() {
		if r := p.leader(); r != nil {
			p.tracef("%s passes on its role", r.host.name)
			r.do(func() { r.core.TransferLeadership() })
		}
	}
	transfer()
	return transfer
}

// removeVoter cuts a host off until another has taken its place, then waits until it has
// erased its folder and joined again.
func (p *powerRun) removeVoter(h *host) (end func()) {
	if removed := p.cutOffUntilRemoved(h); removed != nil {
		p.awaitRejoin(h, removed)
	}
	return nil
}

// removeVoterOnFullDisk is removeVoter with a disk that is full for some seconds from the
// removal on, so that the folder is neither erased nor prepared.
func (p *powerRun) removeVoterOnFullDisk(h *host) (end func()) {
	removed := p.cutOffUntilRemoved(h)
	if removed == nil {
		return nil
	}
	makeRoom := p.fillDisk(h)
	return func() {
		makeRoom()
		p.awaitRejoin(h, removed)
	}
}

// cutOffUntilRemoved cuts a host off until its replica is no member and returns that replica,
// or nil without one.
func (p *powerRun) cutOffUntilRemoved(h *host) *replica {
	removed := h.replica
	if removed == nil {
		return nil
	}
	h.cut = true
	p.tracef("%s is cut off", h.name)
	p.await(2*calmTime, func() bool { return !p.hasMember(removed) })
	h.cut = false
	p.tracef("%s is reached again", h.name)
	return removed
}

// awaitRejoin waits until a host whose replica was removed has another one that is a member.
func (p *powerRun) awaitRejoin(h *host, removed *replica) {
	p.await(2*calmTime, func() bool {
		leader := p.leader()
		return leader != nil && h.replica != nil && h.replica != removed && p.hasMember(h.replica) &&
			leader.status.committed.Voters()%2 == 1
	})
}

// hasMember reports whether a replica is a member as far as is known.
func (p *powerRun) hasMember(r *replica) bool {
	leader := p.leader()
	if leader == nil {
		return true
	}
	_, ok := leader.status.committed.Find(r.id)
	return ok
}

// disturbed reports whether a fault that a host survives acts or has ended less than
// catchUpTime ago; replicas on lost disks may be replaced later then.
func (p *powerRun) disturbed() bool {
	return p.faulty > 0 || (!p.faultsEnded.IsZero() && p.now.Sub(p.faultsEnded) < catchUpTime)
}

// drawFaultOrder returns the voters at which faults come one after the other: each of them,
// always the one that leads by then (nil), or random ones. It waits until no disk is lost.
func (p *powerRun) drawFaultOrder() []*host {
	if !p.await(3*calmTime, func() bool { return p.leader() != nil && p.budget() == p.tolerated }) {
		return nil
	}
	switch p.random.IntN(3) {
	case 0:
		return p.eachVoter()
	case 1:
		return make([]*host, 3)
	}
	return []*host{p.anyVoter(), p.anyVoter(), p.anyVoter()}
}

// eachVoter returns the hosts that run a voter, the leader first.
func (p *powerRun) eachVoter() []*host {
	voters := p.voters()
	slices.SortStableFunc(voters, func(a, b *host) int { return rank("leader", b.replica) - rank("leader", a.replica) })
	return voters
}

// runFaults has faults come one after the other, never two at a time, at the hosts in order. The
// last one ends at most maxLastGap before runFaults returns, or is left to the loss of power
// that follows.
func (p *powerRun) runFaults(c faultCase, order []*host) {
	for i, h := range order {
		if leader := p.leader(); h == nil && leader != nil {
			h = leader.host
		} else if !slices.Contains(p.voters(), h) {
			h = p.anyVoter()
		}
		h.measurement++ // an earlier one ends with the next fault of the same host
		p.faulty++
		end := c.begin(p, h)
		last := i == len(order)-1
		if end != nil {
			p.run(p.draw(minFault, maxFault))
			if !last || p.random.IntN(2) == 0 {
				end()
			}
		}
		p.faulty--
		p.faultsEnded = p.now
		if last {
			p.run(p.draw(0, maxLastGap))
			return
		}
		p.measureServing(h, p.now)
		p.run(p.draw(minFaultGap, maxFaultGap))
	}
}

// measureServing measures how long after the end of a fault the host answers a read from its
// own replica, which must take no longer than serveTime, and returns whether it has. A stop of
// the host or another fault of it ends the measurement.
func (p *powerRun) measureServing(h *host, ended time.Time) (isServed func() bool) {
	served, acked := false, p.acked
	h.measurement++
	measurement := h.measurement
	var poll func()
	poll = func() {
		if served || h.measurement != measurement {
			return
		}
		if p.now.Sub(ended) > serveTime {
			p.failf("%s answers no read %v after the end of a fault", h.name, serveTime)
			return
		}
		if r := h.replica; r != nil {
			r.read(func(version uint64) {
				if !served && h.measurement == measurement && version >= acked {
					served = true
					p.served = max(p.served, p.now.Sub(ended))
				}
			})
		}
		h.after(serveInterval, poll)
	}
	poll()
	return func() bool { return served }
}

// checkServing checks that all hosts with a disk answer reads, and a change is accepted, within
// serveTime, while no process ends.
func (p *powerRun) checkServing() {
	version := p.version
	var served []func() bool
	for _, h := range p.withDisk() {
		served = append(served, p.measureServing(h, p.now))
	}
	if !p.await(serveTime, func() bool { return p.acked > version }) {
		p.failf("no change is accepted in %v after faults that hosts survive", serveTime)
	}
	p.await(serveTime, func() bool {
		return !slices.ContainsFunc(served, func(isServed func() bool) bool { return !isServed() })
	})
}

// powerCase returns a case of schedules with series of faults: some of them must be survived
// by themselves, and each loss of power follows one shortly.
func (c faultCase) powerCase() powerCase {
	return powerCase{
		name:   c.name,
		spares: c.spares,
		prepare: func(p *powerRun) {
			if p.random.IntN(2) == 0 {
				p.surviveFaults(c, p.drawFaultOrder())
			}
			p.runFaults(c, p.drawFaultOrder())
		},
	}
}

// surviveFaults has faults come one after the other and checks that all hosts serve after them.
func (p *powerRun) surviveFaults(c faultCase, order []*host) {
	p.runFaults(c, order)
	for _, h := range p.hosts {
		h.faults = survivable{
			clockAhead: h.faults.clockAhead,
		}
	}
	p.checkServing()
}

// runFaultCases runs the schedules of all kinds of faults that hosts survive.
func runFaultCases(t *testing.T, change func(*powerCase)) {
	t.Helper()
	for _, c := range faultCases() {
		schedules := c.powerCase()
		change(&schedules)
		t.Run(c.name, func(t *testing.T) { runCase(t, schedules) })
	}
}

// TestDiskFaultsSchedules guards against a group that stays without a leader, or a
// voter that hears no other, after faults that end no process: full, failing, slow and stalled
// disks, clock steps, removals and changes of role, one after the other. Each schedule ends with
// a loss of power with lost disks shortly after such a fault.
func TestDiskFaultsSchedules(t *testing.T) { runFaultCases(t, func(*powerCase) {}) }

// TestDiskFaultsWithCompaction runs the schedules with logs that are compacted every few
// changes, so that snapshots and the log's replacement fail, too.
func TestDiskFaultsWithCompaction(t *testing.T) {
	runFaultCases(t, func(c *powerCase) { c.compacts = true })
}

// TestDiskFaultsShowLinksThatOutliveReplicas guards against a model that misses a group without
// a leader after full disks: when the disk of each voter was full in turn, changes must be
// accepted, and must not be if links outlive the replica that they were opened to.
func TestDiskFaultsShowLinksThatOutliveReplicas(t *testing.T) {
	full := faultCases()[0]
	for _, outlive := range []bool{false, true} {
		t.Run(fmt.Sprintf("outlive=%t", outlive), func(t *testing.T) {
			is := is.New(t)
			scratch := t.TempDir()
			for seed := range uint64(scriptSeeds) {
				p := newPowerRun(seed+1, full.powerCase(), scratch)
				p.leavesInbound = outlive
				p.form()
				p.surviveFaults(full, p.eachVoter())
				t.Logf("seed %d: %q", seed+1, p.violation)
				is.Equal(p.violation != "", outlive)
			}
		})
	}
}
