package raft

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Role is the part that a replica plays in the current term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// peerProgress is a leader's view of the log of one other replica.
type peerProgress struct {
	// match is the highest index known to be durable on the peer.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is set while it is unknown where the logs match; only empty
	// appends are sent then.
	probing bool
	// retransmitAt is when an unanswered append is sent again; zero when none
	// is in flight.
	retransmitAt time.Time
	// snapshotRetryAt is when an unanswered snapshot is sent again.
	snapshotRetryAt time.Time
	// staleReplies counts the replies of a peer that has not installed the snapshot, from
	// staleRepliesFrom on.
	staleReplies     int
	staleRepliesFrom time.Time
	lastContact      time.Time
	// unansweredFrom is when the first append since lastContact was sent; zero if none was.
	unansweredFrom time.Time
	// readAck is the highest read sequence that the peer has acknowledged.
	readAck uint64
}

// pendingRead is a linearizable read that waits for confirmation by a quorum.
type pendingRead struct {
	sequence         uint64 // the leader's sequence number of the read
	index            uint64
	requester        uint64 // the replica that asked
	requesterContext uint64 // the context that the requester passed to ReadIndex
}

// Core is the consensus state machine of one replica. It is not safe for
// concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand

	role      Role
	hardState HardState
	leader    uint64
	log       memoryLog
	applied   uint64
	// persisted is the highest index that is durable on this replica.
	persisted uint64

	members             Members
	membersIndex        uint64
	snapshotMembers     Members
	votes               map[uint64]bool // granted in the current term; nil unless the replica stood for election in it
	preVotes            map[uint64]bool // granted for the next term; nil unless a pre-candidate
	peers               map[uint64]*peerProgress
	pendingReads        []pendingRead
	readSequence        uint64
	deferredReads       []pendingRead
	electionDeadline    time.Time
	heartbeatDeadline   time.Time
	quorumCheckDeadline time.Time
	leaderContact       time.Time
	transferRequested   bool // the next campaign was requested by the leader

	out Output
}

// New returns a replica in the follower role that starts from the restored
// state. The caller must seed the random source and must not share it.
func New(settings Settings, restored Restored, random *rand.Rand, now time.Time) *Core {
	if settings.ElectionTimeout == 0 {
		settings.ElectionTimeout = DefaultElectionTimeout
	}
	if settings.HeartbeatInterval == 0 {
		settings.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if settings.MaxAppendEntries == 0 {
		settings.MaxAppendEntries = DefaultMaxAppendEntries
	}
	if settings.MaxUncommitted == 0 {
		settings.MaxUncommitted = DefaultMaxUncommitted
	}
	c := &Core{
		settings:  settings,
		random:    random,
		hardState: restored.HardState,
		log: memoryLog{
			snapshotIndex: restored.Snapshot.Index,
			snapshotTerm:  restored.Snapshot.Term,
			entries:       append([]Entry(nil), restored.Entries...),
		},
		applied:         restored.Snapshot.Index,
		snapshotMembers: restored.Snapshot.Members.Clone(),
	}
	c.persisted = c.log.lastIndex()
	c.hardState.Commit = min(max(c.hardState.Commit, restored.Snapshot.Index), c.log.lastIndex())
	c.reloadMembers()
	c.resetElectionTimer(now)
	if settings.StartTimeout > 0 {
		c.electionDeadline = now.Add(c.randomTimeout(settings.StartTimeout))
	}
	return c
}

// Role returns the replica's current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Leader returns the leader's identifier, or zero when no leader is known.
func (c *Core) Leader() uint64 { return c.leader }

// Vote returns the candidate that this replica has voted for in the current term, or
// zero.
func (c *Core) Vote() uint64 { return c.hardState.Vote }

// Votes returns the voters that have granted their vote or pre-vote in the present
// campaign, in ascending order. It returns nil outside a campaign.
func (c *Core) Votes() []uint64 {
	if c.role == PreCandidate {
		return slices.Sorted(maps.Keys(c.preVotes))
	}
	return slices.Sorted(maps.Keys(c.votes))
}

// Commit returns the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.hardState.Commit }

// LastIndex returns the index of the last entry in the log, durable or not.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// FirstIndex returns the index of the first entry that the log still holds.
func (c *Core) FirstIndex() uint64 { return c.log.snapshotIndex + 1 }

// Members returns the membership in force. As in Raft, that is the newest one
// in the log, committed or not.
func (c *Core) Members() Members { return c.members.Clone() }

// MembersIndex returns the index of the entry, or of the snapshot, that holds the
// membership in force.
func (c *Core) MembersIndex() uint64 { return c.membersIndex }

// CommittedMembers returns the newest committed membership, and the index of
// its entry or of the snapshot that holds it.
func (c *Core) CommittedMembers() (Members, uint64) {
	if c.membersIndex <= c.hardState.Commit {
		return c.members.Clone(), c.membersIndex
	}
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.Kind == EntryMembers && e.Index <= c.hardState.Commit {
			return e.Members.Clone(), e.Index
		}
	}
	return c.snapshotMembers.Clone(), c.log.snapshotIndex
}

// Deadline returns the time at which Tick must be called next.
func (c *Core) Deadline() time.Time {
	if c.role == Leader {
		if c.quorumCheckDeadline.Before(c.heartbeatDeadline) {
			return c.quorumCheckDeadline
		}
		return c.heartbeatDeadline
	}
	return c.electionDeadline
}

