package replica

import (
	"context"

	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// Status returns what the replica tells of itself.
func (r *Replica) Status() Status { return *r.status.Load() }

// LeaderAddress returns the leader's address, or "" when none is known.
func (r *Replica) LeaderAddress() string {
	s := r.status.Load()
	m, _ := s.Members.Find(s.Leader)
	return m.Address
}

// IsLeader reports whether this replica leads.
func (r *Replica) IsLeader() bool { return r.status.Load().Role == raft.Leader.String() }

// Propose has a command committed and applied. After ErrNotLeader it certainly
// has no effect; after any other error it may have.
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

// ChangeMembers proposes a membership made from the present one.
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

// Barrier returns when everything that was acknowledged before the call is
// applied here.
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

// View calls f with the state, which f must not keep or change.
func (r *Replica) View(f func(*state.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Changed returns a channel that is closed at the next change of resources or
// of the leadership.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}
