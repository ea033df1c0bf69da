package membership

import (
	"fmt"
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
	founders   []string
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
	}
	for n := 1; n <= withDisk+withoutDisk; n++ {
		// Start times are spread over 0.3 s.
		f.startTimes[address(n)] = epoch.Add(time.Duration(n*37%300) * time.Millisecond)
		f.cores[address(n)] = New(Controller{
			Address:    address(n),
			HasDisk:    n > withoutDisk,
			FirstStart: firstStart,
		}, seeds, groupVoters, f.startTimes[address(n)])
	}
	return f
}

// run advances the simulation by span.
func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(tick) {
		for a, c := range f.cores {
			if f.now.Before(f.startTimes[a]) {
				continue
			}
			for _, target := range c.GossipTargets(f.now) {
				other := f.cores[target]
				if other == nil || f.now.Before(f.startTimes[target]) {
					continue
				}
				other.Merge(f.now, c.Gossip())
				c.Merge(f.now, other.Gossip())
			}
			f.act(a, c)
		}
	}
}

// act takes the next step of a controller that has a disk but no replica.
func (f *fleet) act(a string, c *Core) {
	if !c.self.HasDisk || c.self.ReplicaID != 0 {
		return
	}
	c.SetReplica(0) // its data folder is empty
	switch c.Next() {
	case Bootstrap:
		f.founders = append(f.founders, a)
		c.SetReplica(uint64(len(f.founders)))
		c.SetGroup(Group{
			Members: raft.Members{
				List: []raft.Member{
					{
						ID:      c.self.ReplicaID,
						Address: a,
						Voter:   true,
					},
				},
			},
			Index:  1,
			Leader: a,
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
			for a, c := range f.cores {
				is.Equal(c.Group().Leader, f.founders[0]) // all know the leader
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
	}, []string{address(1), address(2), address(3)}, groupVoters, f.startTimes[address(1)])
	f.cores[address(2)].founder = address(2)
	f.run(8 * time.Second)
	is.Equal(f.founders, []string{address(2)})
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
	}, nil, groupVoters, epoch)
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
