package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// Timings and limits of a Replica.
const (
	// DefaultSnapshotEvery is the number of applied entries after which the log
	// is compacted.
	DefaultSnapshotEvery = 4096
	// maxBatch bounds the queued events that share one sync with the first.
	maxBatch = 512
	// queueLength bounds each of the queues of the control goroutine.
	queueLength = 4096
	// readTimeout bounds the wait of a Barrier.
	readTimeout = 2 * time.Second
	// transferTimeout bounds the wait for another leader before a leader stops.
	// A transfer takes a few syncs and round trips.
	transferTimeout = 300 * time.Millisecond
)

// Errors of a Replica.
var (
	// ErrNotLeader reports that this replica doesn't lead and that the command has
	// no effect.
	ErrNotLeader = merry.Sentinel("not the leader")
	// ErrOutcomeUnknown reports that the command may or may not take effect.
	ErrOutcomeUnknown = merry.Sentinel("the outcome of the proposal is not known")
	// ErrNoQuorum reports that no leader is known or that no majority confirmed a read
	// in time.
	ErrNoQuorum = merry.Sentinel("no quorum")
	// ErrDiskMismatch reports that the log binds a replica's identifier to a disk
	// other than the one the replica has. A replica on an empty disk must not take
	// over an identifier, since it has lost the votes and entries that the identifier
	// acknowledged.
	ErrDiskMismatch = merry.Sentinel("the replica's identifier belongs to another disk; join under a new one")
)

// Locator knows where replicas state to be.
type Locator interface {
	// ReplicaAddress returns the address of a replica whose host has moved since it became
	// a member, or "" if the address in the membership is to be used.
	ReplicaAddress(id uint64) string
}

// Store keeps what a replica must not lose. Every error of a write is final: the replica
// stops, and what is durable is read when the store is opened again.
type Store interface {
	Identity() disk.Identity
	Append(hard *raft.HardState, entries []raft.Entry) error
	SaveSnapshot(snapshot raft.Snapshot, hard raft.HardState, after []raft.Entry) error
	LoadSnapshot() (raft.Snapshot, error)
	LogBytes() int64
}

// Settings configures a Replica.
type Settings struct {
	Raft raft.Settings
	// SnapshotEvery is the number of applied entries after which the log is
	// compacted; zero means DefaultSnapshotEvery.
	SnapshotEvery uint64
	// MaxLogBytes is the log size in bytes beyond which the log is compacted before
	// SnapshotEvery entries are applied; zero means no bound.
	MaxLogBytes int64
	// DisableGroupCommit gives every proposal a sync of its own, as a baseline for
	// measurements of group commit.
	DisableGroupCommit bool
	// History is what happened in this process before, for log lines.
	History History
}

// outcome is the result of a proposal, or the reason why there is none.
type outcome struct {
	result state.Result
	err    error
}

// proposal is a command whose entry is to be committed and applied. Its term is
// that of the entry.
type proposal struct {
	command state.Command
	term    uint64
	done    chan outcome
}

// membersProposal is a change of the membership that is to be proposed.
type membersProposal struct {
	change func(raft.Members) (raft.Members, error)
	done   chan error
}

// readRequest is a Barrier that waits for a majority to confirm the commit index.
type readRequest struct {
	id   uint64
	done chan error
}

// confirmedRead is a Barrier that waits for the entry at its index to be applied.
type confirmedRead struct {
	index uint64
	done  chan error
}

// Replica is one replica of the log with its state machine. Its exported methods
// may be called from any goroutine.
type Replica struct {
	settings Settings
	store    Store
	core     *raft.Core
	log      *slog.Logger
	network  *network
	arrivals arrivals
	locator  Locator // nil if members don't move

	proposals chan *proposal
	members   chan membersProposal
	reads     chan readRequest
	inbox     chan []raft.Message
	stopped   chan struct{}
	fatal     error

	// The following fields belong to the control goroutine, which runs Run.
	pending          map[uint64]*proposal // by log index
	unconfirmedReads map[uint64]readRequest
	confirmedReads   []confirmedRead
	hardState        raft.HardState
	durableHardState raft.HardState
	snapshotIndex    uint64
	// lastReadID is the identifier of the last read. The first one is random, since a leader
	// may still confirm reads of an earlier start of the replica.
	lastReadID          uint64
	diskBindingProposed bool // in the present term as leader
	leading             bool

	// mu guards the following fields: the control goroutine writes them, others
	// read them.
	mu      sync.RWMutex
	state   *state.State
	applied uint64
	changed chan struct{} // closed and replaced at each change

	status atomic.Pointer[Status]
}

// New returns a replica that continues from what the store has restored. It does
// nothing before Run is called, but accepts links, which end when Run returns. Settings.Raft.ID is taken from the store. Without a
// locator, members are reached at the addresses in the membership.
func New(settings Settings, store Store, restored raft.Restored, dialer link.Dialer, locator Locator, log *slog.Logger) (*Replica, error) {
	if settings.SnapshotEvery == 0 {
		settings.SnapshotEvery = DefaultSnapshotEvery
	}
	settings.Raft.ID = store.Identity().ReplicaID
	machine, err := state.Restore(restored.Snapshot.Data)
	if err != nil {
		return nil, merry.Prepend(err, "restore the state machine from the disk's snapshot")
	}
	random := rand.New(rand.NewPCG(store.Identity().ReplicaID, uint64(time.Now().UnixNano())))
	r := &Replica{
		settings: settings,
		store:    store,
		core:     raft.New(settings.Raft, restored, random, time.Now()),
		log:      log,
		locator:  locator,
		arrivals: arrivals{
			last: make(map[uint64]time.Time),
		},
		proposals:        make(chan *proposal, queueLength),
		members:          make(chan membersProposal),
		reads:            make(chan readRequest, queueLength),
		inbox:            make(chan []raft.Message, queueLength),
		stopped:          make(chan struct{}),
		pending:          make(map[uint64]*proposal),
		unconfirmedReads: make(map[uint64]readRequest),
		lastReadID:       random.Uint64(),
		hardState:        restored.HardState,
		durableHardState: restored.HardState,
		snapshotIndex:    restored.Snapshot.Index,
		state:            machine,
		applied:          restored.Snapshot.Index,
		changed:          make(chan struct{}),
	}
	r.network = newNetwork(r, dialer)
	r.publishStatus()
	return r, nil
}

