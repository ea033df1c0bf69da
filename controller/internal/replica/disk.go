package replica

import (
	"context"
	"errors"

	"baobabpaddle/fleet/state"
)

// proposeOwnDisk records which disk the leader's own identifier belongs to.
func (r *Replica) proposeOwnDisk() {
	r.diskBindingProposed = true
	id := r.store.Identity
	r.propose(&proposal{
		command: state.Command{
			Disk: &state.DiskBinding{
				ReplicaID: id.ReplicaID,
				DiskID:    id.DiskID,
			},
		},
		done: make(chan outcome, 1),
	})
}

// CheckPeerDisk refuses a peer whose identifier belongs to another disk.
func (r *Replica) CheckPeerDisk(id uint64, diskID string) error {
	known := ""
	r.View(func(s *state.State) { known = s.Disks[id] })
	if known != "" && known != diskID {
		return ErrDiskMismatch
	}
	return nil
}

// BindPeerDisk records a peer's disk when this replica leads and knows none yet.
func (r *Replica) BindPeerDisk(ctx context.Context, id uint64, diskID string) {
	known := ""
	r.View(func(s *state.State) { known = s.Disks[id] })
	if known != "" || !r.IsLeader() {
		return
	}
	_, err := r.Propose(ctx, state.Command{
		Disk: &state.DiskBinding{
			ReplicaID: id,
			DiskID:    diskID,
		},
	})
	if err != nil && !errors.Is(err, ErrNotLeader) {
		r.log.Warn("disk not recorded", "replica", id, "cause", err)
	}
}
