package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/raft"
)

// replicaOnDisk is what a data folder holds of a replica that does not run.
type replicaOnDisk struct {
	id       uint64 // zero without a replica
	term     uint64 // the term for which vote was given
	vote     uint64
	lastTerm uint64
	last     uint64
	members  string // the newest ones in the log
}

// readReplica reads the data folder of a controller that does not run.
func readReplica(folder string) (replicaOnDisk, error) {
	store, restored, err := disk.Open(folder)
	if err != nil {
		return replicaOnDisk{}, err
	}
	defer store.Close()
	r := replicaOnDisk{
		id:       store.Identity().ReplicaID,
		term:     restored.HardState.Term,
		vote:     restored.HardState.Vote,
		lastTerm: restored.Snapshot.Term,
		last:     restored.Snapshot.Index,
		members:  fmt.Sprintf("%+v", restored.Snapshot.Members),
	}
	for _, e := range restored.Entries {
		r.lastTerm, r.last = e.Term, e.Index
		if e.Kind == raft.EntryMembers {
			r.members = fmt.Sprintf("%+v", e.Members)
		}
	}
	return r, nil
}

// behind reports whether the log of r is older than that of other.
func (r replicaOnDisk) behind(other replicaOnDisk) bool {
	return r.lastTerm < other.lastTerm || (r.lastTerm == other.lastTerm && r.last < other.last)
}

// outage is what one loss of power of all hosts does to controllers with a disk, by index; -1
// stands for none. The folder of victim is emptied, and gone does not come back.
type outage struct {
	victim int
	gone   int
}

// drawOutage draws the outage and empties the folder of its victim: that of the leader, of a
// follower, or of the newest or the oldest log. No controller may run.
func (f *faults) drawOutage(random *rand.Rand) outage {
	none := outage{
		victim: -1,
		gone:   -1,
	}
	withDisk := f.soak.fleet.withDisk()
	replicas := f.readReplicas()
	if !f.mayLoseData() {
		f.soak.logFault("no disk is lost, since an earlier loss is not made good")
		return none
	}
	newest, oldest := random.IntN(len(withDisk)), random.IntN(len(withDisk))
	for i, r := range replicas {
		if replicas[newest].behind(r) {
			newest = i
		}
		if r.behind(replicas[oldest]) {
			oldest = i
		}
	}
	leader := leaderOf(replicas)
	if leader < 0 {
		leader = random.IntN(len(withDisk))
	}
	follower := (leader + 1 + random.IntN(len(withDisk)-1)) % len(withDisk)
	drawn := random.IntN(6)
	if drawn == 5 {
		f.soak.logFault("no disk is lost")
		return none
	}
	victim := []int{leader, leader, follower, newest, oldest}[drawn]
	p := withDisk[victim]
	if random.IntN(6) == 0 {
		f.soak.logFault("%s does not come back", p.name)
		none.gone = victim
		return none
	}
	f.soak.logFault("the disk of %s is lost: %s", p.name, []string{"leader", "leader", "follower", "newest log", "oldest log"}[drawn])
	if err := wipeFolder(p.folder, random); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
	}
	none.victim = victim
	return none
}

// readReplicas returns and logs what the folders of the controllers with a disk hold.
func (f *faults) readReplicas() []replicaOnDisk {
	var out []replicaOnDisk
	for _, p := range f.soak.fleet.withDisk() {
		r, err := readReplica(p.folder)
		f.soak.logFault("%s has replica %d, last entry %d of term %d, term %d, vote %d, members %s (%v)",
			p.name, r.id, r.last, r.lastTerm, r.term, r.vote, r.members, err)
		out = append(out, r)
	}
	return out
}

// leaderOf returns the index of the replica that got the last vote, or -1 if there is none.
func leaderOf(replicas []replicaOnDisk) int {
	var voted replicaOnDisk
	for _, r := range replicas {
		if r.vote != 0 && r.term >= voted.term {
			voted = r
		}
	}
	return slices.IndexFunc(replicas, func(r replicaOnDisk) bool { return r.id != 0 && r.id == voted.vote })
}
