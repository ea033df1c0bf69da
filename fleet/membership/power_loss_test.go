package membership_test

import (
	"slices"
	"strconv"
	"time"

	"baobabpaddle/fleet/raft"
)

// Bounds of a schedule.
const (
	formTime    = 40 * time.Second // to form the first group
	recoverTime = 10 * time.Second // to read and change the configuration after all hosts are back
	catchUpTime = 4 * time.Second  // after which a host whose disk was lost is a voter again
	calmTime    = 4 * time.Second  // between two power losses
	checkPause  = 50 * time.Millisecond
)

// powerCase is what happens before a power loss of all hosts.
type powerCase struct {
	name     string
	prepare  func(*powerRun)
	spares   int  // hosts with a disk beyond the voters
	compacts bool // logs are compacted every few changes
	large    bool // the transfer of a snapshot takes 0.1 to 0.9 s
	started  bool // hosts come back as if the fleet started for the first time
	moves    bool // hosts come back at other addresses
}

// powerRun is one schedule of a case.
type powerRun struct {
	*fleet
	powerCase
	leaderSince time.Time // zero while there is no leader
	nextNumber  int
	slowest     time.Duration // from the start of the last host to reads at all of them
	accepted    time.Duration // from the start of the last host to an accepted change, the longest
	evenSince   time.Time     // zero while the number of voters is odd or there is no leader
	even        time.Duration // longest time with an even number of voters
	late        string        // the first host that was no voter in time, or ""
	served      time.Duration // from the end of a fault that a host survives to a read there, the longest
	faulty      int           // faults that hosts survive and that act now
	faultsEnded time.Time     // when the last of them ended
}

// newPowerRun returns a schedule with 3, 5 or 7 hosts with a disk and up to 3 without.
func newPowerRun(seed uint64, c powerCase, scratch string) *powerRun {
	p := &powerRun{
		fleet:     newFleet(seed, scratch),
		powerCase: c,
	}
	if c.compacts {
		p.snapshotEvery = []uint64{6, 25}[p.random.IntN(2)]
	}
	if c.large {
		p.transferTime = p.draw(100*time.Millisecond, 900*time.Millisecond)
	}
	p.tolerated = []int{1, 1, 1, 2, 3}[p.random.IntN(5)]
	disks := 2*p.tolerated + 1 + c.spares
	diskless := p.random.IntN(4)
	disksFirst := p.random.IntN(2) == 0
	for i := range disks + diskless {
		hasDisk := i >= diskless
		name := "d" + strconv.Itoa(i-diskless+1)
		if !hasDisk {
			name = "n" + strconv.Itoa(i+1)
		}
		number := 30 + i
		if hasDisk && disksFirst {
			number -= 20
		}
		p.addHost(name, number, hasDisk)
	}
	p.nextNumber = 60
	p.drawSeeds()
	return p
}

// drawSeeds makes up to three hosts the seeds.
func (p *powerRun) drawSeeds() {
	p.seeds = nil
	for _, i := range p.random.Perm(len(p.hosts)) {
		if !p.hosts[i].gone && len(p.seeds) < 3 {
			p.seeds = append(p.seeds, p.hosts[i].address)
		}
	}
}

// withDisk returns the hosts with a disk that are not gone.
func (p *powerRun) withDisk() []*host {
	return slices.DeleteFunc(slices.Clone(p.hosts), func(h *host) bool { return !h.hasDisk || h.gone })
}

// voters returns the hosts that run a voter.
func (p *powerRun) voters() []*host {
	var out []*host
	for _, h := range p.withDisk() {
		if h.replica == nil || p.leader() == nil {
			continue
		}
		if m, ok := p.leader().status.members.Find(h.replica.id); ok && m.Voter {
			out = append(out, h)
		}
	}
	return out
}

// anyVoter returns a random host that runs a voter.
func (p *powerRun) anyVoter() *host {
	out := p.voters()
	if len(out) == 0 {
		return p.withDisk()[0]
	}
	return out[p.random.IntN(len(out))]
}

