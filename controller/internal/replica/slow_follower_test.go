package replica

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/wire"
)

// stalledStore is a store whose writes of entries wait until resume is closed.
type stalledStore struct {
	Store
	resume chan struct{}
}

func (s *stalledStore) Append(hard *raft.HardState, entries []raft.Entry) error {
	if len(entries) > 0 {
		<-s.resume
	}
	return s.Store.Append(hard, entries)
}

// TestHeartbeatIsAnsweredBeforeASlowWrite guards against a leader that steps down since its
// followers are silent while they write entries to slow disks: answers to heartbeats waited for
// the write.
func TestHeartbeatIsAnsweredBeforeASlowWrite(t *testing.T) {
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: Peer,
		Name: "c",
	})
	is.NoErr(err)
	dialer := link.Dialer{
		Credential: cred,
		Stats:      &link.Stats{},
	}
	follower, address := newJoiner(t, dialer)
	resume := make(chan struct{})
	resumeOnce := sync.OnceFunc(func() { close(resume) })
	defer resumeOnce()
	follower.store = &stalledStore{
		Store:  follower.store,
		resume: resume,
	}
	go func() { _ = follower.Run(t.Context()) }() // ends with the context
	leader := dialAsLeader(t.Context(), t, dialer, address)
	defer leader.Close()
	answers := make(chan raft.Message)
	go func() {
		for {
			frame, err := leader.Receive()
			if err != nil {
				return
			}
			for _, m := range frame.Messages {
				answers <- m
			}
		}
	}()
	heartbeat := raft.Message{
		Type: raft.MsgAppend,
		From: secondLinkLeader,
		To:   secondLinkJoiner,
		Term: 1,
	}
	change := heartbeat
	change.Entries = []raft.Entry{
		{
			Index: 1,
			Term:  1,
			Kind:  raft.EntryNoop,
		},
	}
	await := func(index uint64) {
		t.Helper()
		select {
		case m := <-answers:
			is.Equal(m.Type, raft.MsgAppendReply)
			is.Equal(m.Index, index)
		case <-time.After(answerTime):
			t.Fatal("no answer")
		}
	}
	is.NoErr(leader.Send(wire.Replica{
		Messages: []raft.Message{heartbeat},
	}))
	await(0) // the term is durable
	is.NoErr(leader.Send(wire.Replica{
		Messages: []raft.Message{heartbeat, change},
	}))
	await(0)
	select {
	case m := <-answers:
		t.Fatal("answered before the write:", m)
	case <-time.After(10 * replyInterval):
	}
	resumeOnce()
	await(1)
}
