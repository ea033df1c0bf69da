package peer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/telemetry"
)

// Timings and sizes of a Member.
const (
	// retryInterval is the pause before a disk that failed is opened again, and
	// between two attempts to join the group.
	retryInterval = 200 * time.Millisecond
	// waitLogInterval is the first time between two log lines about an empty data folder, and
	// waitLogMaxInterval the largest.
	waitLogInterval    = time.Second
	waitLogMaxInterval = 8 * time.Second
	// diskIDBytes is the size of a disk identifier before its encoding.
	diskIDBytes = 16
	// replicaIDBits is the size of a generated replica identifier; below 64 bits it is
	// positive in any encoding.
	replicaIDBits = 48
)

// ErrNoReplica reports that this controller runs no replica at present.
var ErrNoReplica = merry.Sentinel("this controller holds no replica")

// Store is the open data folder of a replica.
type Store interface {
	replica.Store
	Rewrite(restored raft.Restored) error
	Close()
}

// openFolder opens the data folder of a host's disk.
func openFolder(folder string) (Store, raft.Restored, error) { return disk.Open(folder) }

// Member runs this controller's replica for as long as its disk works. On a
// controller without a disk it runs none.
type Member struct {
	folder   string // data folder; empty without a disk
	settings replica.Settings
	peers    *Peers
	dialer   link.Dialer
	log      *slog.Logger
	// open opens the data folder. Tests replace it to make writes fail.
	open func(folder string) (Store, raft.Restored, error)

	current atomic.Pointer[replica.Replica] // nil while none runs
	// waitPace spaces the lines about an empty data folder that waits for a group. Only the
	// goroutine of Run uses it.
	waitPace telemetry.Pace
	stops    stops
}

// NewMember returns a member with the given data folder; an empty folder means that
// the controller has no disk.
func NewMember(folder string, settings replica.Settings, peers *Peers, dialer link.Dialer, log *slog.Logger) *Member {
	return &Member{
		folder:   folder,
		settings: settings,
		peers:    peers,
		dialer:   dialer,
		log:      log,
		open:     openFolder,
		waitPace: telemetry.Pace{
			First: waitLogInterval,
			Max:   waitLogMaxInterval,
		},
		stops: newStops(log),
	}
}

