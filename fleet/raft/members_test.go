package raft

import (
	"errors"
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
