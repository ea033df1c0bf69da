package raft

// MessageType names the kind of a Message.
type MessageType uint8

// The message types replicas exchange.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgRead
	MsgReadReply
	// MsgTransfer asks a voter to become leader in the sender's place.
	MsgTransfer
)

// EntryKind names what an Entry carries.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop opens a leader's term and carries nothing.
	EntryNoop
	// EntryMembers carries a new Members value.
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
}

// Members is the group's membership, in ascending order of ID. Removed holds
// the identifiers that once belonged to the group and are never taken back.
type Members struct {
	List    []Member `cbor:"1,keyasint" json:"list"`
	Removed []uint64 `cbor:"2,keyasint,omitempty" json:"removed"`
}

// HardState is what a replica must remember across restarts.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   uint64 `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// MustSync reports whether the hard state has to be durable before any message
// leaves, given what is durable already. A higher commit index alone has not.
func (h HardState) MustSync(durable HardState) bool {
	return h.Term != durable.Term || h.Vote != durable.Vote
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// Message is what one replica sends to another.
type Message struct {
	Type     MessageType `cbor:"1,keyasint"`
	From     uint64      `cbor:"2,keyasint"`
	To       uint64      `cbor:"3,keyasint"`
	Term     uint64      `cbor:"4,keyasint"`
	LogTerm  uint64      `cbor:"5,keyasint,omitempty"`
	Index    uint64      `cbor:"6,keyasint,omitempty"`
	Commit   uint64      `cbor:"7,keyasint,omitempty"`
	Entries  []Entry     `cbor:"8,keyasint,omitempty"`
	Reject   bool        `cbor:"9,keyasint,omitempty"`
	Hint     uint64      `cbor:"10,keyasint,omitempty"`
	Context  uint64      `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot   `cbor:"12,keyasint,omitempty"`
	// Transfer marks a vote that the leader itself has asked for.
	Transfer bool `cbor:"13,keyasint,omitempty"`
}

// ReadState tells that a linearizable read may be served once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
	// Failed is true when this replica could not confirm the read.
	Failed bool
}

// Output is what the driver has to do after a step.
type Output struct {
	// HardState is not nil when it changed and must be made durable.
	HardState *HardState
	// Entries must be appended to durable storage, replacing any record with
	// the same or a higher index.
	Entries []Entry
	// Snapshot must be made durable and handed to the state machine.
	Snapshot *Snapshot
	// Messages are to be sent; all but MsgAppend only after the above is durable.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
	// Reads are linearizable reads that were confirmed or failed.
	Reads []ReadState
}

// Empty reports whether the output asks for nothing.
func (o *Output) Empty() bool {
	return o.HardState == nil && len(o.Entries) == 0 && o.Snapshot == nil &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && len(o.Reads) == 0
}
