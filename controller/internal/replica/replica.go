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
	DefaultSnapshotEvery = 4096
	maxBatch             = 512
	queueLength          = 4096
	readTimeout          = 2 * time.Second
	// transferTimeout bounds the wait for another leader: a few syncs and round
	// trips.
	transferTimeout = 300 * time.Millisecond
)

// Errors of a Replica.
var (
	// ErrNotLeader tells that nothing was proposed.
	ErrNotLeader = merry.Sentinel("not the leader")
	// ErrOutcomeUnknown tells that the command may or may not take effect.
	ErrOutcomeUnknown = merry.Sentinel("the outcome of the proposal is not known")
	// ErrNoQuorum tells that a read could not be confirmed.
	ErrNoQuorum = merry.Sentinel("no quorum")
	// ErrDiskMismatch tells that this replica's identifier belongs to another disk.
	ErrDiskMismatch = merry.Sentinel("the replica's identifier belongs to another disk; join under a new one")
)

// Settings configures a Replica.
type Settings struct {
	Raft raft.Settings
	// SnapshotEvery is after how many entries the log is compacted.
	SnapshotEvery uint64
	// MaxLogBytes is the size beyond which the log is compacted before that; zero
	// is no bound.
	MaxLogBytes int64
	// DisableGroupCommit makes every proposal wait for its own sync, as a baseline.
	DisableGroupCommit bool
}

// Status is what a replica tells of itself.
type Status struct {
	ReplicaID uint64       `json:"replica_id"`
	Role      string       `json:"role"`
	Term      uint64       `json:"term"`
	Leader    uint64       `json:"leader"`
	Commit    uint64       `json:"commit"`
	Applied   uint64       `json:"applied"`
	LogBytes  int64        `json:"log_bytes"`
	Revision  uint64       `json:"revision"`
	Members   raft.Members `json:"members"`
	// CommittedMembers is the newest committed membership, and CommittedIndex the place
	// in the log up to which it is known.
	CommittedMembers      raft.Members `json:"-"`
	CommittedMembersIndex uint64       `json:"-"`
}

type outcome struct {
	result state.Result
	err    error
}

// proposal waits for the entry at an index.
type proposal struct {
	command state.Command
	term    uint64
	done    chan outcome
}

type membersProposal struct {
	change func(raft.Members) (raft.Members, error)
	done   chan error
}

type readRequest struct {
	id   uint64
	done chan error
}

// confirmedRead is a confirmed read that waits to be applied.
type confirmedRead struct {
	index uint64
	done  chan error
}

// Replica is one running replica.
type Replica struct {
	settings Settings
	store    *disk.Store
	core     *raft.Core
	log      *slog.Logger
	network  *network

	proposals chan *proposal
	members   chan membersProposal
	reads     chan readRequest
	inbox     chan []raft.Message
	stopped   chan struct{}
	fatal     error

	// Owned by the control goroutine.
	pending             map[uint64]*proposal
	unconfirmedReads    map[uint64]readRequest
	confirmedReads      []confirmedRead
	hardState           raft.HardState
	durableHardState    raft.HardState
	snapshotIndex       uint64
	lastReadID          uint64
	diskBindingProposed bool
	leading             bool

	// mu guards state: the control goroutine writes, others read.
	mu      sync.RWMutex
	state   *state.State
	applied uint64
	changed chan struct{}

	status atomic.Pointer[Status]
}