// TakeOutput returns what the driver has to do since the last call, and clears
// it.
func (c *Core) TakeOutput() Output {
	c.collectCommitted()
	out := c.out
	c.out = Output{}
	return out
}

// Tick acts on deadlines that have passed: it starts elections, sends
// heartbeats and makes a leader without a quorum step down.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionTimer(now)
	if c.members.IsVoter(c.settings.ID) {
		c.campaign(now, true)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !now.Before(c.quorumCheckDeadline) {
		c.quorumCheckDeadline = now.Add(c.settings.ElectionTimeout)
		if !c.quorumActive(now) {
			c.becomeFollower(now, c.hardState.Term, 0)
			return
		}
	}
	if c.Heartbeat(now) {
		c.reconfigure(now)
	}
}

// quorumActive reports whether a majority of voters, this replica included, has answered
// all that was sent before the last election timeout. Its own delays, such as those of a slow
// disk, are no silence of others.
func (c *Core) quorumActive(now time.Time) bool {
	return c.members.Majority(func(id uint64) bool {
		p := c.peers[id]
		return id == c.settings.ID || (p != nil && (p.unansweredFrom.IsZero() || now.Sub(p.unansweredFrom) < c.settings.ElectionTimeout))
	})
}

func (c *Core) resetElectionTimer(now time.Time) {
	c.electionDeadline = now.Add(c.randomTimeout(c.settings.ElectionTimeout))
}

// randomTimeout returns a random duration from one to two timeouts, so that
// replicas rarely stand for election at the same time.
func (c *Core) randomTimeout(timeout time.Duration) time.Duration {
	return timeout + time.Duration(c.random.Int64N(int64(timeout)))
}

// becomeFollower enters the follower role in a term that is not lower than the
// current one. Reads that wait here fail.
func (c *Core) becomeFollower(now time.Time, term, leader uint64) {
	if term > c.hardState.Term {
		c.hardState.Term = term
		c.hardState.Vote = 0
		c.emitHardState()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.preVotes = nil
	c.peers = nil
	c.failReads()
	c.resetElectionTimer(now)
}

// failReads fails every read that this replica can no longer confirm.
func (c *Core) failReads() {
	for _, r := range append(c.pendingReads, c.deferredReads...) {
		c.completeRead(r, true)
	}
	c.pendingReads = nil
	c.deferredReads = nil
}

// completeRead delivers a read's outcome to the replica that asked for it.
func (c *Core) completeRead(r pendingRead, failed bool) {
	if r.requester == c.settings.ID {
		c.out.Reads = append(c.out.Reads, ReadState{
			Context: r.requesterContext,
			Index:   r.index,
			Failed:  failed,
		})
		return
	}
	c.send(Message{
		Type:    MsgReadReply,
		To:      r.requester,
		Index:   r.index,
		Context: r.requesterContext,
		Reject:  failed,
	})
}

func (c *Core) emitHardState() {
	h := c.hardState
	c.out.HardState = &h
}

func (c *Core) send(m Message) {
	m.From = c.settings.ID
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// reloadMembers sets the membership from the newest EntryMembers in the log,
// or else from the snapshot.
func (c *Core) reloadMembers() {
	c.members = c.snapshotMembers.Clone()
	c.membersIndex = c.log.snapshotIndex
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.Kind == EntryMembers {
			c.members = e.Members.Clone()
			c.membersIndex = e.Index
			return
		}
	}
}

// appendEntries appends to the log and to the output. A membership takes effect
// as soon as it is appended.
func (c *Core) appendEntries(entries ...Entry) {
	c.log.entries = append(c.log.entries, entries...)
	c.out.Entries = append(c.out.Entries, entries...)
	for _, e := range entries {
		if e.Kind == EntryMembers {
			c.members = e.Members.Clone()
			c.membersIndex = e.Index
		}
	}
}

// Persisted records that entries up to and including index are durable.
func (c *Core) Persisted(now time.Time, index uint64) {
	c.persisted = max(c.persisted, min(index, c.log.lastIndex()))
	if c.role == Leader {
		c.advanceCommit(now)
	}
}

// Compact drops the entries up to and including index, which a durable snapshot
// of the state machine must cover. An index beyond the last applied entry is
// lowered to it. Compact returns the snapshot's metadata; Data is left empty.
func (c *Core) Compact(index uint64) Snapshot {
	index = min(index, c.applied)
	members := c.snapshotMembers
	for _, e := range c.log.entries {
		if e.Index > index {
			break
		}
		if e.Kind == EntryMembers {
			members = e.Members.Clone()
		}
	}
	c.log.compact(index)
	c.snapshotMembers = members
	return Snapshot{
		Index:   c.log.snapshotIndex,
		Term:    c.log.snapshotTerm,
		Members: members.Clone(),
	}
}

// collectCommitted adds entries committed since the last call to the output.
func (c *Core) collectCommitted() {
	if c.hardState.Commit <= c.applied {
		return
	}
	c.out.Committed = append(c.out.Committed, c.log.slice(c.applied+1, c.hardState.Commit, len(c.log.entries))...)
	c.applied = c.hardState.Commit
}

func (c *Core) setCommit(index uint64) {
	if index > c.hardState.Commit {
		c.hardState.Commit = index
		c.emitHardState()
	}
}

// Entries returns the entries after the last snapshot. The caller must not
// modify them.
func (c *Core) Entries() []Entry { return c.log.entries[:len(c.log.entries):len(c.log.entries)] }
