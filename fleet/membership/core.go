package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"baobabpaddle/fleet/raft"
)

// Timings of a Core.
const (
	// founderSelectionDelay is how long the seed that names the founder collects
	// controllers, which start within a third of a second of each other.
	founderSelectionDelay = 900 * time.Millisecond
	// joiningGossipInterval and restInterval are how often others are greeted before
	// and after this controller has found its place.
	joiningGossipInterval = 150 * time.Millisecond
	steadyGossipInterval  = time.Second
	// peerExpiry is how long a controller that is no member is remembered
	// without being heard.
	peerExpiry = 30 * time.Second
)

// Controller is what a controller tells of itself.
type Controller struct {
	// Address is where the fleet's processes reach it.
	Address string
	// OperatorAddress is where operators reach it.
	OperatorAddress string
	// HasDisk tells that it may hold a replica.
	HasDisk bool
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
	// ReplicaID is the identifier of its replica; zero when it has none.
	ReplicaID uint64
}

// Group is what is known of the replicated group.
type Group struct {
	Members raft.Members
	// Index is the place in the log up to which Members is known.
	Index uint64
	// Leader is the leader's address, or empty.
	Leader string
}

// Gossip is what controllers tell each other.
type Gossip struct {
	Self  Controller
	Peers []Controller
	// Founder is the address of the founding controller, once it is named.
	Founder string
	Group   Group
}

// Step is what a controller without a replica does next.
type Step uint8

// The steps.
const (
	// Wait: not enough is known yet.
	Wait Step = iota
	// Bootstrap: start the group with this controller as its only member.
	Bootstrap
	// Join: ask the leader to be added.
	Join
)

type peerRecord struct {
	Controller
	lastContact time.Time
}

// Core is one controller's knowledge of the others.
type Core struct {
	self      Controller
	seeds     []string
	peers     map[string]peerRecord
	expired   map[string]time.Time // when controllers were forgotten
	founder   string
	group     Group
	started   time.Time
	gossipDue time.Time
}

// New returns the core of a controller that starts now. Seeds are addresses of
// controllers, its own possibly among them.
func New(self Controller, seeds []string, now time.Time) *Core {
	return &Core{
		self:      self,
		seeds:     slices.Clone(seeds),
		peers:     make(map[string]peerRecord),
		expired:   make(map[string]time.Time),
		started:   now,
		gossipDue: now,
	}
}

// SetSeeds replaces the seeds.
func (c *Core) SetSeeds(seeds []string) { c.seeds = slices.Clone(seeds) }

// SetReplica tells which replica this controller holds now; zero is none.
func (c *Core) SetReplica(id uint64) { c.self.ReplicaID = id }

// SetGroup takes the membership as the own replica knows it.
func (c *Core) SetGroup(g Group) {
	if g.Index >= c.group.Index {
		leader := g.Leader
		if leader == "" {
			leader = c.group.Leader
		}
		c.group = g
		c.group.Leader = leader
	}
}

// Group returns what is known of the replicated group.
func (c *Core) Group() Group { return c.group }

// Gossip returns what this controller tells others.
func (c *Core) Gossip() Gossip {
	g := Gossip{
		Self:    c.self,
		Founder: c.founder,
		Group:   c.group,
	}
	for _, address := range slices.Sorted(maps.Keys(c.peers)) {
		g.Peers = append(g.Peers, c.peers[address].Controller)
	}
	return g
}

// Merge takes what another controller tells.
func (c *Core) Merge(now time.Time, g Gossip) {
	c.recordPeer(now, g.Self, true)
	for _, k := range g.Peers {
		c.recordPeer(now, k, false)
	}
	if c.founder == "" {
		c.founder = g.Founder
	}
	if g.Group.Index > c.group.Index || (g.Group.Index == c.group.Index && g.Group.Leader != "") {
		c.group = g.Group
	}
}

// recordPeer remembers a controller. What it says of itself goes before what others
// say of it.
func (c *Core) recordPeer(now time.Time, k Controller, itself bool) {
	if k.Address == "" || k.Address == c.self.Address {
		return
	}
	if _, ok := c.peers[k.Address]; ok && !itself {
		return
	}
	if itself {
		delete(c.expired, k.Address)
	} else if _, ok := c.expired[k.Address]; ok {
		return // others have not forgotten it yet
	}
	c.peers[k.Address] = peerRecord{
		Controller:  k,
		lastContact: now,
	}
}

// GossipTargets returns whom to greet now; nobody before the interval has passed.
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
	c.selectFounder(now)
	set := make(map[string]bool)
	for _, s := range c.seeds {
		set[s] = true
	}
	for address := range c.peers {
		set[address] = true
	}
	for _, m := range c.group.Members.List {
		set[m.Address] = true
	}
	delete(set, c.self.Address)
	return slices.Sorted(maps.Keys(set))
}

// Deadline returns when Due has somebody to greet.
func (c *Core) Deadline() time.Time { return c.gossipDue }

// settled reports whether this controller has found its place.
func (c *Core) settled() bool {
	if len(c.group.Members.List) == 0 {
		return false
	}
	if !c.self.HasDisk {
		return true
	}
	_, ok := c.group.Members.Find(c.self.ReplicaID)
	return ok
}

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

// selectFounder names the founder, when this controller is the seed that does.
func (c *Core) selectFounder(now time.Time) {
	if c.founder != "" || !c.self.FirstStart || len(c.group.Members.List) > 0 ||
		now.Sub(c.started) < founderSelectionDelay || len(c.seeds) == 0 ||
		slices.MinFunc(c.seeds, compareAddresses) != c.self.Address {
		return
	}
	var candidates []string
	if c.self.HasDisk {
		candidates = append(candidates, c.self.Address)
	}
	for _, k := range c.peers {
		if k.ReplicaID != 0 {
			return // a group exists already
		}
		if k.HasDisk && k.FirstStart {
			candidates = append(candidates, k.Address)
		}
	}
	if len(candidates) > 0 {
		c.founder = slices.MinFunc(candidates, compareAddresses)
	}
}

// compareAddresses orders addresses by number.
func compareAddresses(a, b string) int {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil {
		if a < b {
			return -1
		}
		if a > b {
			return 1
		}
		return 0
	}
	return x.Compare(y)
}

// Next returns what this controller, which has a disk but no replica, does next.
func (c *Core) Next() Step {
	switch {
	case len(c.group.Members.List) > 0:
		return Join
	case c.self.FirstStart && c.founder == c.self.Address:
		return Bootstrap
	}
	return Wait
}

// Removed reports whether the own replica was removed from the group, so that
// it can only come back under a new identifier.
func (c *Core) Removed() bool {
	return c.self.ReplicaID != 0 && slices.Contains(c.group.Members.Removed, c.self.ReplicaID)
}

// OperatorAddress returns where operators reach the controller at an address,
// or "" when that is not known.
func (c *Core) OperatorAddress(address string) string { return c.peers[address].OperatorAddress }

// Addresses returns the addresses of all known controllers, this one included,
// members first.
func (c *Core) Addresses() []string {
	var out []string
	for _, m := range c.group.Members.List {
		out = append(out, m.Address)
	}
	for _, address := range append(slices.Sorted(maps.Keys(c.peers)), c.self.Address) {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// DiskControllers returns how many controllers with a disk are known, this one
// included.
func (c *Core) DiskControllers() int {
	n := 0
	if c.self.HasDisk {
		n++
	}
	for _, k := range c.peers {
		if k.HasDisk {
			n++
		}
	}
	return n
}