// New returns a replica of the store's state. Run makes it work.
func New(settings Settings, store *disk.Store, restored raft.Restored, dialer link.Dialer, log *slog.Logger) (*Replica, error) {
	if settings.SnapshotEvery == 0 {
		settings.SnapshotEvery = DefaultSnapshotEvery
	}
	settings.Raft.ID = store.Identity.ReplicaID
	machine, err := state.Restore(restored.Snapshot.Data)
	if err != nil {
		return nil, merry.Prepend(err, "restore the snapshot")
	}
	random := rand.New(rand.NewPCG(store.Identity.ReplicaID, uint64(time.Now().UnixNano())))
	r := &Replica{
		settings:         settings,
		store:            store,
		core:             raft.New(settings.Raft, restored, random, time.Now()),
		log:              log,
		proposals:        make(chan *proposal, queueLength),
		members:          make(chan membersProposal),
		reads:            make(chan readRequest, queueLength),
		inbox:            make(chan []raft.Message, queueLength),
		stopped:          make(chan struct{}),
		pending:          make(map[uint64]*proposal),
		unconfirmedReads: make(map[uint64]readRequest),
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

// Run works until the context ends or the disk fails.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.stopped)
	defer r.network.wait()
	// The links outlive the context, so that the lead can be handed over.
	links, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.network.start(links)
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
			r.core.Tick(time.Now())
		}
		r.drainQueues()
		if err := r.processOutput(); err != nil {
			r.fatal = err
			return err
		}
		timer.Reset(max(0, time.Until(r.core.Deadline())))
	}
}

// transferLeadership lets another replica lead, if this one does, before it stops.
func (r *Replica) transferLeadership() error {
	if r.core.Role() != raft.Leader {
		return nil
	}
	end := time.After(transferTimeout)
	asked := false
	for r.core.Role() == raft.Leader {
		asked = asked || r.core.TransferLeadership()
		if err := r.processOutput(); err != nil {
			return err
		}
		select {
		case messages := <-r.inbox:
			r.step(messages)
		case <-end:
			r.log.Warn("nobody took over the lead in time")
			return nil
		}
	}
	return r.processOutput()
}

// drainQueues takes what else waits, so that it shares one sync.
func (r *Replica) drainQueues() {
	if r.settings.DisableGroupCommit {
		return
	}
	for range maxBatch {
		select {
		case p := <-r.proposals:
			r.propose(p)
		case req := <-r.reads:
			r.read(req)
		case messages := <-r.inbox:
			r.step(messages)
		default:
			return
		}
	}
}

func (r *Replica) step(messages []raft.Message) {
	now := time.Now()
	for _, m := range messages {
		r.core.Step(now, m)
	}
}

func (r *Replica) propose(p *proposal) {
	p.command.Time = time.Now().UTC()
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

func (r *Replica) proposeMembers(change func(raft.Members) (raft.Members, error)) error {
	next, err := change(r.core.Members())
	if err != nil {
		return err
	}
	_, err = r.core.ProposeMembers(time.Now(), next)
	return err
}

func (r *Replica) read(req readRequest) {
	r.lastReadID++
	req.id = r.lastReadID
	r.unconfirmedReads[req.id] = req
	r.core.ReadIndex(time.Now(), req.id)
}

// followRole acts on having gained or lost the lead.
func (r *Replica) followRole() {
	lead := r.core.Role() == raft.Leader
	if lead == r.leading {
		if lead && !r.diskBindingProposed {
			r.proposeOwnDisk()
		}
		return
	}
	r.leading = lead
	r.log.Info("role changed", "role", r.core.Role().String(), "term", r.core.Term())
	if !lead {
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

func (r *Replica) publishStatus() {
	r.mu.RLock()
	revision := r.state.Revision
	r.mu.RUnlock()
	committed, index := r.core.CommittedMembers()
	r.status.Store(&Status{
		ReplicaID: r.store.Identity.ReplicaID,
		Role:      r.core.Role().String(),
		Term:      r.core.Term(),
		Leader:    r.core.Leader(),
		Commit:    r.core.Commit(),
		Applied:   r.applied,
		LogBytes:  r.store.LogBytes(),
		Revision:  revision,
		Members:   r.core.Members(),

		CommittedMembers:      committed,
		CommittedMembersIndex: index,
	})
}

// Peer is the role other replicas prove.
const Peer = credential.Controller
