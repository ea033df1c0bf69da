package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/raft"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const tick = 10 * time.Millisecond

// fleet simulates several controllers that exchange gossip without a network.
type fleet struct {
	now        time.Time
	cores      map[string]*Core
	startTimes map[string]time.Time
	// founders are the controllers that have a replica of a group that they found, by the
	// identifier of the group. A group has formed when a majority of its members has.
	founders map[uint64][]string
	members  map[uint64]raft.Members
	formed   []raft.Members
	leaders  map[uint64]string // of the groups that have formed
	// lostFrom is when a controller is lost for good. Cut reports whether two controllers
	// can't reach each other now; nil means that all can.
	// FrozenTill is when a controller goes on after a pause.
	lostFrom   map[string]time.Time
	frozenTill map[string]time.Time
	cut        func(a, b string) bool
}

// groupVoters is the number of voters that the groups need.
const groupVoters = 3

func address(n int) string { return fmt.Sprintf("10.0.0.%d:7400", n) }

// newFleet returns a fleet in which the first controllers, withoutDisk in number, have no
// disk and the next ones, withDisk in number, have one. firstStart is the FirstStart of
// all of them.
func newFleet(withDisk, withoutDisk int, seeds []string, firstStart bool) *fleet {
	f := &fleet{
		now:        epoch,
		cores:      make(map[string]*Core),
		startTimes: make(map[string]time.Time),
		founders:   make(map[uint64][]string),
		members:    make(map[uint64]raft.Members),
		leaders:    make(map[uint64]string),
		lostFrom:   make(map[string]time.Time),
		frozenTill: make(map[string]time.Time),
	}
	for n := 1; n <= withDisk+withoutDisk; n++ {
		// Start times are spread over 0.3 s.
		f.startTimes[address(n)] = epoch.Add(time.Duration(n*37%300) * time.Millisecond)
		f.cores[address(n)] = New(Controller{
			Address:    address(n),
			HasDisk:    n > withoutDisk,
			FirstStart: firstStart,
		}, seeds, groupVoters, rand.New(rand.NewPCG(uint64(n), 1)), f.startTimes[address(n)])
	}
	return f
}

// run advances the simulation by span.
func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(tick) {
		for a, c := range f.cores {
			if !f.up(a) {
				continue
			}
			for _, target := range c.GossipTargets(f.now) {
				other := f.cores[target]
				if other == nil || !f.up(target) || f.cut != nil && f.cut(a, target) {
					continue
				}
				request := c.Gossip()
				request.Group = Group{}
				other.Merge(f.now, request)
				c.Merge(f.now, other.Gossip())
			}
			f.act(a, c)
		}
	}
}

// up reports whether a controller runs.
func (f *fleet) up(a string) bool {
	lostAt, lost := f.lostFrom[a]
	return !f.now.Before(f.startTimes[a]) && (!lost || f.now.Before(lostAt)) && !f.now.Before(f.frozenTill[a])
}

// form lets the group form in which a majority of the running founders can reach each other.
func (f *fleet) form(members raft.Members) {
	for _, leader := range f.founders[members.Group] {
		var reached []string
		for _, a := range f.founders[members.Group] {
			if f.up(leader) && f.up(a) && (a == leader || f.cut == nil || !f.cut(leader, a)) {
				reached = append(reached, a)
			}
		}
		if len(reached) < members.Quorum() {
			continue
		}
		if f.leaders[members.Group] == "" {
			f.leaders[members.Group] = leader
			f.formed = append(f.formed, members)
		}
		for _, a := range reached {
			f.cores[a].SetGroup(Group{
				Members:    members,
				Index:      1,
				Leader:     f.leaders[members.Group],
				LeaderTerm: 1,
			})
		}
		return
	}
}