// Run drives the replica until the context ends or the disk fails. A leader
// transfers its leadership before it returns. The error is not nil if the disk
// failed, an entry could not be decoded, or the replica's identifier belongs to
// another disk (ErrDiskMismatch).
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.stopped)
	// The links outlive the context, so that leadership can be transferred.
	defer r.network.stop()
	r.network.start()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.transferLeadership()
		case p := <-r.proposals:
			r.propose(p)
		case m := <-r.members:
			m.done <- r.proposeMembers(m.change)
		case req := <-r.reads:
			r.read(req)
		case messages := <-r.inbox:
			r.step(messages)
		case <-timer.C:
		}
		r.drainQueues()
		// Messages that arrived during a write count before the deadlines that passed during it.
		r.core.Tick(time.Now())
		if err := r.processOutput(); err != nil {
			r.fatal = err
			return err
		}
		timer.Reset(max(0, time.Until(r.core.Deadline())))
	}
}

// transferLeadership makes another replica the leader if this one leads, so that
// the group need not wait for an election timeout after this replica has stopped.
func (r *Replica) transferLeadership() error {
	if r.core.Role() != raft.Leader {
		return nil
	}
	timeout := time.After(transferTimeout)
	requested := false
	for r.core.Role() == raft.Leader {
		requested = requested || r.core.TransferLeadership()
		if err := r.processOutput(); err != nil {
			return err
		}
		select {
		case messages := <-r.inbox:
			r.step(messages)
		case <-timeout:
			r.log.Warn("leadership transfer timed out, another replica is elected after the election timeout")
			return nil
		}
	}
	return r.processOutput()
}

// drainQueues handles what else is queued, up to maxBatch, so that it shares one
// sync.
func (r *Replica) drainQueues() {
	proposals, reads := r.proposals, r.reads
	if r.settings.DisableGroupCommit {
		proposals, reads = nil, nil
	}
	for range maxBatch {
		select {
		case p := <-proposals:
			r.propose(p)
		case req := <-reads:
			r.read(req)
		case messages := <-r.inbox:
			r.step(messages)
		default:
			return
		}
	}
}

// step passes messages of other replicas to the core.
func (r *Replica) step(messages []raft.Message) {
	now := time.Now()
	if len(messages) > 0 {
		r.arrivals.note(messages[0].From, now) // the messages of a frame have one sender
	}
	for _, m := range messages {
		r.core.Step(now, m)
	}
}

// propose appends a command to the log if this replica leads. The command's time
// is that of the leader, so that all replicas apply the same one.
func (r *Replica) propose(p *proposal) {
	p.command.Time = time.Now().UTC()
	if c := p.command.Replace; c != nil {
		tracked := *c
		tracked.TracksVersions = true // by the hub of this leader
		p.command.Replace = &tracked
	}
	data, err := state.Encode(p.command)
	if err != nil {
		p.done <- outcome{
			err: err,
		}
		return
	}
	index, err := r.core.Propose(time.Now(), data)
	if err != nil {
		p.done <- outcome{
			err: merry.Prependf(ErrNotLeader, "%v", err),
		}
		return
	}
	p.term = r.core.Term()
	r.pending[index] = p
}

// proposeMembers proposes the membership that change returns for the present one.
func (r *Replica) proposeMembers(change func(raft.Members) (raft.Members, error)) error {
	next, err := change(r.core.Members())
	if err != nil {
		return err
	}
	_, err = r.core.ProposeMembers(time.Now(), next)
	return err
}

// read starts the confirmation of a read under an identifier of its own.
func (r *Replica) read(req readRequest) {
	r.lastReadID++
	req.id = r.lastReadID
	r.unconfirmedReads[req.id] = req
	r.core.ReadIndex(time.Now(), req.id)
}

// handleRoleChange compares the core's role with the last one. A new leader
// proposes the binding of its own disk at the call after the change. A former
// leader fails the pending proposals, whose entries may still be committed by the
// next leader. Waiters on Changed are notified, so that they see the new role.
func (r *Replica) handleRoleChange() {
	leading := r.core.Role() == raft.Leader
	if leading == r.leading {
		if leading && !r.diskBindingProposed {
			r.proposeOwnDisk()
		}
		return
	}
	r.leading = leading
	r.log.Info("role changed", "role", r.core.Role().String(), "term", r.core.Term())
	if !leading {
		for i, p := range r.pending {
			delete(r.pending, i)
			p.done <- outcome{
				err: ErrOutcomeUnknown,
			}
		}
		r.diskBindingProposed = false
	}
	r.mu.Lock()
	r.notifyChanged()
	r.mu.Unlock()
}

// Peer is the role that other replicas authenticate as.
const Peer = credential.Controller