// watch checks every checkPause which lost disks are made up for.
func (p *powerRun) watch() {
	leader := p.leader()
	if leader == nil {
		p.leaderSince = time.Time{}
	} else if p.leaderSince.IsZero() {
		p.leaderSince = p.now
	}
	for _, h := range p.hosts {
		if h.lost && leader != nil && !p.disturbed() {
			p.checkCaughtUp(h, leader)
		}
	}
	p.measureEven(leader)
	p.after(checkPause, p.watch)
}

// measureEven measures how long the number of voters is even while there is a leader. An
// even number tolerates no more losses than the odd number below it.
func (p *powerRun) measureEven(leader *replica) {
	if leader == nil || leader.status.members.Voters()%2 == 1 {
		p.evenSince = time.Time{}
		return
	}
	if p.evenSince.IsZero() {
		p.evenSince = p.now
	}
	p.even = max(p.even, p.now.Sub(p.evenSince))
}

// checkCaughtUp checks that the host, or the one in its place, is a voter catchUpTime
// after it was started with a leader and a seed up, or that the group tolerates as many
// losses as if it were. Its disk doesn't count as lost from then on.
func (p *powerRun) checkCaughtUp(h *host, leader *replica) {
	heir := h
	if h.gone {
		heir = h.successor
	}
	if heir == nil || !heir.up || heir.cut || p.now.Sub(heir.startedAt) < catchUpTime ||
		p.now.Sub(p.leaderSince) < catchUpTime || !p.seedUp(heir) {
		return
	}
	h.lost = false
	members := leader.status.committed
	if heir.replica != nil {
		if m, ok := members.Find(heir.replica.id); ok && m.Voter {
			return
		}
	}
	if p.late == "" && p.sound(members)-p.budget() < members.Quorum() {
		p.late = heir.name + " is no voter " + catchUpTime.String() + " after its start, members " + p.describe(members)
		p.tracef("LATE %s", p.late)
	}
}

// seedUp reports whether one of the seeds, other than the host, is up for catchUpTime.
func (p *powerRun) seedUp(h *host) bool {
	return slices.ContainsFunc(p.hosts, func(other *host) bool {
		return other != h && other.up && !other.cut && slices.Contains(p.seeds, other.address) && p.now.Sub(other.startedAt) >= catchUpTime
	})
}

// sound returns the number of voters whose replicas run.
func (p *powerRun) sound(members raft.Members) int {
	n := 0
	for _, h := range p.hosts {
		if h.replica == nil {
			continue
		}
		if m, ok := members.Find(h.replica.id); ok && m.Voter {
			n++
		}
	}
	return n
}

// budget returns how many more disks may be lost.
func (p *powerRun) budget() int {
	n := p.tolerated
	for _, h := range p.hosts {
		if h.lost {
			n--
		}
	}
	return n
}

// clients sends changes to random hosts, and reads at random hosts, which must see all
// changes acknowledged before.
func (p *powerRun) clients() {
	h := p.withDisk()[p.random.IntN(len(p.withDisk()))]
	p.change(h)
	if r := h.replica; r != nil && p.random.IntN(2) == 0 {
		acked := p.acked
		r.read(func(version uint64) {
			if version < acked {
				p.failf("%s reads change %d after %d was acknowledged", h.name, version, acked)
			}
		})
	}
	p.after(p.draw(20*time.Millisecond, 300*time.Millisecond), p.clients)
}

// form starts all hosts and waits until the group has all voters and accepts changes.
func (p *powerRun) form() {
	for _, h := range p.hosts {
		p.after(p.draw(0, 300*time.Millisecond), h.start)
	}
	p.watch()
	p.clients()
	formed := p.await(formTime, func() bool {
		leader := p.leader()
		return leader != nil && leader.status.committed.Voters() >= 2*p.tolerated+1 && p.acked > 0
	})
	if !formed {
		p.failf("no group of %d voters is formed in %v", 2*p.tolerated+1, formTime)
	}
	for _, h := range p.hosts {
		h.firstStart = p.started
	}
	p.even = 0
}

// await runs until done reports true, at most for a span, and returns whether it did.
func (p *powerRun) await(span time.Duration, done func() bool) bool {
	for end := p.now.Add(span); p.now.Before(end); {
		if done() {
			return true
		}
		p.run(10 * time.Millisecond)
	}
	return done()
}

