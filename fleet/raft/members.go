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

// Voters returns the number of voting members, without one that is being replaced.
func (m *Members) Voters() int { return len(m.voters(m.Leaving)) }

// voters returns the voting members without one of them.
func (m *Members) voters(without uint64) []uint64 {
	var out []uint64
	for _, member := range m.List {
		if member.Voter && member.ID != without {
			out = append(out, member.ID)
		}
	}
	return out
}

// Quorum returns the number of voters that make a majority.
func (m *Members) Quorum() int { return m.Voters()/2 + 1 }

// IsVoter reports whether decisions ask the member id.
func (m *Members) IsVoter(id uint64) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// Majority reports whether has holds for a majority of the voters and, during a
// replacement, also for one of the voters before it.
func (m *Members) Majority(has func(id uint64) bool) bool {
	value := func(id uint64) uint64 {
		if has(id) {
			return 1
		}
		return 0
	}
	return m.MajorityValue(value) > 0
}

// MajorityValue returns the highest value that a majority of the voters has reached and,
// during a replacement, also one of the voters before it. It returns 0 without voters.
func (m *Members) MajorityValue(value func(id uint64) uint64) uint64 {
	reached := majorityValue(m.voters(m.Leaving), value)
	if m.Leaving != 0 {
		reached = min(reached, majorityValue(m.voters(m.Joining), value))
	}
	return reached
}

func majorityValue(voters []uint64, value func(id uint64) uint64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, len(voters))
	for i, id := range voters {
		values[i] = value(id)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Clone returns a deep copy of the membership.
func (m *Members) Clone() Members {
	return Members{
		List:    slices.Clone(m.List),
		Removed: slices.Clone(m.Removed),
		Leaving: m.Leaving,
		Joining: m.Joining,
		Group:   m.Group,
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

// Admit returns the membership in which the replica id is a member at an address: a
// learner if it was none. Another voter at the address of a new replica has lost its disk
// and is marked as superseded; it stays a voter until the new replica can replace it.
// Another learner there is removed. A member that has moved supersedes nobody, since the
// member at its new address may have moved, too. Admit returns ErrMemberExists if nothing
// changes and ErrMemberRemoved for an identifier that once belonged to the group.
func (m *Members) Admit(id uint64, address string) (Members, error) {
	if slices.Contains(m.Removed, id) {
		return Members{}, ErrMemberRemoved
	}
	next := m.Clone()
	if i := slices.IndexFunc(next.List, func(x Member) bool { return x.ID == id }); i >= 0 {
		if next.List[i].Address == address {
			return Members{}, ErrMemberExists
		}
		next.List[i].Address = address
		next.List[i].Superseded = false
		return next, nil
	}
	next.List = slices.DeleteFunc(next.List, func(x Member) bool {
		lost := x.Address == address && !x.Voter
		if lost {
			next.Removed = append(next.Removed, x.ID)
		}
		return lost
	})
	for i := range next.List {
		next.List[i].Superseded = next.List[i].Superseded || next.List[i].Address == address
	}
	return next.WithLearner(id, address)
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

// Replace returns the membership in which the learner successor replaces the voter id,
// which still votes. Complete ends the replacement. It returns ErrMemberUnknown if one of
// them is missing.
func (m *Members) Replace(id, successor uint64) (Members, error) {
	if !m.IsVoter(id) {
		return Members{}, ErrMemberUnknown
	}
	next, err := m.WithVoter(successor)
	if err != nil {
		return Members{}, err
	}
	next.Leaving = id
	next.Joining = successor
	return next, nil
}

// Complete returns the membership after a replacement, without the voter that leaves.
func (m *Members) Complete() (Members, error) {
	next := m.Clone()
	next.Leaving = 0
	next.Joining = 0
	return next.Without(m.Leaving)
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
