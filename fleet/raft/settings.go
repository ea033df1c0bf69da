package raft

import "time"

// Default timings and limits of a Core. See Settings.
const (
	DefaultElectionTimeout   = time.Second
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxAppendEntries  = 256
	DefaultMaxUncommitted    = 8192
)

// Settings configures a Core. ElectionTimeout, HeartbeatInterval,
// MaxAppendEntries and MaxUncommitted take the defaults above when zero.
type Settings struct {
	// ID is the replica's own identifier.
	ID uint64
	// ElectionTimeout is the shortest time without contact with a leader after
	// which a follower stands for election. Each timeout is drawn from one to
	// two times this value. A leader without contact with a quorum for this time
	// steps down.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// MaxAppendEntries bounds the entries of one MsgAppend.
	MaxAppendEntries int
	// MaxUncommitted bounds the entries that are not committed yet; further
	// proposals fail with ErrTooManyUncommitted.
	MaxUncommitted int
	// StartTimeout replaces ElectionTimeout for the first election after a
	// start. A shorter value lets replicas that start together elect a leader
	// soon. It does not disturb a leader that is alive, since pre-votes are
	// refused then. Zero means ElectionTimeout.
	StartTimeout time.Duration
	// MaxVoters bounds the number of voters when the leader manages the
	// membership itself: it keeps an odd number of voters, and the remaining
	// members are learners that replace voters that fall silent. Zero promotes
	// every learner to voter and replaces none.
	MaxVoters int
	// ReplaceAfter is how long a member may be silent. A voter that is silent for
	// longer is replaced by a learner that has caught up, and a learner that is
	// silent for longer is not promoted. It is used when MaxVoters is set.
	ReplaceAfter time.Duration
}

// Restored is the durable state from which a replica starts.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}
