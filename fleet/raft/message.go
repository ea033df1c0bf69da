package raft

// MessageType is the kind of a Message.
type MessageType uint8

// The message types replicas exchange.
const (
	// MsgPreVote asks whether a vote would be granted in the next term.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers a MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote in the sender's new term.
	MsgVote
	// MsgVoteReply answers a MsgVote.
	MsgVoteReply
	// MsgAppend carries entries or, without any, a heartbeat.
	MsgAppend
	// MsgAppendReply answers a MsgAppend or a MsgSnapshot.
	MsgAppendReply
	// MsgSnapshot replaces the log of a replica that lacks compacted entries.
	MsgSnapshot
	// MsgRead asks the leader to confirm a linearizable read.
	MsgRead
	// MsgReadReply answers a MsgRead.
	MsgReadReply
	// MsgTransfer asks a voter to become leader in place of the sender.
	MsgTransfer
)

// EntryKind is the kind of an Entry's content.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop starts a leader's term and has no content.
	EntryNoop
	// EntryMembers carries a new membership.
	EntryMembers
)

// Entry is one record of the replicated log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"`
}

// Member is one replica of the group.
type Member struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"`
	Address string `cbor:"2,keyasint" json:"address"`
	Voter   bool   `cbor:"3,keyasint" json:"voter"`
	// Superseded is true once another replica has joined at the address: the member has
	// lost its disk. A superseded voter counts for majorities until it is removed.
	Superseded bool `cbor:"4,keyasint,omitempty" json:"superseded,omitempty"`
}

// Members is the group's membership, in ascending order of ID. Removed holds
// the identifiers of former members; they are never reused.
type Members struct {
	List    []Member `cbor:"1,keyasint" json:"list"`
	Removed []uint64 `cbor:"2,keyasint,omitempty" json:"removed"`
	// Leaving and Joining are the voters of a replacement that is not complete: Joining
	// votes in place of Leaving after it. Until then each decision takes a majority of the
	// voters without Joining and one of those without Leaving (joint consensus, Ongaro and
	// Ousterhout 2014, section 6). A build that does not know the fields takes a majority
	// of all voters, which has a voter in common with each of these.
	Leaving uint64 `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
	Joining uint64 `cbor:"4,keyasint,omitempty" json:"joining,omitempty"`
	// Group identifies the group by one of its first members; zero means that it is not
	// known. Indexes and terms of different groups have nothing in common.
	Group uint64 `cbor:"5,keyasint,omitempty" json:"group,omitempty"`
}

// HardState is what a replica must keep across restarts, apart from its log. Vote is
// the candidate that got the replica's vote in Term; zero means none.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   uint64 `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// MustSync reports whether h must be durable before any message is sent, given
// what is durable already. A higher commit index alone need not be, since a
// restarted replica learns it again from the leader.
func (h HardState) MustSync(durable HardState) bool {
	return h.Term != durable.Term || h.Vote != durable.Vote
}

// Snapshot replaces the log up to and including Index. Data is the state of the
// state machine.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// Message is what one replica sends to another. The meaning of the fields after
// Term depends on the type.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From uint64      `cbor:"2,keyasint"`
	To   uint64      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// LogTerm is the term of the entry at Index in a MsgAppend, a MsgPreVote or a
	// MsgVote.
	LogTerm uint64 `cbor:"5,keyasint,omitempty"`
	// Index is the index of the entry before Entries in a MsgAppend, of the
	// candidate's last entry in a MsgPreVote or MsgVote, up to which the logs match
	// in a MsgAppendReply that does not reject, and the commit index to read at in a
	// MsgReadReply.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// Commit is the leader's commit index in a MsgAppend.
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	// Reject marks a reply that refuses the vote, the append or the read.
	Reject bool `cbor:"9,keyasint,omitempty"`
	// Hint is the highest index that may match the leader's log, in a
	// MsgAppendReply that rejects.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// Context is the leader's latest read sequence, or zero, in a MsgAppend and its
	// reply, and the requester's context in a MsgRead and its reply.
	Context  uint64    `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
	// Transfer marks a vote that the current leader has requested; it is not
	// ignored although a leader is alive.
	Transfer bool `cbor:"13,keyasint,omitempty"`
}

// ReadState is the outcome of a ReadIndex call. Unless it failed, the read may
// be served once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
	// Failed is true when the read could not be confirmed.
	Failed bool
}

// Output is what the driver has to do after a call of Core.
type Output struct {
	// HardState must be made durable; nil means unchanged.
	HardState *HardState
	// Entries must be appended to durable storage, replacing any record with
	// the same or a higher index.
	Entries []Entry
	// Snapshot must be made durable and handed to the state machine.
	Snapshot *Snapshot
	// Messages are to be sent; those that Core.BeforeSync doesn't name only after the above
	// is durable.
	Messages []Message
	// Committed entries must be applied to the state machine in order.
	Committed []Entry
	// Reads are the linearizable reads that were confirmed or failed.
	Reads []ReadState
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.HardState == nil && len(o.Entries) == 0 && o.Snapshot == nil &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}
