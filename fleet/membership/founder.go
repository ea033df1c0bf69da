package membership

import (
	"net/netip"
	"slices"
	"time"
)

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

// selectFounder selects the founder after founderSelectionDelay, if this controller
// has the lowest address of the seeds, the fleet starts for the first time, the seeds
// have answered, enough controllers have an empty disk and no group is known. The founder
// is the controller with the lowest address among those that have a disk and start for
// the first time.
func (c *Core) selectFounder(now time.Time) {
	if c.founder != "" || !c.self.FirstStart || len(c.group.Members.List) > 0 ||
		now.Sub(c.started) < founderSelectionDelay || len(c.seeds) == 0 ||
		slices.MinFunc(c.seeds, compareAddresses) != c.self.Address || c.replicaKnown() || !c.seedsAnswered(now) {
		return
	}
	var candidates []string
	if c.self.HasDisk {
		candidates = append(candidates, c.self.Address)
	}
	for _, k := range c.peers {
		if k.HasDisk && k.FirstStart {
			candidates = append(candidates, k.Address)
		}
	}
	if len(candidates) < c.voters && now.Sub(c.started) < fewDisksDelay {
		return
	}
	if len(candidates) > 0 {
		c.founder = slices.MinFunc(candidates, compareAddresses)
	}
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
