package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"baobabpaddle/fleet/raft"
)

// Intervals of gossip and expiry.
const (
	// founderSelectionDelay is how long the seed that selects the founding members
	// collects peers first. Controllers start within a third of a second of each
	// other.
	founderSelectionDelay = 900 * time.Millisecond
	// silentSeedDelay is how long the founding members are not selected while a seed has not
	// answered: it may know of a group. After that a majority of the seeds is enough.
	silentSeedDelay = 5 * time.Second
	// fewDisksDelay is how long the founding members are not selected while fewer controllers with an
	// empty disk are known than the group needs: the others may hold replicas.
	fewDisksDelay = 10 * time.Second
	// seedContactTime is how long another seed doesn't select the founding members after the
	// last contact with one that would.
	seedContactTime = 2 * time.Second
	// joiningGossipInterval and steadyGossipInterval are the times between
	// rounds of gossip before and after this controller knows the group and,
	// if it has a disk, is a member.
	joiningGossipInterval = 150 * time.Millisecond
	steadyGossipInterval  = time.Second
	// peerExpiry is how long a peer is kept without direct contact. Members of
	// the group stay known through the group.
	peerExpiry = 30 * time.Second
)

// Controller describes a controller to its peers.
type Controller struct {
	// Address is where the fleet's other processes reach it.
	Address string
	// OperatorAddress is where operators reach it.
	OperatorAddress string
	// HasDisk is true when it can hold a replica.
	HasDisk bool
	// FirstStart is true when the whole fleet starts for the first time. A controller
	// with a disk states it once it has found its data folder empty.
	FirstStart bool
	// ReplicaID is the identifier of its replica; zero means none.
	ReplicaID uint64
}

// Group is a controller's view of the replicated group.
type Group struct {
	Members raft.Members
	// Index is the log index up to which Members is known. The view with the
	// higher index is the newer one.
	Index uint64
	// Leader is the address of the newest known leader, or "" if none is known.
	Leader string
	// LeaderTerm is the term in which Leader leads or led.
	LeaderTerm uint64
}

// Gossip is the message that controllers exchange.
type Gossip struct {
	Self  Controller
	Peers []Controller
	// Group has no members before they are known, and index zero while they are to found it.
	Group Group
}

// Step is the next action of a controller without a replica.
type Step uint8

// The steps.
const (
	// Wait means that too little is known yet.
	Wait Step = iota
	// Bootstrap means creating the group as one of the members that Founding returns.
	Bootstrap
	// Join means asking the leader to be added as a learner.
	Join
)

// peerRecord is what is known of one peer.
type peerRecord struct {
	Controller
	lastContact time.Time
	direct      bool // the peer itself was in contact
}

// Core is one controller's view of its peers and of the group. It is not safe for
// concurrent use.
type Core struct {
	self     Controller
	examined bool // it is known whether the data folder holds a replica
	// hadReplica reports whether this controller has had a replica since it started that may have
	// voted.
	hadReplica bool
	seeds      []string
	firstSeeds []string // the seeds at the start
	voters     int      // of a group that tolerates what it should
	random     *rand.Rand
	peers      map[string]peerRecord
	expired    map[string]time.Time // when peers were removed for lack of contact
	// founding are the members that found the group; empty before they are selected.
	founding raft.Members
	group    Group
	// ownGroup identifies the group of this controller's replica, and ownFormed reports whether
	// there has been a vote in it, as far as the replica knows.
	ownGroup  uint64
	ownFormed bool
	started   time.Time
	gossipDue time.Time
}

// New returns the core of a controller that starts now. seeds are the addresses
// of controllers, and may include its own. voters is the number of voters that a group
// needs for what it tolerates. Random draws the identifiers of the replicas that found the
// group.
func New(self Controller, seeds []string, voters int, random *rand.Rand, now time.Time) *Core {
	return &Core{
		self:       self,
		seeds:      slices.Clone(seeds),
		firstSeeds: slices.Clone(seeds),
		voters:     voters,
		random:     random,
		peers:      make(map[string]peerRecord),
		expired:    make(map[string]time.Time),
		started:    now,
		gossipDue:  now,
	}
}

