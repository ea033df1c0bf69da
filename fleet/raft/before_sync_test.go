package raft

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// TestAnswersBeforeTheSyncAcknowledgeNothingNew guards against a follower that acknowledges an
// entry, a term or a snapshot before it is durable, and against one that keeps the answer to a
// heartbeat until a slow write has ended.
func TestAnswersBeforeTheSyncAcknowledgeNothingNew(t *testing.T) {
	const term, durableIndex = 2, 3
	entry := func(index, term uint64) Entry {
		return Entry{
			Index: index,
			Term:  term,
		}
	}
	message := func(term, index, logTerm uint64, entries ...Entry) Message {
		return Message{
			Type:    MsgAppend,
			From:    1,
			To:      2,
			Term:    term,
			Index:   index,
			LogTerm: logTerm,
			Entries: entries,
		}
	}
	heartbeat := message(term, durableIndex, term)
	snapshot := Message{
		Type: MsgSnapshot,
		From: 1,
		To:   2,
		Term: term,
		Snapshot: &Snapshot{
			Index: 9,
			Term:  term,
		},
	}
	for name, c := range map[string]struct {
		messages []Message
		want     []bool // of the answers
	}{
		"heartbeat": {
			messages: []Message{heartbeat},
			want:     []bool{true},
		},
		"heartbeat before an entry": {
			messages: []Message{heartbeat, message(term, durableIndex, term, entry(4, term))},
			want:     []bool{true, false},
		},
		"heartbeat after an entry": {
			messages: []Message{message(term, durableIndex, term, entry(4, term)), message(term, 4, term)},
			want:     []bool{false, false},
		},
		"entry that is durable already": {
			messages: []Message{message(term, 2, term, entry(3, term))},
			want:     []bool{true},
		},
		"heartbeat of a new term": {
			messages: []Message{message(term+1, durableIndex, term)},
			want:     []bool{false},
		},
		"heartbeat before a new term": {
			messages: []Message{heartbeat, message(term+1, durableIndex, term)},
			want:     []bool{false, false},
		},
		"entry in place of a durable one": {
			messages: []Message{message(term, 2, term, entry(3, term+1))},
			want:     []bool{false},
		},
		"heartbeat before a snapshot": {
			messages: []Message{heartbeat, snapshot},
			want:     []bool{false, false},
		},
		"logs that differ": {
			messages: []Message{message(term, 9, term)},
			want:     []bool{false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hard := HardState{
				Term: term,
			}
			core := New(Settings{
				ID: 2,
			}, Restored{
				HardState: hard,
				Snapshot: Snapshot{
					Index:   1,
					Term:    1,
					Members: newLeader(3, 0).Members(),
				},
				Entries: []Entry{entry(2, term), entry(3, term)},
			}, rand.New(rand.NewPCG(1, 1)), epoch)
			for _, m := range c.messages {
				core.Step(epoch, m)
			}
			out := core.TakeOutput()
			var got []bool
			for _, m := range out.Messages {
				got = append(got, core.BeforeSync(out, hard, m))
			}
			is.Equal(got, c.want)
		})
	}
}
