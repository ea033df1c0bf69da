package replica

import (
	"context"
	"errors"

	"baobabpaddle/fleet/state"
)

// proposeOwnDisk proposes the binding of this replica's identifier to its disk. The
// result isn't awaited, since apply checks each binding.
func (r *Replica) proposeOwnDisk() {
	r.diskBindingProposed = true
	id := r.store.Identity()
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

// CheckPeerDisk returns ErrDiskMismatch if the peer's identifier is bound to another
// disk.
func (r *Replica) CheckPeerDisk(id uint64, diskID string) error {
	bound := ""
	r.View(func(s *state.State) { bound = s.Disks[id] })
	if bound != "" && bound != diskID {
		return ErrDiskMismatch
	}
	return nil
}

// BindPeerDisk has a peer's identifier bound to its disk if this replica leads and
// the identifier is not bound yet.
func (r *Replica) BindPeerDisk(ctx context.Context, id uint64, diskID string) {
	bound := ""
	r.View(func(s *state.State) { bound = s.Disks[id] })
	if bound != "" || !r.IsLeader() {
		return
	}
	_, err := r.Propose(ctx, state.Command{
		Disk: &state.DiskBinding{
			ReplicaID: id,
			DiskID:    diskID,
		},
	})
	if err != nil && !errors.Is(err, ErrNotLeader) {
		r.log.Warn("disk of a peer not recorded, retried at the next check", "cause", err, "replica", id)
	}
}
