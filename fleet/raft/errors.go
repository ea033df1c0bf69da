package raft

import "github.com/ansel1/merry/v2"

// Errors returned by Core and Members. Their texts reach operators and callers.
var (
	// ErrNotLeader is returned by a replica that does not lead the group;
	// nothing was appended.
	ErrNotLeader = merry.Sentinel("not the leader")
	// ErrChangePending is returned while a membership change, or the first
	// entry of the leader's term, is not committed.
	ErrChangePending = merry.Sentinel("another membership change is in progress")
	// ErrMemberExists is returned when a present member is added.
	ErrMemberExists = merry.Sentinel("the member exists already")
	// ErrMemberRemoved is returned when the identifier of a removed member is
	// added again.
	ErrMemberRemoved = merry.Sentinel("the member was removed and its identifier is never taken back")
	// ErrMemberUnknown is returned for an identifier that is not in the group.
	ErrMemberUnknown = merry.Sentinel("no such member")
	// ErrLastVoter is returned when a removal would leave no voter.
	ErrLastVoter = merry.Sentinel("the last voter cannot be removed")
	// ErrTooManyUncommitted is returned when MaxUncommitted entries are in the
	// log without being committed; nothing was appended.
	ErrTooManyUncommitted = merry.Sentinel("too many entries wait for a quorum")
)
