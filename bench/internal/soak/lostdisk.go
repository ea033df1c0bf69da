package soak

import (
	"fmt"
	"math/rand/v2"

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
	members  string
}

// readReplica reads the data folder of a controller that does not run.
func readReplica(folder string) (replicaOnDisk, error) {
	store, restored, err := disk.Open(folder)
	if err != nil {
		return replicaOnDisk{}, err
	}
	defer store.Close()
	r := replicaOnDisk{
		id:       store.Identity.ReplicaID,
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

// loseDisk empties the folder of one controller: that of the leader, of a follower, of the
// newest or of the oldest log, or none. No controller may run. It returns the controller's
// index, or -1 for none.
func (f *faults) loseDisk(random *rand.Rand) int {
	withDisk := f.soak.fleet.withDisk()
	replicas := make([]replicaOnDisk, len(withDisk))
	newest, oldest := 0, 0
	var voted replicaOnDisk
	for i, p := range withDisk {
		r, err := readReplica(p.folder)
		f.soak.logFault("%s has replica %d, last entry %d of term %d, term %d, vote %d, members %s (%v)", p.name, r.id, r.last, r.lastTerm, r.term, r.vote, r.members, err)
		replicas[i] = r
		if replicas[newest].behind(r) {
			newest = i
		}
		if r.behind(replicas[oldest]) {
			oldest = i
		}
		if r.vote != 0 && r.term >= voted.term {
			voted = r
		}
	}
	leader := random.IntN(len(withDisk)) // replaced below if the leader is known
	for i, r := range replicas {
		if r.id != 0 && r.id == voted.vote {
			leader = i
		}
	}
	choices := []struct {
		name   string
		victim int
	}{
		{"the leader's", leader},
		{"a follower's", (leader + 1 + random.IntN(len(withDisk)-1)) % len(withDisk)},
		{"the newest", newest},
		{"the oldest", oldest},
		{"none", -1},
	}
	choice := choices[random.IntN(len(choices))]
	if choice.victim < 0 {
		f.soak.logFault("no disk is lost")
		return -1
	}
	p := withDisk[choice.victim]
	f.soak.logFault("the disk of %s is lost: %s", p.name, choice.name)
	if err := wipeFolder(p.folder, random); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
	}
	return choice.victim
}
