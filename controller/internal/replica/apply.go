package replica

import (
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// settle does what the core asks for: appends to others leave at once, all
// other messages after the sync.
func (r *Replica) settle() error {
	for {
		r.core.Flush(time.Now())
		out := r.core.TakeOutput()
		if out.Empty() {
			break
		}
		if err := r.carryOut(out); err != nil {
			return err
		}
	}
	if r.applied-r.snapAt >= r.settings.SnapshotEvery || r.logTooLarge() {
		if err := r.compact(); err != nil {
			return err
		}
	}
	r.afterLeadership()
	r.publish()
	return nil
}

func (r *Replica) carryOut(out raft.Output) error {
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
			if err := r.fillSnapshot(&m); err != nil {
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
		r.finishRead(rs)
	}
	r.releaseReads()
	return nil
}

func (r *Replica) persist(out raft.Output) error {
	if out.HardState != nil {
		r.hard = *out.HardState
	}
	if out.Snapshot != nil {
		if err := r.install(*out.Snapshot); err != nil {
			return err
		}
	}
	if len(out.Entries) == 0 && !r.hard.MustSync(r.durable) {
		return nil
	}
	if err := r.store.Append(&r.hard, out.Entries); err != nil {
		return err
	}
	r.durable = r.hard
	if len(out.Entries) > 0 {
		r.core.Persisted(time.Now(), out.Entries[len(out.Entries)-1].Index)
	}
	return nil
}

func (r *Replica) fillSnapshot(m *raft.Message) error {
	stored, err := r.store.LoadSnapshot()
	if err != nil {
		return err
	}
	m.Snapshot = &stored
	return nil
}

// install replaces everything by a snapshot from the leader.
func (r *Replica) install(s raft.Snapshot) error {
	machine, err := state.Restore(s.Data)
	if err != nil {
		return merry.Prepend(err, "restore the leader's snapshot")
	}
	if err := r.store.SaveSnapshot(s, r.hard, nil); err != nil {
		return err
	}
	r.durable = r.hard
	r.snapAt = s.Index
	r.mu.Lock()
	r.state = machine
	r.applied = s.Index
	r.wake()
	r.mu.Unlock()
	r.failWaiting(s.Index)
	return nil
}

// failWaiting answers proposals whose entries a snapshot has covered.
func (r *Replica) failWaiting(index uint64) {
	for i, p := range r.waiting {
		if i <= index {
			delete(r.waiting, i)
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
		r.wake()
	}
	id := r.store.Identity
	other := r.state.Disks[id.ReplicaID] != "" && r.state.Disks[id.ReplicaID] != id.DiskID
	r.mu.Unlock()
	if other {
		return ErrDiskMismatch
	}
	if p := r.waiting[e.Index]; p != nil {
		delete(r.waiting, e.Index)
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

// wake tells those who wait for a change of resources; mu is held.
func (r *Replica) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) finishRead(rs raft.ReadState) {
	req, ok := r.readIDs[rs.Context]
	if !ok {
		return
	}
	delete(r.readIDs, rs.Context)
	if rs.Failed {
		req.done <- ErrNoQuorum
		return
	}
	r.confirm = append(r.confirm, pendingIndex{
		index: rs.Index,
		done:  req.done,
	})
}

func (r *Replica) releaseReads() {
	kept := r.confirm[:0]
	for _, c := range r.confirm {
		if c.index > r.applied {
			kept = append(kept, c)
			continue
		}
		c.done <- nil
	}
	r.confirm = kept
}

// logTooLarge reports whether a snapshot would make the log smaller than it may be.
func (r *Replica) logTooLarge() bool {
	return r.settings.MaxLogBytes > 0 && r.store.LogBytes() > r.settings.MaxLogBytes && r.applied > r.snapAt
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
	if err := r.store.SaveSnapshot(snapshot, r.hard, r.core.Entries()); err != nil {
		return err
	}
	r.durable = r.hard
	r.snapAt = snapshot.Index
	return nil
}
