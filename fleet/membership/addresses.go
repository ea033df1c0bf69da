package membership

import (
	"maps"
	"slices"
	"time"
)

// OperatorAddress returns where operators reach the controller with the given
// address, or "" if that is not known.
func (c *Core) OperatorAddress(address string) string { return c.peers[address].OperatorAddress }

// Addresses returns the addresses of all known controllers: first the members of
// the group, then the other peers in order of address, then this controller.
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

// DiskControllers returns the number of controllers that may have a disk, this one included:
// those that are known to have one, and seeds that are not known yet and may be cut off. A seed that has
// not been heard of for peerExpiry since the start counts as lost.
func (c *Core) DiskControllers(now time.Time) int {
	n := 0
	if c.self.HasDisk {
		n++
	}
	for _, k := range c.peers {
		if k.HasDisk {
			n++
		}
	}
	if now.Sub(c.started) >= peerExpiry {
		return n
	}
	for _, seed := range c.seeds {
		if _, known := c.peers[seed]; !known && seed != c.self.Address {
			n++
		}
	}
	return n
}
