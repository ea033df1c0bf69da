package raft

import "slices"

// Find returns the member with the identifier id, and whether there is one.
func (m *Members) Find(id uint64) (Member, bool) {
	for _, member := range m.List {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voting members.
func (m *Members) Voters() int {
	n := 0
	for _, member := range m.List {
		if member.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that make a majority.
func (m *Members) Quorum() int { return m.Voters()/2 + 1 }

// Clone returns a deep copy of the membership.
func (m *Members) Clone() Members {
	return Members{
		List:    slices.Clone(m.List),
		Removed: slices.Clone(m.Removed),
	}
}

// WithLearner returns the membership with a new learner, a member that receives
// the log but does not vote. It returns ErrMemberExists for a present member
// and ErrMemberRemoved for an identifier that once belonged to the group.
func (m *Members) WithLearner(id uint64, address string) (Members, error) {
	if slices.Contains(m.Removed, id) {
		return Members{}, ErrMemberRemoved
	}
	if _, ok := m.Find(id); ok {
		return Members{}, ErrMemberExists
	}
	next := m.Clone()
	next.List = append(next.List, Member{
		ID:      id,
		Address: address,
		Voter:   false,
	})
	slices.SortFunc(next.List, func(a, b Member) int { return int(int64(a.ID) - int64(b.ID)) })
	return next, nil
}

// WithVoter returns the membership with the member id as a voter. It returns
// ErrMemberUnknown if there is no such member.
func (m *Members) WithVoter(id uint64) (Members, error) {
	next := m.Clone()
	for i := range next.List {
		if next.List[i].ID == id {
			next.List[i].Voter = true
			return next, nil
		}
	}
	return Members{}, ErrMemberUnknown
}

// Without returns the membership without the member id, whose identifier can
// never be added again. It returns ErrMemberUnknown if there is no such member
// and ErrLastVoter if no voter would be left.
func (m *Members) Without(id uint64) (Members, error) {
	if _, ok := m.Find(id); !ok {
		return Members{}, ErrMemberUnknown
	}
	next := m.Clone()
	next.List = slices.DeleteFunc(next.List, func(x Member) bool { return x.ID == id })
	if next.Voters() == 0 {
		return Members{}, ErrLastVoter
	}
	next.Removed = append(next.Removed, id)
	return next, nil
}
