package raft

import (
	"errors"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestMembersChanges checks quorums and errors of additions, promotions and
// removals.
func TestMembersChanges(t *testing.T) {
	is := is.New(t)
	m := Members{
		List: []Member{
			{
				ID:    1,
				Voter: true,
			},
		},
	}
	_, err := m.Without(1)
	is.True(errors.Is(err, ErrLastVoter))
	m, err = m.WithLearner(2, "127.0.0.1:1")
	is.NoErr(err)
	is.Equal(m.Quorum(), 1) // a learner does not vote
	_, err = m.WithLearner(2, "127.0.0.1:1")
	is.True(errors.Is(err, ErrMemberExists))
	m, err = m.WithVoter(2)
	is.NoErr(err)
	is.Equal(m.Quorum(), 2)
	m, err = m.Without(1)
	is.NoErr(err)
	_, err = m.WithLearner(1, "127.0.0.1:1")
	is.True(errors.Is(err, ErrMemberRemoved)) // identifiers are never reused
	_, err = m.WithVoter(9)
	is.True(errors.Is(err, ErrMemberUnknown))
}

// TestReplacementNeedsBothMajorities guards against decisions during a replacement that
// the voters before or after it alone have made.
func TestReplacementNeedsBothMajorities(t *testing.T) {
	is := is.New(t)
	members := Members{}
	for id := uint64(1); id <= 4; id++ {
		members.List = append(members.List, Member{
			ID:    id,
			Voter: id <= 3,
		})
	}
	joint, err := members.Replace(3, 4)
	is.NoErr(err)
	for name, c := range map[string]struct {
		granted  []uint64
		majority bool
	}{
		"both":                          {[]uint64{1, 2}, true},
		"both, with one voter of each":  {[]uint64{1, 3, 4}, true},
		"the voters before only":        {[]uint64{1, 3}, false},
		"the voters after only":         {[]uint64{1, 4}, false},
		"the replica and its successor": {[]uint64{3, 4}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(joint.Majority(func(id uint64) bool { return slices.Contains(c.granted, id) }), c.majority)
		})
	}
	complete, err := joint.Complete()
	is.NoErr(err)
	is.Equal(complete.Removed, []uint64{3})
	is.True(complete.Majority(func(id uint64) bool { return id != 2 }))
}

// TestAdmitKeepsVoterOfLostDisk guards against a group that loses a voter before the new
// replica at its address can vote.
func TestAdmitKeepsVoterOfLostDisk(t *testing.T) {
	is := is.New(t)
	members := Members{
		List: []Member{
			{
				ID:      1,
				Address: "a",
				Voter:   true,
			},
			{
				ID:      2,
				Address: "b",
				Voter:   true,
			},
		},
	}
	first, err := members.Admit(3, "b")
	is.NoErr(err)
	is.Equal(first.Voters(), 2)
	lost, _ := first.Find(2)
	is.True(lost.Superseded)
	second, err := first.Admit(4, "b") // the disk is lost once more
	is.NoErr(err)
	is.Equal(second.Removed, []uint64{3})
	is.Equal(len(second.List), 3)
	_, err = second.Admit(3, "b")
	is.True(errors.Is(err, ErrMemberRemoved))
}
