package membership

import (
	"net/netip"
	"slices"
	"time"

	"baobabpaddle/fleet/raft"
)

// replicaIDs is the number of identifiers of which those of founding replicas are drawn.
const replicaIDs = 1 << 48

// maxSelectors is the number of seeds up to which another seed selects the founding members in
// place of one that has fallen silent, in groups of as many voters at least.
const maxSelectors = 3

// seedsAnswered reports whether enough seeds have stated what they hold to exclude that a
// group exists: all of them, or a majority after silentSeedDelay. A controller that has
// lost its disk may start before the members of its group, with settings that still state
// a first start.
func (c *Core) seedsAnswered(now time.Time) bool {
	answered := 0
	for _, seed := range c.seeds {
		k, answers := c.stated(), true
		if seed != c.self.Address {
			k, answers = c.peers[seed].Controller, c.peers[seed].direct
		}
		if answers && (!k.HasDisk || k.FirstStart) {
			answered++
		}
	}
	return answered == len(c.seeds) || (2*answered > len(c.seeds) && now.Sub(c.started) >= silentSeedDelay)
}

// replaceable reports whether another seed selects the founding members if lower ones have
// fallen silent.
func (c *Core) replaceable() bool {
	return len(c.firstSeeds) <= maxSelectors && c.voters >= maxSelectors
}

// isLowest reports whether this controller is the seed with the lowest address.
func (c *Core) isLowest() bool {
	return len(c.firstSeeds) > 0 && slices.MinFunc(c.firstSeeds, compareAddresses) == c.self.Address
}

// selects reports whether this controller selects the founding members: the seed with the
// lowest address does, and another seed in place of lower ones that have fallen silent or have
// been started again since.
func (c *Core) selects(now time.Time) bool {
	if c.isLowest() {
		return true
	}
	if !c.replaceable() || !slices.Contains(c.firstSeeds, c.self.Address) || now.Sub(c.started) < silentSeedDelay {
		return false
	}
	return !slices.ContainsFunc(c.firstSeeds, func(seed string) bool {
		k := c.peers[seed]
		return compareAddresses(seed, c.self.Address) < 0 && k.FirstStart && now.Sub(k.lastContact) < seedContactTime
	})
}

// selectFounding selects the members that found the group after founderSelectionDelay, if
// this controller selects them, the fleet starts for the first time, the seeds have answered,
// enough controllers have an empty disk and no group is known.
//
// Selections of two seeds, which can't reach each other, found one group at most: a controller
// votes in the group of one selection only, and a majority of the members of one selection has a
// controller in common with that of any other. Until it has voted it may change to another
// selection.
func (c *Core) selectFounding(now time.Time) {
	known := len(c.founding.List)
	if known != 0 && known != 2 || !c.self.FirstStart || c.hadReplica && !c.unformed() || c.groupKnown() ||
		now.Sub(c.started) < founderSelectionDelay || !c.selects(now) || c.replicaKnown() || !c.seedsAnswered(now) {
		return
	}
	candidates := c.emptyDisks()
	if len(candidates) < c.voters && now.Sub(c.started) < fewDisksDelay {
		return
	}
	// Two members, both of which are needed, give way to three.
	if members, ok := c.foundingAddresses(candidates); ok && len(members) > known {
		c.founding = c.newMembers(members)
	}
}

// emptyDisks returns the addresses of the controllers that have a disk and start for the
// first time, in order.
func (c *Core) emptyDisks() []string {
	var out []string
	if c.self.HasDisk {
		out = append(out, c.self.Address)
	}
	for _, k := range c.peers {
		if k.HasDisk && k.FirstStart {
			out = append(out, k.Address)
		}
	}
	slices.SortFunc(out, compareAddresses)
	return out
}