// SetSeeds replaces the seed addresses.
func (c *Core) SetSeeds(seeds []string) { c.seeds = slices.Clone(seeds) }

// SetReplica sets the identifier of this controller's replica; zero means that the data
// folder holds none.
func (c *Core) SetReplica(id uint64) {
	c.self.ReplicaID = id
	c.examined = true
	c.hadReplica = c.hadReplica || id != 0
	if id == 0 {
		c.ownGroup, c.ownFormed = 0, false
	}
}

// SetGroup updates the group from this controller's own replica, whose term is the leader's;
// it is zero before any vote. Members with a lower index are ignored, as is a leader of a lower
// term, and a known leader is kept if g has none.
func (c *Core) SetGroup(g Group) {
	c.ownGroup = g.Members.Group
	c.ownFormed = c.ownFormed || g.Leader != "" || g.LeaderTerm > 0
	if c.unformed() && len(c.founding.List) == 0 {
		c.founding = g.Members // known from before a restart
	}
	if c.stranded() {
		return
	}
	if g.Index >= c.group.Index {
		c.group.Members = g.Members
		c.group.Index = g.Index
	}
	c.setLeader(g)
}

// setLeader takes a group's leader if it is not of an older term than the known one. The
// index of the members tells nothing about the age of the leader: replicas know the same
// members up to different indexes.
func (c *Core) setLeader(g Group) {
	if g.Leader != "" && g.LeaderTerm >= c.group.LeaderTerm {
		c.group.Leader = g.Leader
		c.group.LeaderTerm = g.LeaderTerm
	}
}

// groupKnown reports whether a group is known that has been founded. At the first start it has
// been once it has had a leader.
func (c *Core) groupKnown() bool {
	return len(c.group.Members.List) > 0 && (!c.self.FirstStart && !c.unformed() || c.group.Leader != "")
}

// Group returns the newest known view of the replicated group.
func (c *Core) Group() Group { return c.group }

// Gossip returns the message to send to peers.
func (c *Core) Gossip() Gossip {
	g := Gossip{
		Self:  c.stated(),
		Group: c.group,
	}
	if !c.groupKnown() {
		g.Group = Group{
			Members: c.founding,
		}
	}
	for _, address := range slices.Sorted(maps.Keys(c.peers)) {
		g.Peers = append(g.Peers, c.peers[address].Controller)
	}
	return g
}

// stated returns what this controller states of itself.
func (c *Core) stated() Controller {
	self := c.self
	self.FirstStart = self.FirstStart && (c.examined || !self.HasDisk)
	if c.unformed() {
		self.ReplicaID = 0 // it is no sign of a group yet
	}
	return self
}

// Merge updates the view from a peer's gossip, and records contact with its
// sender. It keeps the preferred one of two selections of founding members; of two views of the
// members, the one with the higher index; of two leaders, the one with the higher term.
func (c *Core) Merge(now time.Time, g Gossip) {
	c.recordPeer(now, g.Self, true)
	for _, k := range g.Peers {
		c.recordPeer(now, k, false)
	}
	if g.Group.Index == 0 && c.prefers(g.Group.Members) {
		c.founding = g.Group.Members
	}
	if g.Group.Index > c.group.Index || g.Group.Leader != "" && !c.groupKnown() {
		c.group.Members = g.Group.Members
		c.group.Index = g.Group.Index
	}
	c.setLeader(g.Group)
}

// recordPeer records a peer. direct is true when the description comes from the
// peer itself; it then replaces what others say of it. Others cannot bring back a
// peer that has expired here, since they may not have noticed its loss yet.
func (c *Core) recordPeer(now time.Time, k Controller, direct bool) {
	if k.Address == "" || k.Address == c.self.Address {
		return
	}
	before, ok := c.peers[k.Address]
	if ok && !direct {
		return
	}
	if direct {
		delete(c.expired, k.Address)
	} else if _, ok := c.expired[k.Address]; ok {
		return
	}
	c.peers[k.Address] = peerRecord{
		Controller:  k,
		lastContact: now,
		direct:      direct || before.direct,
	}
}

