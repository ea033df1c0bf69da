package replica

import (
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// processOutput does what the core asks for: appends to others leave at once, all
// other messages after the sync.
func (r *Replica) processOutput() error {
	for {
		r.core.Flush(time.Now())
		out := r.core.TakeOutput()
		if out.Empty() {
			break
		}
		if err := r.processBatch(out); err != nil {
			return err
		}
	}
	if r.applied-r.snapshotIndex >= r.settings.SnapshotEvery || r.logTooLarge() {
		if err := r.compact(); err != nil {
			return err
		}
	}
	r.followRole()
	r.publishStatus()
	return nil
}

func (r *Replica) processBatch(out raft.Output) error {
	for _, m := range out.Messages {
		if m.Type == raft.MsgAppend {
			r.network.send(m)
		}
	}
	if err := r.persist(out); err != nil {
		return err
	}
	for _, m := range out.Messages {
		if m.Type == raft.MsgAppend {
			continue
		}
		if m.Type == raft.MsgSnapshot {
			if err := r.attachSnapshot(&m); err != nil {
				return err
			}
		}
		r.network.send(m)
	}
	for _, e := range out.Committed {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	for _, rs := range out.Reads {
		r.recordReadState(rs)
	}
	r.completeReads()
	return nil
}

func (r *Replica) persist(out raft.Output) error {
	if out.HardState != nil {
		r.hardState = *out.HardState
	}
	if out.Snapshot != nil {
		if err := r.installSnapshot(*out.Snapshot); err != nil {
			return err
		}
	}
	if len(out.Entries) == 0 && !r.hardState.MustSync(r.durableHardState) {
		return nil
	}
	if err := r.store.Append(&r.hardState, out.Entries); err != nil {
		return err
	}
	r.durableHardState = r.hardState
	if len(out.Entries) > 0 {
		r.core.Persisted(time.Now(), out.Entries[len(out.Entries)-1].Index)
	}
	return nil
}

func (r *Replica) attachSnapshot(m *raft.Message) error {
	stored, err := r.store.LoadSnapshot()
	if err != nil {
		return err
	}
	m.Snapshot = &stored
	return nil
}

// installSnapshot replaces everything by a snapshot from the leader.
func (r *Replica) installSnapshot(s raft.Snapshot) error {
	machine, err := state.Restore(s.Data)
	if err != nil {
		return merry.Prepend(err, "restore the leader's snapshot")
	}
	if err := r.store.SaveSnapshot(s, r.hardState, nil); err != nil {
		return err
	}
	r.durableHardState = r.hardState
	r.snapshotIndex = s.Index
	r.mu.Lock()
	r.state = machine
	r.applied = s.Index
	r.notifyChanged()
	r.mu.Unlock()
	r.failCoveredProposals(s.Index)
	return nil
}

// failCoveredProposals answers proposals whose entries a snapshot has covered.
func (r *Replica) failCoveredProposals(index uint64) {
	for i, p := range r.pending {
		if i <= index {
			delete(r.pending, i)
			p.done <- outcome{
				err: ErrOutcomeUnknown,
			}
		}
	}
}

func (r *Replica) apply(e raft.Entry) error {
	var result state.Result
	r.mu.Lock()
	before := r.state.Revision
	version := r.state.Configuration.Version
	if e.Kind == raft.EntryCommand {
		var command state.Command
		if err := state.Decode(e.Data, &command); err != nil {
			r.mu.Unlock()
			return merry.Prependf(err, "entry %d", e.Index)
		}
		result = r.state.Apply(e.Index, command)
	}
	r.applied = e.Index
	if r.state.Revision != before || r.state.Configuration.Version != version {
		r.notifyChanged()
	}
	id := r.store.Identity
	other := r.state.Disks[id.ReplicaID] != "" && r.state.Disks[id.ReplicaID] != id.DiskID
	r.mu.Unlock()
	if other {
		return ErrDiskMismatch
	}
	if p := r.pending[e.Index]; p != nil {
		delete(r.pending, e.Index)
		o := outcome{
			result: result,
		}
		if p.term != e.Term {
			o = outcome{
				err: ErrNotLeader, // another leader's entry took the place
			}
		}
		p.done <- o
	}
	return nil
}

// notifyChanged tells those who wait for a change of resources; mu is held.
func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) recordReadState(rs raft.ReadState) {
	req, ok := r.unconfirmedReads[rs.Context]
	if !ok {
		return
	}
	delete(r.unconfirmedReads, rs.Context)
	if rs.Failed {
		req.done <- ErrNoQuorum
		return
	}
	r.confirmedReads = append(r.confirmedReads, confirmedRead{
		index: rs.Index,
		done:  req.done,
	})
}

func (r *Replica) completeReads() {
	kept := r.confirmedReads[:0]
	for _, c := range r.confirmedReads {
		if c.index > r.applied {
			kept = append(kept, c)
			continue
		}
		c.done <- nil
	}
	r.confirmedReads = kept
}

// logTooLarge reports whether a snapshot would make the log smaller than it may be.
func (r *Replica) logTooLarge() bool {
	return r.settings.MaxLogBytes > 0 && r.store.LogBytes() > r.settings.MaxLogBytes && r.applied > r.snapshotIndex
}

// compact writes a snapshot of what is applied and drops the log before it.
func (r *Replica) compact() error {
	r.mu.RLock()
	data, err := r.state.Snapshot()
	applied := r.applied
	r.mu.RUnlock()
	if err != nil {
		return err
	}
	snapshot := r.core.Compact(applied)
	snapshot.Data = data
	if err := r.store.SaveSnapshot(snapshot, r.hardState, r.core.Entries()); err != nil {
		return err
	}
	r.durableHardState = r.hardState
	r.snapshotIndex = snapshot.Index
	return nil
}