// losePower stops all hosts a while after a change was sent, and destroys some disks.
func (p *powerRun) losePower() {
	p.change(p.anyVoter())
	p.run(p.draw(5*time.Millisecond, 400*time.Millisecond))
	hosts := p.withDisk()
	p.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	order := []string{"leader", "follower", "newest", "oldest"}[p.random.IntN(4)]
	slices.SortStableFunc(hosts, func(a, b *host) int { return rank(order, b.replica) - rank(order, a.replica) })
	p.tracef("POWER LOSS, acknowledged up to %d, %d disks may be lost, %s first", p.acked, p.budget(), order)
	for _, h := range p.hosts {
		h.cut = false
		h.stop()
	}
	lost := 0
	if budget := p.budget(); budget > 0 {
		lost = p.random.IntN(budget + 1)
	}
	for _, h := range hosts {
		if lost > 0 && !h.lost {
			lost--
			h.wipe()
		}
	}
	if p.budget() == p.tolerated && p.random.IntN(4) == 0 {
		hosts[0].gone = true
		hosts[0].lost = true
		p.drawSeeds()
		p.tracef("%s never comes back", hosts[0].name)
	}
}

// rank returns the order in which disks are lost, the highest first.
func rank(order string, r *replica) int {
	switch {
	case r == nil:
		return -1
	case order == "leader" && r.core.Role() == raft.Leader, order == "follower" && r.core.Role() != raft.Leader:
		return 1
	case order == "newest":
		return int(r.core.LastIndex())
	case order == "oldest":
		return 1<<30 - int(r.core.LastIndex())
	}
	return 0
}

// comeBack starts all hosts again in any order and checks that within recoverTime every
// acknowledged change is read at every host with a disk, and changes are accepted.
func (p *powerRun) comeBack() {
	p.run(p.draw(100*time.Millisecond, 2*time.Second))
	spread := []time.Duration{300 * time.Millisecond, 3 * time.Second, 10 * time.Second}[p.random.IntN(3)]
	for _, h := range p.hosts {
		if h.gone {
			continue
		}
		if p.moves && h.hasDisk && p.random.IntN(3) == 0 {
			p.move(h)
		}
		p.after(p.draw(0, spread), func() {
			if !h.up {
				h.start()
			}
		})
	}
	if p.moves {
		p.drawSeeds() // settings name present addresses; nobody could find the hosts otherwise
	}
	p.run(spread)
	back := p.now
	acked, version := p.acked, p.version
	read := make(map[*host]bool)
	accepted := time.Duration(0)
	recovered := p.await(recoverTime, func() bool {
		for _, h := range p.withDisk() {
			if r := h.replica; r != nil && !read[h] {
				r.read(func(seen uint64) { read[h] = read[h] || seen >= acked })
			}
		}
		if p.acked > version && accepted == 0 {
			accepted = p.now.Sub(back)
		}
		return p.acked > version && len(read) == len(p.withDisk())
	})
	if !recovered {
		p.failf("%v after all hosts are back: change accepted=%v, hosts that read: %d of %d", recoverTime, p.acked > version, len(read), len(p.withDisk()))
	}
	p.slowest = max(p.slowest, p.now.Sub(back))
	p.accepted = max(p.accepted, accepted)
}

// move gives a host another address.
func (p *powerRun) move(h *host) {
	p.nextNumber++
	h.address = "10.0.0." + strconv.Itoa(p.nextNumber) + ":7400"
	p.tracef("%s moves to %s", h.name, h.address)
}

// execute runs one or two power losses and returns the first violation, or "".
func (p *powerRun) execute() string {
	p.form()
	for range 1 + p.random.IntN(2) {
		p.run(p.draw(200*time.Millisecond, 2*time.Second))
		if p.violation == "" && p.prepare != nil {
			p.prepare(p)
		}
		if p.violation == "" {
			p.losePower()
			p.comeBack()
			p.run(calmTime + time.Second)
		}
	}
	if p.violation == "" {
		return p.late
	}
	return p.violation
}