// Run keeps the replica running until the context ends. When its disk fails, the
// replica stops and is started again from what is durable, once the disk takes a write.
func (m *Member) Run(ctx context.Context) {
	if m.folder == "" {
		<-ctx.Done()
		return
	}
	for ctx.Err() == nil {
		before := m.stops.history.Stops
		if err := m.runReplica(ctx); err != nil && ctx.Err() == nil {
			if m.stops.history.Stops == before {
				m.stops.noteFailedStart()
			}
			m.stops.logStop(err, time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// runReplica runs the replica of the data folder until it stops. It prepares the
// folder instead if that is empty, and erases it if the replica was removed from the
// group.
func (m *Member) runReplica(ctx context.Context) error {
	store, restored, err := m.open(m.folder)
	if errors.Is(err, disk.ErrNoIdentity) {
		return m.prepareFolder()
	}
	if err != nil {
		return err
	}
	defer store.Close()
	if m.stops.history.Stops > 0 {
		// The last write may have failed. A replica on a disk that takes none would stop
		// again at its first one.
		if err := store.Rewrite(restored); err != nil {
			return err
		}
	}
	settings := m.settings
	settings.History = m.stops.history
	id := store.Identity().ReplicaID
	r, err := replica.New(settings, store, restored, m.dialer, m.peers, m.log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	removed := make(chan struct{})
	go m.maintainMembership(ctx, r, id, func() {
		close(removed)
		cancel()
	})
	m.current.Store(r)
	defer m.stops.logStart(restored, id)()
	started := time.Now()
	err = r.Run(ctx)
	m.current.Store(nil)
	select {
	case <-removed:
		status := r.Status()
		m.stops.noteStop(status, causeRemoved, started, time.Now())
		erase := false
		m.peers.withCore(func(c *membership.Core) { erase = c.Leave(status.Term) })
		if !erase {
			return nil
		}
		m.log.Info("replica was removed from the group or has no group, its data folder is erased", "replica", id)
		return disk.Erase(m.folder)
	default:
		m.stops.noteStop(r.Status(), stopCause(err), started, time.Now())
		return err
	}
}

// prepareFolder writes a new identity to the empty data folder as soon as the
// membership core decides that this controller bootstraps or joins the group. A
// controller whose disk was lost thus joins under a new replica identifier.
func (m *Member) prepareFolder() error {
	step := membership.Wait
	var members raft.Members
	id := uint64(0)
	m.peers.withCore(func(c *membership.Core) {
		c.SetReplica(0)
		if step = c.Next(); step == membership.Bootstrap {
			members, id = c.Founding()
		}
	})
	if step == membership.Wait {
		m.logWait()
		return nil
	}
	identity, err := newIdentity()
	if err != nil {
		return err
	}
	if step == membership.Bootstrap {
		identity.ReplicaID = id
		identity.Members = &members
	}
	m.waitPace.Reset()
	m.log.Info("data folder prepared", "replica", identity.ReplicaID, "founds", step == membership.Bootstrap, "voters", members.Voters())
	return disk.Init(m.folder, identity)
}

// logWait logs at growing intervals that no group is known to join.
func (m *Member) logWait() {
	if !m.waitPace.Due(time.Now()) {
		return
	}
	gossip := m.peers.Gossip()
	m.log.Info("data folder is empty and no group is known yet", "founding", len(gossip.Group.Members.List),
		"first_start", gossip.Self.FirstStart, "peers", len(gossip.Peers))
}

// newIdentity returns an identity with random identifiers, the replica's from 1 to
// 2^48.
func newIdentity() (disk.Identity, error) {
	var b [diskIDBytes + 8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return disk.Identity{}, merry.Prepend(err, "generate the replica's identity")
	}
	return disk.Identity{
		ReplicaID: 1 + binary.BigEndian.Uint64(b[diskIDBytes:])>>(64-replicaIDBits),
		DiskID:    hex.EncodeToString(b[:diskIDBytes]),
	}, nil
}

// maintainMembership passes the replica's committed membership to the gossip, and has
// the replica join the group while it is not a member at its address. It calls removed
// and returns when the replica was removed from the group.
func (m *Member) maintainMembership(ctx context.Context, r *replica.Replica, id uint64, removed func()) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	m.peers.withCore(func(c *membership.Core) { c.SetReplica(id) })
	for {
		status := r.Status()
		leader := r.LeaderAddress()
		join, gone := false, false
		m.peers.withCore(func(c *membership.Core) {
			if len(status.CommittedMembers.List) > 0 {
				c.SetGroup(membership.Group{
					Members:    status.CommittedMembers,
					Index:      status.CommittedMembersIndex,
					Leader:     leader,
					LeaderTerm: status.Term,
				})
			}
			join = len(c.Group().Members.List) > 0 && !c.IsMember()
			gone = c.Removed()
		})
		if gone {
			removed()
			return
		}
		if join {
			m.join(ctx, id)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// join asks the leader and the other members at the same time to add the replica to the
// group, and returns when one has added it or all have answered.
func (m *Member) join(ctx context.Context, id uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var targets []string
	m.peers.withCore(func(c *membership.Core) { targets = c.JoinTargets() })
	request := joinRequest(id, m.peers.Gossip().Self.Address)
	joined := make(chan bool, len(targets))
	for _, target := range targets {
		go func() {
			reply, err := m.peers.client(target).Join(ctx, request)
			joined <- err == nil && reply.GetJoined() // a member that does not answer is asked again
		}()
	}
	for range targets {
		if <-joined {
			return
		}
	}
}

// ReplicaStops returns the number of replicas that have stopped in this process.
func (m *Member) ReplicaStops() uint64 { return m.stops.count.Load() }

// Replica returns the running replica, or nil.
func (m *Member) Replica() *replica.Replica { return m.current.Load() }

// Propose has a command committed and applied by this controller's replica. It returns
// replica.ErrNotLeader if there is none or it doesn't lead.
func (m *Member) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	if r := m.current.Load(); r != nil {
		return r.Propose(ctx, command)
	}
	return state.Result{}, replica.ErrNotLeader
}

// IsLeader reports whether this controller's replica leads.
func (m *Member) IsLeader() bool {
	r := m.current.Load()
	return r != nil && r.IsLeader()
}

// LeaderAddress returns the leader's address as the replica or else the gossip knows
// it, or "" if no leader is known.
func (m *Member) LeaderAddress() string {
	if r := m.current.Load(); r != nil {
		if address := r.LeaderAddress(); address != "" {
			return address
		}
	}
	return m.peers.Group().Leader
}

// Handler accepts links of other replicas for the replica that runs. It answers with
// status 503 while this controller runs none.
func (m *Member) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r := m.current.Load()
		if r == nil {
			problem.New(http.StatusServiceUnavailable, problem.NotReady, ErrNoReplica.Error()).Write(w)
			return
		}
		r.Handler().ServeHTTP(w, request)
	})
}
