package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/raft"
)

// TestSeedsWithoutDisksFoundNoSecondGroup guards against a second group after a power
// loss: a seed without a disk has nothing to state, and yet it counted as an answer. The
// members of the group are back before, or a little after, silentSeedDelay.
func TestSeedsWithoutDisksFoundNoSecondGroup(t *testing.T) {
	const membersIndex = 40
	for name, c := range map[string]struct {
		seeds []string
		late  time.Duration // when the members are back
	}{
		"no seed has a disk":                  {[]string{address(1), address(2), address(3)}, 2 * time.Second},
		"one seed has a disk":                 {[]string{address(1), address(2), address(5)}, 6 * time.Second},
		"one has a disk, one has lost a disk": {[]string{address(1), address(4), address(5)}, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, 3, c.seeds, true) // controller 4 has lost its disk
			members := raft.Members{}
			for n := 4; n <= 6; n++ {
				members.List = append(members.List, raft.Member{
					ID:      uint64(10 + n),
					Address: address(n),
					Voter:   true,
				})
			}
			for n := 5; n <= 6; n++ {
				f.startTimes[address(n)] = epoch.Add(c.late)
				f.cores[address(n)].SetReplica(uint64(10 + n))
				f.cores[address(n)].SetGroup(Group{
					Members: members,
					Index:   membersIndex,
				})
			}
			f.run(c.late + time.Second)
			is.Equal(len(f.founders), 0)
		})
	}
}
