package membership_test

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"baobabpaddle/fleet/raft"
)

// command is a change of the configuration or the binding of a replica to its disk.
type command struct {
	Version   uint64
	ReplicaID uint64
	DiskID    string
}

// machine is the replicated state.
type machine struct {
	Version uint64
	Disks   map[uint64]string
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// proposal is a command that waits to be applied; done is called at most once.
type proposal struct {
	term uint64
	done func(applied bool)
}

// pendingRead waits for the confirmation of a majority and then for the entry at index.
type pendingRead struct {
	index uint64
	done  func(version uint64)
}

// status is what other goroutines see of a replica: the state after its last batch.
type status struct {
	role           raft.Role
	term           uint64
	leader         uint64
	members        raft.Members
	committed      raft.Members
	committedIndex uint64
}

// replica drives a raft.Core as controller/internal/replica does.
type replica struct {
	host    *host
	id      uint64
	diskID  string
	core    *raft.Core
	stopped bool
	syncing bool
	inbox   []raft.Message
	calls   []func() // proposals and reads that are queued
	wakeAt  time.Time

	hard, durableHard   raft.HardState
	stored              raft.Snapshot // the newest durable snapshot
	applied             uint64
	state               machine
	pending             map[uint64]proposal
	unconfirmed         map[uint64]pendingRead
	confirmed           []pendingRead
	lastRead            uint64
	leading             bool
	diskBindingProposed bool
	status              status

	outbound, inbound map[uint64]*link
	dials             map[uint64]*dial
	peerDisks         map[uint64]string
}

// newReplica starts a replica from what the folder has restored.
func newReplica(h *host, id uint64, diskID string, restored raft.Restored) *replica {
	w := h.fleet
	r := &replica{
		host:   h,
		id:     id,
		diskID: diskID,
		core: raft.New(raft.Settings{
			ID:                id,
			ElectionTimeout:   electionTimeout,
			StartTimeout:      startTimeout,
			HeartbeatInterval: heartbeatInterval,
			MaxVoters:         maxVoters,
			ReplaceAfter:      replaceAfter,
		}, restored, rand.New(rand.NewPCG(w.random.Uint64(), id)), h.clock()),
		hard:        restored.HardState,
		durableHard: restored.HardState,
		stored:      restored.Snapshot,
		pending:     make(map[uint64]proposal),
		unconfirmed: make(map[uint64]pendingRead),
		outbound:    make(map[uint64]*link),
		inbound:     make(map[uint64]*link),
		dials:       make(map[uint64]*dial),
		peerDisks:   make(map[uint64]string),
	}
	r.restore(restored.Snapshot)
	r.publishStatus()
	return r
}

// restore takes the state of a snapshot.
func (r *replica) restore(s raft.Snapshot) {
	r.state = machine{}
	if len(s.Data) > 0 {
		if err := cbor.Unmarshal(s.Data, &r.state); err != nil {
			panic(err)
		}
	}
	if r.state.Disks == nil {
		r.state.Disks = make(map[uint64]string)
	}
	r.applied = s.Index
}

// do has f called by the control goroutine.
func (r *replica) do(f func()) {
	r.calls = append(r.calls, f)
	r.wake()
}

// wake does what Replica.Run does with one event and what else is queued.
func (r *replica) wake() {
	if r.stopped || r.syncing {
		return
	}
	now := r.host.clock()
	calls, messages := r.calls, r.inbox
	r.calls, r.inbox = nil, nil
	for _, m := range messages {
		r.core.Step(now, m)
	}
	for _, f := range calls {
		f()
	}
	if !now.Before(r.core.Deadline()) {
		r.core.Tick(now)
	}
	r.processOutput()
}

// processOutput does what Replica.processOutput does. It returns early when a sync has
// begun, and goes on after it.
func (r *replica) processOutput() {
	w := r.host.fleet
	for !r.stopped {
		r.core.Flush(r.host.clock())
		out := r.core.TakeOutput()
		if out.Empty() {
			break
		}
		var afterSync []raft.Message
		for _, m := range out.Messages {
			if r.core.BeforeSync(out, r.durableHard, m) {
				r.send(m)
			} else {
				afterSync = append(afterSync, m)
			}
		}
		out.Messages = afterSync
		if r.persist(out) {
			return
		}
		r.finishOutput(out)
	}
	if r.stopped {
		return
	}
	if r.applied-r.stored.Index >= w.snapshotEvery {
		r.compact()
		return
	}
	r.handleRoleChange()
	r.publishStatus()
	if at := r.core.Deadline(); !at.Equal(r.wakeAt) {
		r.wakeAt = at
		w.after(max(0, at.Sub(r.host.clock())), func() {
			if r.wakeAt.Equal(at) {
				r.wakeAt = time.Time{}
				r.wake()
			}
		})
	}
	if len(r.inbox) > 0 || len(r.calls) > 0 {
		r.wake()
	}
}

// persist begins the writes of an output. It reports whether there are any.
func (r *replica) persist(out raft.Output) bool {
	if out.HardState != nil {
		r.hard = *out.HardState
	}
	var writes []write
	if out.Snapshot != nil {
		writes = snapshotWrites(*out.Snapshot, r.hard, nil)
	}
	if len(out.Entries) > 0 || r.hard.MustSync(r.durableHard) {
		writes = append(writes, appendWrite(r.hard, out.Entries))
	}
	r.write(writes, func() {
		r.durableHard = r.hard
		if out.Snapshot != nil {
			r.host.fleet.tracef("%s installed the snapshot at %d", r.host.name, out.Snapshot.Index)
			r.stored = *out.Snapshot
			r.restore(*out.Snapshot)
		}
		if len(out.Entries) > 0 {
			r.core.Persisted(r.host.clock(), out.Entries[len(out.Entries)-1].Index)
		}
		r.finishOutput(out)
		r.core.Heartbeat(r.host.clock())
		r.processOutput()
	})
	return len(writes) > 0
}

// finishOutput does what Replica.handleOutput does after the sync.
func (r *replica) finishOutput(out raft.Output) {
	for _, m := range out.Messages {
		if m.Type == raft.MsgSnapshot {
			stored := r.stored
			m.Snapshot = &stored
		}
		r.send(m)
	}
	for _, e := range out.Committed {
		r.apply(e)
	}
	for _, s := range out.Reads {
		read, ok := r.unconfirmed[s.Context]
		delete(r.unconfirmed, s.Context)
		if ok && !s.Failed {
			read.index = s.Index
			r.confirmed = append(r.confirmed, read)
		}
	}
	kept := r.confirmed[:0]
	for _, read := range r.confirmed {
		if read.index > r.applied {
			kept = append(kept, read)
			continue
		}
		read.done(r.state.Version)
	}
	r.confirmed = kept
}

// apply does what Replica.apply does.
func (r *replica) apply(e raft.Entry) {
	if e.Kind == raft.EntryCommand {
		var c command
		if err := cbor.Unmarshal(e.Data, &c); err != nil {
			panic(err)
		}
		r.state.Version = max(r.state.Version, c.Version)
		if c.ReplicaID != 0 && r.state.Disks[c.ReplicaID] == "" {
			r.state.Disks[c.ReplicaID] = c.DiskID
		}
	}
	r.applied = e.Index
	if bound := r.state.Disks[r.id]; bound != "" && bound != r.diskID {
		r.host.fleet.failf("%s: its identifier is bound to another disk", r.host.name)
	}
	if p, ok := r.pending[e.Index]; ok {
		delete(r.pending, e.Index)
		p.done(p.term == e.Term)
	}
}

// compact does what Replica.compact does.
func (r *replica) compact() {
	s := r.core.Compact(r.applied)
	s.Data = encode(r.state)
	r.write(snapshotWrites(s, r.hard, r.core.Entries()), func() {
		r.durableHard = r.hard
		r.stored = s
		r.processOutput()
	})
}

// propose appends a command if this replica leads. done is not called if the outcome
// stays unknown.
func (r *replica) propose(c command, done func(applied bool)) {
	index, err := r.core.Propose(r.host.clock(), encode(c))
	if err != nil {
		done(false)
		return
	}
	r.pending[index] = proposal{
		term: r.core.Term(),
		done: done,
	}
}

// read does what Replica.Barrier and View do; done is not called if the read fails.
func (r *replica) read(done func(version uint64)) {
	r.do(func() {
		r.lastRead++
		r.unconfirmed[r.lastRead] = pendingRead{
			done: done,
		}
		r.core.ReadIndex(r.host.clock(), r.lastRead)
	})
}

// handleRoleChange does what Replica.handleRoleChange does.
func (r *replica) handleRoleChange() {
	leading := r.core.Role() == raft.Leader
	if leading == r.leading {
		if leading && !r.diskBindingProposed {
			r.diskBindingProposed = true
			r.bind(r.id, r.diskID)
		}
		return
	}
	r.leading = leading
	members := r.core.Members()
	r.host.fleet.tracef("%s (replica %d) is %v in term %d, last entry %d, committed %d, members %s",
		r.host.name, r.id, r.core.Role(), r.core.Term(), r.core.LastIndex(), r.core.Commit(), r.host.fleet.describe(members))
	if !leading {
		clear(r.pending)
		r.diskBindingProposed = false
	}
}

// bind proposes the binding of a replica to its disk.
func (r *replica) bind(id uint64, diskID string) {
	r.propose(command{
		ReplicaID: id,
		DiskID:    diskID,
	}, func(bool) {})
}

// publishStatus does what Replica.publishStatus does.
func (r *replica) publishStatus() {
	before := r.status.members
	r.status = status{
		role:    r.core.Role(),
		term:    r.core.Term(),
		leader:  r.core.Leader(),
		members: r.core.Members(),
	}
	r.status.committed, r.status.committedIndex = r.core.CommittedMembers()
	if w := r.host.fleet; r.status.role == raft.Leader && w.describe(before) != w.describe(r.status.members) {
		w.tracef("%s leads with members %s", r.host.name, w.describe(r.status.members))
	}
}

// leaderAddress does what Replica.LeaderAddress does.
func (r *replica) leaderAddress() string {
	return r.memberAddress(r.status.leader)
}
