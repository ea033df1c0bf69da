package membership_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scriptSeeds is the number of seeds of each script, which differ in latencies.
const scriptSeeds = 10

// runScript runs a script on groups of three voters and some spare hosts with a disk,
// which have formed. It reports the trace of each that ends with a violation.
func runScript(t *testing.T, spares int, script func(*powerRun)) {
	t.Helper()
	scratch := t.TempDir()
	for seed := range uint64(scriptSeeds) {
		p := &powerRun{
			fleet:      newFleet(seed+1, scratch),
			nextNumber: 60,
		}
		for i := range 2*p.tolerated + 1 + spares {
			h := p.addHost("d"+strconv.Itoa(i+1), 10+i, true)
			p.seeds = append(p.seeds, h.address)
		}
		p.form()
		script(p)
		if p.violation != "" {
			t.Errorf("seed %d: %s\n%s", seed+1, p.violation, strings.Join(p.trace, "\n"))
		}
	}
}

// restartAll stops all hosts at one moment, empties the disk of one if it is not nil,
// and starts all again.
func (p *powerRun) restartAll(lost *host) {
	p.tracef("POWER LOSS, acknowledged up to %d", p.acked)
	for _, h := range p.hosts {
		h.cut = false
		h.stop()
	}
	if lost != nil {
		lost.wipe()
	}
	p.run(time.Second)
	for _, h := range p.hosts {
		h.start()
	}
}

// checkRecovery checks that the configuration can be changed within recoverTime.
func (p *powerRun) checkRecovery() {
	version := p.version
	if !p.await(recoverTime, func() bool { return p.acked > version }) {
		p.failf("no change is accepted in %v", recoverTime)
	}
}

// TestLeaderWithLostDiskJoinsAgain guards against a group that stays one voter short
// for good, because gossip keeps the address of a leader that has lost its disk: after a
// restart its view had the highest index, that of its snapshot.
func TestLeaderWithLostDiskJoinsAgain(t *testing.T) {
	runScript(t, 0, func(p *powerRun) {
		is := is.New(t)
		leader := p.leader()
		p.snapshotEvery = leader.applied - leader.stored.Index + 1
		p.await(time.Second, func() bool { return leader.stored.Index > 1 })
		is.True(leader.stored.Index > 1) // the others have compacted at other indexes or not at all
		p.snapshotEvery = 4096
		p.run(time.Second)
		h := leader.host
		p.restartAll(nil)
		p.await(recoverTime, func() bool { return p.leader() != nil && p.leader().host == h })
		p.run(time.Second)
		p.tracef("%s is stopped", h.name)
		h.stop()
		h.wipe()
		p.run(time.Second)
		h.start()
		p.run(calmTime + 2*time.Second)
		if p.late != "" {
			p.failf("%s", p.late)
		}
	})
}

// TestSpareHostKeepsTolerance guards against a group without a majority for good after
// the loss of one disk while a host with a spare disk takes the place of one that is cut
// off: the silent voter is removed before its successor can vote.
func TestSpareHostKeepsTolerance(t *testing.T) {
	runScript(t, 1, func(p *powerRun) {
		leader := p.leader()
		for _, h := range p.hosts {
			if m, ok := leader.status.members.Find(h.replica.id); ok && m.Voter && h != leader.host {
				h.cut = true
				p.tracef("%s is cut off", h.name)
				break
			}
		}
		p.await(calmTime, func() bool { return leader.status.committed.Voters()%2 == 0 })
		p.restartAll(leader.host)
		p.checkRecovery()
	})
}

// TestHostWithLostDiskFoundsNoGroup guards against a second group that a host founds
// whose disk is empty and whose settings are those of the first start, while the other
// hosts start later.
func TestHostWithLostDiskFoundsNoGroup(t *testing.T) {
	runScript(t, 0, func(p *powerRun) {
		for _, h := range p.hosts {
			h.stop()
			h.firstStart = true
		}
		first := p.hosts[0] // has the lowest address
		first.wipe()
		first.start()
		p.run(2 * time.Second)
		for _, h := range p.hosts[1:] {
			h.start()
		}
		p.checkRecovery()
		p.run(calmTime)
	})
}

// TestHostsMoveWithTheirDisks guards against a group without a leader after two of three
// hosts came back at other addresses with their disks and one lost its disk.
func TestHostsMoveWithTheirDisks(t *testing.T) {
	runScript(t, 0, func(p *powerRun) {
		for _, h := range p.hosts {
			h.stop()
		}
		p.hosts[0].wipe()
		p.move(p.hosts[1])
		p.move(p.hosts[2])
		p.seeds = nil
		for _, h := range p.hosts {
			p.seeds = append(p.seeds, h.address)
		}
		for _, h := range p.hosts {
			h.start()
		}
		p.checkRecovery()
	})
}
