package raft

import "github.com/ansel1/merry/v2"

// Errors returned by Core and Members.
var (
	ErrNotLeader          = merry.Sentinel("not the leader")
	ErrChangePending      = merry.Sentinel("another membership change is in progress")
	ErrMemberExists       = merry.Sentinel("the member exists already")
	ErrMemberRemoved      = merry.Sentinel("the member was removed and its identifier is never taken back")
	ErrMemberUnknown      = merry.Sentinel("no such member")
	ErrLastVoter          = merry.Sentinel("the last voter cannot be removed")
	ErrTooManyUncommitted = merry.Sentinel("too many entries wait for a quorum")
)
