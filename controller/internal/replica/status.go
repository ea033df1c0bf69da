package replica

import (
	"time"

	"baobabpaddle/fleet/raft"
)

// Status describes a replica at the end of its last batch.
type Status struct {
	ReplicaID uint64 `json:"replica_id"`
	Role      string `json:"role"`
	Term      uint64 `json:"term"`
	// Leader is the leader's replica identifier; zero means none is known.
	Leader uint64 `json:"leader"`
	// Vote is the candidate that the replica has voted for in the term; zero means
	// none. Votes are the voters that have granted theirs to this replica.
	Vote  uint64   `json:"vote"`
	Votes []uint64 `json:"votes"`
	// Commit and Applied are the indexes of the last committed and the last applied
	// entry.
	Commit   uint64 `json:"commit"`
	Applied  uint64 `json:"applied"`
	LogBytes int64  `json:"log_bytes"`
	// LastIndex is the index of the last log entry, committed or not.
	LastIndex uint64 `json:"last_index"`
	// Revision is the revision of the resources.
	Revision uint64 `json:"revision"`
	// Members is the newest membership in the log, committed or not.
	Members raft.Members `json:"members"`
	// MembersIndex is the log index of the entry, or of the snapshot, that holds Members.
	MembersIndex uint64 `json:"members_index"`
	// CommittedMembers is the newest committed membership.
	CommittedMembers raft.Members `json:"-"`
	// CommittedMembersIndex is the log index of the entry, or of the snapshot, that
	// holds CommittedMembers.
	CommittedMembersIndex uint64 `json:"-"`
	// LeaderlessSince is since when this process has known no leader; zero while one is known.
	LeaderlessSince time.Time `json:"-"`
}

// publishStatus makes the present status visible to other goroutines.
func (r *Replica) publishStatus() {
	r.mu.RLock()
	revision := r.state.Revision
	r.mu.RUnlock()
	committed, index := r.core.CommittedMembers()
	status := &Status{
		ReplicaID: r.store.Identity().ReplicaID,
		Role:      r.core.Role().String(),
		Term:      r.core.Term(),
		Leader:    r.core.Leader(),
		Vote:      r.core.Vote(),
		Votes:     r.core.Votes(),
		Commit:    r.core.Commit(),
		Applied:   r.applied,
		LogBytes:  r.store.LogBytes(),
		LastIndex: r.core.LastIndex(),
		Revision:  revision,
		Members:   r.core.Members(),

		MembersIndex:          r.core.MembersIndex(),
		CommittedMembers:      committed,
		CommittedMembersIndex: index,
	}
	before := r.status.Load() // only the control goroutine stores it
	status.LeaderlessSince = r.leaderlessSince(before, status)
	r.status.Store(status)
	if before != nil {
		r.logMembers(before, status)
	}
}
