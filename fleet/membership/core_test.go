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

// fleet runs the cores of several controllers without a network in between.
type fleet struct {
	now      time.Time
	cores    map[string]*Core
	at       map[string]time.Time // when each starts
	founders []string
}

func address(n int) string { return fmt.Sprintf("10.0.0.%d:7400", n) }

func newFleet(disks, others int, seeds []string, first bool) *fleet {
	f := &fleet{
		now:   epoch,
		cores: make(map[string]*Core),
		at:    make(map[string]time.Time),
	}
	for n := 1; n <= disks+others; n++ {
		// The later ones start up to 0.3 s after the first.
		f.at[address(n)] = epoch.Add(time.Duration(n*37%300) * time.Millisecond)
		f.cores[address(n)] = New(Controller{
			Address:    address(n),
			HasDisk:    n > others,
			FirstStart: first,
		}, seeds, f.at[address(n)])
	}
	return f
}

func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(tick) {
		for a, c := range f.cores {
			if f.now.Before(f.at[a]) {
				continue
			}
			for _, target := range c.GossipTargets(f.now) {
				other := f.cores[target]
				if other == nil || f.now.Before(f.at[target]) {
					continue
				}
				other.Merge(f.now, c.Gossip())
				c.Merge(f.now, other.Gossip())
			}
			f.act(a, c)
		}
	}
}

func (f *fleet) act(a string, c *Core) {
	if !c.self.HasDisk || c.self.ReplicaID != 0 {
		return
	}
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

// TestOneFounder starts fleets whose seeds have disks, have none, or have some:
// exactly one controller with a disk founds the group, all others with a disk join.
func TestOneFounder(t *testing.T) {
	for name, seeds := range map[string][]string{
		"seeds without disks": {address(3), address(1), address(2)},
		"seeds with disks":    {address(6), address(5), address(4)},
		"some of both":        {address(2), address(5), address(3)},
		"one seed":            {address(2)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, 3, seeds, true)
			f.run(3 * time.Second)
			is.Equal(len(f.founders), 1)
			for a, c := range f.cores {
				is.Equal(c.Group().Leader, f.founders[0]) // all know the group
				is.Equal(c.self.ReplicaID != 0, c.self.HasDisk)
				is.Equal(len(c.Addresses()), 6)
				_ = a
			}
		})
	}
}

// TestNoFounderAfterFirstStart lets a fleet come back whose disks are all empty, but which
// does not start for the first time: nobody may found a new group.
func TestNoFounderAfterFirstStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 0, []string{address(1), address(2), address(3)}, false)
	f.run(5 * time.Second)
	is.Equal(len(f.founders), 0)
}

// TestLateStarterJoins starts a controller that believes in the first start while
// the group is there already.
func TestLateStarterJoins(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 0, []string{address(1), address(2), address(3)}, true)
	f.at[address(1)] = epoch.Add(4 * time.Second)
	f.cores[address(1)] = New(Controller{
		Address:    address(1),
		HasDisk:    true,
		FirstStart: true,
	}, []string{address(1), address(2), address(3)}, f.at[address(1)])
	f.cores[address(2)].founder = address(2)
	f.run(8 * time.Second)
	is.Equal(f.founders, []string{address(2)})
	is.True(f.cores[address(1)].self.ReplicaID != 0)
}

// TestRemovedIsNoticed tells a controller of its own removal.
func TestRemovedIsNoticed(t *testing.T) {
	is := is.New(t)
	c := New(Controller{
		Address:   address(1),
		HasDisk:   true,
		ReplicaID: 7,
	}, nil, epoch)
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

// TestLostControllerExpires loses a controller that is no member: after a while
// nobody knows it any more, though all tell each other of those that they know.
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
				t.Errorf("%s still knows %s", a, gone)
			}
		}
	}
	is.Equal(len(f.cores), 5)
}