// foundingAddresses returns the addresses of the members that found the group, of controllers
// with an empty disk, and whether they can be selected. They are the seeds with a disk first,
// then the others, in order of address and odd in number. Where another seed may select too,
// whose members are two or three seeds with a disk, a majority of the members has a controller
// in common with any majority of the other's:
//
//   - with three such seeds they are the members;
//   - two such seeds are both needed while the third is unknown, and have one more member
//     otherwise;
//   - with one such seed and none unknown no other one selects.
func (c *Core) foundingAddresses(candidates []string) ([]string, bool) {
	var members []string
	unknown := 0
	for _, seed := range c.firstSeeds {
		k, known := c.peers[seed]
		switch {
		case slices.Contains(candidates, seed):
			members = append(members, seed)
		case seed != c.self.Address && (!known || k.HasDisk):
			unknown++
		}
	}
	slices.SortFunc(members, compareAddresses)
	seeds := len(members)
	if !c.isLowest() {
		return members, seeds >= 2
	}
	if c.replaceable() && unknown > 0 && seeds == 2 {
		return members, true
	}
	for _, address := range candidates {
		if !slices.Contains(members, address) {
			members = append(members, address)
		}
	}
	n := min(len(members), c.voters)
	switch {
	case unknown > 0:
		n = min(n, max(seeds, 1))
	case c.replaceable() && seeds >= 2:
		n = min(n, maxSelectors)
	}
	if n%2 == 0 {
		n-- // an even number tolerates no more than the odd one below it
	}
	return members[:max(n, 0)], n > 0
}

// newMembers returns voters at the addresses, with new identifiers.
func (c *Core) newMembers(addresses []string) raft.Members {
	members := raft.Members{}
	for _, address := range addresses {
		id := 1 + c.random.Uint64N(replicaIDs)
		members.List = append(members.List, raft.Member{
			ID:      id,
			Address: address,
			Voter:   true,
		})
		if members.Group == 0 || id < members.Group {
			members.Group = id // as a data folder identifies it
		}
	}
	return members
}

// founds returns this controller's entry among the founding members, and whether there is
// one.
func (c *Core) founds() (raft.Member, bool) {
	for _, m := range c.founding.List {
		if m.Address == c.self.Address {
			return m, true
		}
	}
	return raft.Member{}, false
}

// Founding returns the members that found the group and the identifier of this controller's
// replica among them. It must be called when Next returns Bootstrap.
func (c *Core) Founding() (members raft.Members, id uint64) {
	m, _ := c.founds()
	return c.founding.Clone(), m.ID
}

// unformed reports whether this controller's replica is to found a group and knows of no vote
// yet.
func (c *Core) unformed() bool { return c.ownGroup != 0 && !c.ownFormed }

// prefers reports whether a selection of founding members is to be taken in place of the known
// one: that of more members and then of the group with the lower identifier, until there has
// been a vote.
func (c *Core) prefers(founding raft.Members) bool {
	if len(founding.List) == 0 || c.ownFormed {
		return false
	}
	if len(founding.List) != len(c.founding.List) {
		return len(founding.List) > len(c.founding.List)
	}
	return founding.Group < c.founding.Group
}

// superseded reports whether this controller's replica was to found a group, without any vote,
// and this controller is to found another one by now.
func (c *Core) superseded() bool {
	_, founds := c.founds()
	return c.self.ReplicaID != 0 && c.self.FirstStart && c.unformed() && founds && c.founding.Group != c.ownGroup
}

// stranded reports whether this controller's replica was to found a group, without any vote,
// while another group has been founded. It holds nothing that was accepted.
func (c *Core) stranded() bool {
	return c.unformed() && c.group.Leader != "" && c.group.Members.Group != 0 && c.group.Members.Group != c.ownGroup
}

// compareAddresses orders addresses by IP address and port, and addresses that do
// not parse as text.
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

// replicaKnown reports whether another controller has a replica, so that a group exists.
func (c *Core) replicaKnown() bool {
	for _, k := range c.peers {
		if k.ReplicaID != 0 {
			return true
		}
	}
	return false
}
