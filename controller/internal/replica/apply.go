package replica

import (
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// processOutput carries out what the core asks for until it asks for nothing more,
// then publishes the role and the status.
func (r *Replica) processOutput() error {
	for {
		r.core.Flush(time.Now())
		out := r.core.TakeOutput()
		if out.Empty() {
			break
		}
		if err := r.handleOutput(out); err != nil {
			return err
		}
		r.core.Heartbeat(time.Now()) // another write may follow
	}
	r.handleRoleChange()
	r.publishStatus()
	return nil
}

// handleOutput carries out one output of the core. Appends to other replicas are
// sent before the sync, so that the disks of all replicas sync at the same time, and so are
// answers to heartbeats, since a leader steps down if a majority is silent. All other messages
// are sent after it, since they promise what must be durable. Committed entries are applied
// before it, as they are durable at a majority.
func (r *Replica) handleOutput(out raft.Output) error {
	var afterSync []raft.Message
	for _, m := range out.Messages {
		if r.core.BeforeSync(out, r.durableHardState, m) {
			r.network.send(m)
		} else {
			afterSync = append(afterSync, m)
		}
	}
	if out.HardState != nil {
		r.hardState = *out.HardState
	}
	if out.Snapshot != nil {
		if err := r.installSnapshot(*out.Snapshot); err != nil {
			return err
		}
	}
	if err := r.deliver(out); err != nil {
		return err
	}
	if err := r.persist(out.Entries); err != nil {
		return err
	}
	for _, m := range afterSync {
		if m.Type == raft.MsgSnapshot {
			if err := r.attachSnapshot(&m); err != nil {
				return err
			}
		}
		r.network.send(m)
	}
	return nil
}

// deliver applies the committed entries of an output and ends the reads that need no more.
func (r *Replica) deliver(out raft.Output) error {
	for _, e := range out.Committed {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	for _, readState := range out.Reads {
		r.recordReadState(readState)
	}
	r.completeReads()
	return nil
}

// persist makes the hard state and new entries durable. It doesn't sync for changes of
// the hard state that need none. If a compaction is due, it takes the place of the write, so
// that messages and clients don't wait for two writes in a row.
func (r *Replica) persist(entries []raft.Entry) error {
	if len(entries) == 0 && !r.hardState.MustSync(r.durableHardState) {
		return nil
	}
	if r.compactionDue() {
		if err := r.compact(); err != nil {
			return err
		}
	} else if err := r.store.Append(&r.hardState, entries); err != nil {
		return err
	}
	r.durableHardState = r.hardState
	if len(entries) > 0 {
		r.core.Persisted(time.Now(), entries[len(entries)-1].Index)
	}
	return nil
}

// attachSnapshot adds the stored snapshot to a message for a replica that needs
// entries that the log no longer holds.
func (r *Replica) attachSnapshot(m *raft.Message) error {
	stored, err := r.store.LoadSnapshot()
	if err != nil {
		return err
	}
	m.Snapshot = &stored
	return nil
}

// installSnapshot replaces the log and the state machine by the leader's snapshot.
func (r *Replica) installSnapshot(s raft.Snapshot) error {
	machine, err := state.Restore(s.Data)
	if err != nil {
		return merry.Prepend(err, "restore the state machine from the leader's snapshot")
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

// failCoveredProposals ends the proposals up to a snapshot's index. The snapshot
// doesn't tell whether their entries were committed.
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

// apply applies a committed entry to the state machine and ends the proposal that
// waits for it. It returns ErrDiskMismatch if the state binds this replica's
// identifier to another disk.
func (r *Replica) apply(e raft.Entry) error {
	var result state.Result
	r.mu.Lock()
	revision := r.state.Revision
	version := r.state.Configuration.Version
	quarantineRevision := r.state.QuarantineRevision
	evacuationRevision := r.state.EvacuationRevision
	if e.Kind == raft.EntryCommand {
		var command state.Command
		if err := state.Decode(e.Data, &command); err != nil {
			r.mu.Unlock()
			return merry.Prependf(err, "decode the command of log entry %d", e.Index)
		}
		result = r.state.Apply(e.Index, command)
	}
	r.applied = e.Index
	if r.state.Revision != revision || r.state.Configuration.Version != version ||
		r.state.QuarantineRevision != quarantineRevision || r.state.EvacuationRevision != evacuationRevision {
		r.notifyChanged()
	}
	id := r.store.Identity()
	mismatch := r.state.Disks[id.ReplicaID] != "" && r.state.Disks[id.ReplicaID] != id.DiskID
	r.mu.Unlock()
	if mismatch {
		return ErrDiskMismatch
	}
	if p := r.pending[e.Index]; p != nil {
		delete(r.pending, e.Index)
		o := outcome{
			result: result,
		}
		if p.term != e.Term {
			o = outcome{
				err: ErrNotLeader, // another leader's entry has this index
			}
		}
		p.done <- o
	}
	return nil
}

// notifyChanged closes the channel that Changed has returned; mu is held.
func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// recordReadState takes the core's answer to a read: the commit index that a
// majority confirmed, or a failure.
func (r *Replica) recordReadState(readState raft.ReadState) {
	req, ok := r.unconfirmedReads[readState.Context]
	if !ok {
		return
	}
	delete(r.unconfirmedReads, readState.Context)
	if readState.Failed {
		err := ErrNoQuorum
		if r.core.Leader() == 0 {
			err = merry.Append(ErrNoQuorum, "no leader is known")
		}
		req.done <- err
		return
	}
	r.confirmedReads = append(r.confirmedReads, confirmedRead{
		index: readState.Index,
		done:  req.done,
	})
}

// completeReads ends the confirmed reads whose index is applied.
func (r *Replica) completeReads() {
	kept := r.confirmedReads[:0]
	for _, read := range r.confirmedReads {
		if read.index > r.applied {
			kept = append(kept, read)
			continue
		}
		read.done <- nil
	}
	r.confirmedReads = kept
}

// compactionDue reports whether the log is to be compacted with the next write.
func (r *Replica) compactionDue() bool {
	return r.applied-r.snapshotIndex >= r.settings.SnapshotEvery || r.logTooLarge()
}

// logTooLarge reports whether the log is over its bound and a snapshot would shrink
// it.
func (r *Replica) logTooLarge() bool {
	return r.settings.MaxLogBytes > 0 && r.store.LogBytes() > r.settings.MaxLogBytes && r.applied > r.snapshotIndex
}

// compact writes a snapshot of the applied state, the hard state and the log entries after
// it, and drops those before.
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
	r.snapshotIndex = snapshot.Index
	return nil
}
