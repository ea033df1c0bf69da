package replica

import (
	"context"

	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// Status returns the replica's status after its last batch.
func (r *Replica) Status() Status { return *r.status.Load() }

// LeaderAddress returns the leader's address, or "" if no leader is known.
func (r *Replica) LeaderAddress() string {
	return r.memberAddress(r.status.Load().Leader)
}

// lost reports whether a member can't be reached: another replica has its address, and it
// states no other one.
func (r *Replica) lost(m raft.Member) bool {
	return m.Superseded && (r.locator == nil || r.locator.ReplicaAddress(m.ID) == "")
}

// memberAddress returns the present address of a member, or "" if there is none.
func (r *Replica) memberAddress(id uint64) string {
	m, ok := r.status.Load().Members.Find(id)
	if ok && r.locator != nil {
		if address := r.locator.ReplicaAddress(id); address != "" {
			return address
		}
	}
	return m.Address
}

// IsLeader reports whether this replica leads.
func (r *Replica) IsLeader() bool { return r.status.Load().Role == raft.Leader.String() }

// Propose has a command committed and applied here, and returns its result. After
// ErrNotLeader the command certainly has no effect; after any other error, such as
// ErrOutcomeUnknown, it may have one.
func (r *Replica) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	p := &proposal{
		command: command,
		done:    make(chan outcome, 1),
	}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return state.Result{}, ErrNotLeader
	case <-r.stopped:
		return state.Result{}, ErrNotLeader
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return state.Result{}, ErrOutcomeUnknown
	case <-r.stopped:
		return state.Result{}, ErrOutcomeUnknown
	}
}

// ChangeMembers proposes the membership that change returns for the present one. It
// returns when the change is in the leader's log, before it is committed. It returns
// ErrNotLeader if the replica stopped, and otherwise the errors of change and of
// raft.Core.ProposeMembers.
func (r *Replica) ChangeMembers(ctx context.Context, change func(raft.Members) (raft.Members, error)) error {
	m := membersProposal{
		change: change,
		done:   make(chan error, 1),
	}
	select {
	case r.members <- m:
		return <-m.done
	case <-ctx.Done():
		return ErrNotLeader
	case <-r.stopped:
		return ErrNotLeader
	}
}

// Barrier returns nil when every command that was acknowledged before the call is
// applied here, so that a following View is a linearizable read. It returns
// ErrNoQuorum if no majority confirms that within two seconds.
func (r *Replica) Barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req := readRequest{
		done: make(chan error, 1),
	}
	select {
	case r.reads <- req:
	case <-ctx.Done():
		return ErrNoQuorum
	case <-r.stopped:
		return ErrNoQuorum
	}
	select {
	case err := <-req.done:
		return err
	case <-ctx.Done():
		return ErrNoQuorum
	case <-r.stopped:
		return ErrNoQuorum
	}
}

// View calls f with the state, which f must not keep or change. The state doesn't
// change during the call.
func (r *Replica) View(f func(*state.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Changed returns a channel that is closed at the next change of resources, of the
// configuration, of the quarantined segments or of the leadership. To miss no change, call it before reading.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}