// GossipTargets returns the addresses to exchange gossip with now: seeds, peers
// and members. It returns nil before the gossip interval has passed. Each round
// also expires peers and selects the founding members, if that is due.
func (c *Core) GossipTargets(now time.Time) []string {
	if now.Before(c.gossipDue) {
		return nil
	}
	interval := steadyGossipInterval
	if !c.settled() {
		interval = joiningGossipInterval
	}
	c.gossipDue = now.Add(interval)
	c.expirePeers(now)
	c.selectFounding(now)
	targets := make(map[string]bool)
	for _, s := range c.seeds {
		targets[s] = true
	}
	for address := range c.peers {
		targets[address] = true
	}
	for _, m := range c.group.Members.List {
		targets[m.Address] = true
	}
	delete(targets, c.self.Address)
	return slices.Sorted(maps.Keys(targets))
}

// Deadline returns the time from which GossipTargets returns addresses.
func (c *Core) Deadline() time.Time { return c.gossipDue }

// settled reports whether this controller knows the group and, if it has a disk,
// is a member of it.
func (c *Core) settled() bool {
	if !c.groupKnown() {
		return false
	}
	if !c.self.HasDisk {
		return true
	}
	return c.IsMember()
}

// expirePeers removes peers without recent contact. It remembers them for twice
// peerExpiry, so that peers which still list them do not bring them back.
func (c *Core) expirePeers(now time.Time) {
	for address, k := range c.peers {
		if now.Sub(k.lastContact) > peerExpiry {
			delete(c.peers, address)
			c.expired[address] = now
		}
	}
	for address, at := range c.expired {
		if now.Sub(at) > 2*peerExpiry {
			delete(c.expired, address)
		}
	}
}

// Next returns the next step of this controller, which must have a disk and no
// replica.
func (c *Core) Next() Step {
	if c.groupKnown() {
		return Join
	}
	_, ok := c.founds()
	if ok && c.self.FirstStart && !c.hadReplica && !c.replicaKnown() {
		return Bootstrap
	}
	return Wait
}

// JoinTargets returns the addresses of the controllers that this one asks to be added to
// the group: the leader first, then the other members, since the leader may be another
// one by now.
func (c *Core) JoinTargets() []string {
	var out []string
	if c.group.Leader != "" {
		out = append(out, c.group.Leader)
	}
	for _, m := range c.group.Members.List {
		for _, address := range []string{m.Address, c.ReplicaAddress(m.ID)} {
			if address != "" && !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	return out
}

// ReplicaAddress returns the address at which the replica id states to be, which differs
// from that in the membership while its host has moved, or "" if that is not known.
func (c *Core) ReplicaAddress(id uint64) string {
	if id == c.self.ReplicaID {
		return c.self.Address
	}
	newest, address := time.Time{}, ""
	for a, k := range c.peers {
		if k.ReplicaID == id && k.direct && k.lastContact.After(newest) {
			newest, address = k.lastContact, a
		}
	}
	return address
}

// IsMember reports whether this controller's replica is a member at its address.
func (c *Core) IsMember() bool {
	m, ok := c.group.Members.Find(c.self.ReplicaID)
	return ok && m.Address == c.self.Address
}

// Removed reports whether this controller's replica was removed from the group, or was to
// found another one than has been founded or is founded by now. It can return only under a new
// identifier then. The replica is to be stopped, and Leave tells what follows.
func (c *Core) Removed() bool { return c.removed() || c.superseded() }

// removed reports whether the replica is of no use, whatever it has voted for.
func (c *Core) removed() bool {
	return c.self.ReplicaID != 0 && (slices.Contains(c.group.Members.Removed, c.self.ReplicaID) || c.stranded())
}

// Leave reports whether the data folder of a replica that has stopped in a term, since Removed
// returned true, is to be erased. A replica that has taken part in a vote since must start
// again.
func (c *Core) Leave(term uint64) bool {
	removed := c.removed()
	if !removed && term > 0 {
		return false
	}
	c.SetReplica(0)
	c.hadReplica = removed
	return true
}