// act takes the next step of a controller that has a disk but no replica.
func (f *fleet) act(a string, c *Core) {
	if group := c.ownGroup; c.Removed() && c.Leave(0) { // its data folder is erased
		f.founders[group] = slices.DeleteFunc(f.founders[group], func(other string) bool { return other == a })
	}
	if c.self.ReplicaID != 0 && c.unformed() {
		f.form(f.members[c.ownGroup])
		return
	}
	if !c.self.HasDisk || c.self.ReplicaID != 0 {
		return
	}
	c.SetReplica(0) // its data folder is empty
	switch c.Next() {
	case Bootstrap:
		members, id := c.Founding()
		f.founders[members.Group] = append(f.founders[members.Group], a)
		f.members[members.Group] = members
		c.SetReplica(id)
		c.SetGroup(Group{
			Members: members,
			Index:   1,
		})
	case Join:
		c.SetReplica(uint64(100 + len(a)))
	}
}

// TestOneFounder starts fleets whose seeds all have disks, have none, or are
// mixed: exactly one controller with a disk bootstraps the group, and all others
// with a disk join it.
func TestOneFounder(t *testing.T) {
	for name, seeds := range map[string][]string{
		"seeds without disks":   {address(3), address(1), address(2)},
		"seeds with disks":      {address(6), address(5), address(4)},
		"some seeds with disks": {address(2), address(5), address(3)},
		"one seed":              {address(2)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, 3, seeds, true)
			f.run(3 * time.Second)
			is.Equal(len(f.founders), 1)
			is.Equal(len(f.formed), 1)
			for a, c := range f.cores {
				is.Equal(c.Group().Leader, f.leaders[f.formed[0].Group]) // all know the leader
				is.Equal(c.self.ReplicaID != 0, c.self.HasDisk)
				is.Equal(len(c.Addresses()), 6)
				_ = a
			}
		})
	}
}

// TestNoFounderAfterFirstStart guards against a second, empty group: a fleet that
// has started before and comes back with empty disks must not bootstrap one.
func TestNoFounderAfterFirstStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 0, []string{address(1), address(2), address(3)}, false)
	f.run(5 * time.Second)
	is.Equal(len(f.founders), 0)
}

// TestLateStarterJoins guards against a second group: a controller that starts
// late with FirstStart set must join the group that exists by then.
func TestLateStarterJoins(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 0, []string{address(1), address(2), address(3)}, true)
	f.startTimes[address(1)] = epoch.Add(4 * time.Second)
	f.cores[address(1)] = New(Controller{
		Address:    address(1),
		HasDisk:    true,
		FirstStart: true,
	}, []string{address(1), address(2), address(3)}, groupVoters, rand.New(rand.NewPCG(1, 1)), f.startTimes[address(1)])
	second := f.cores[address(2)]
	second.founding = second.newMembers([]string{address(2)})
	f.run(8 * time.Second)
	is.Equal(len(f.formed), 1)
	is.Equal(f.founders[f.formed[0].Group], []string{address(2)})
	is.True(f.cores[address(1)].self.ReplicaID != 0)
}

// TestRemovedIsNoticed checks that gossip tells a controller of the removal of its
// replica.
func TestRemovedIsNoticed(t *testing.T) {
	is := is.New(t)
	c := New(Controller{
		Address:   address(1),
		HasDisk:   true,
		ReplicaID: 7,
	}, nil, groupVoters, nil, epoch)
	is.True(!c.Removed())
	c.Merge(epoch, Gossip{
		Self: Controller{
			Address: address(2),
		},
		Group: Group{
			Members: raft.Members{
				Removed: []uint64{7},
			},
			Index: 9,
		},
	})
	is.True(c.Removed())
}

// TestLostControllerExpires guards against peers that stay known for good because
// controllers keep telling each other of them.
func TestLostControllerExpires(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 2, []string{address(1), address(2), address(3)}, true)
	f.run(5 * time.Second)
	gone := address(2) // has no disk
	delete(f.cores, gone)
	f.run(3 * peerExpiry)
	for a, c := range f.cores {
		for _, known := range c.Addresses() {
			if known == gone {
				t.Errorf("%s still lists the lost controller %s", a, gone)
			}
		}
	}
	is.Equal(len(f.cores), 5)
}
