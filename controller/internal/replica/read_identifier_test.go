package replica

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
)

// TestReplyToAnEarlierStartConfirmsNoRead guards against a read that misses acknowledged
// commands: the leader confirms a read of the replica's start before, and the reply is taken
// for that to a read of the present one, which began later.
func TestReplyToAnEarlierStartConfirmsNoRead(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, disk.Identity{
		ReplicaID: learnerID,
		DiskID:    "d",
	}))
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Controller,
	})
	is.NoErr(err)
	start := func() (*Replica, readRequest) {
		store, restored, err := disk.Open(folder)
		is.NoErr(err)
		defer store.Close()
		r, err := New(Settings{}, store, restored, link.Dialer{
			Credential: cred,
			Stats:      &link.Stats{},
		}, nil, slog.New(slog.DiscardHandler))
		is.NoErr(err)
		// A heartbeat makes the leader known, so that the read is asked of it.
		r.core.Step(time.Now(), raft.Message{
			Type: raft.MsgAppend,
			From: leaderID,
			To:   learnerID,
			Term: 1,
		})
		r.core.TakeOutput()
		read := readRequest{
			done: make(chan error, 1),
		}
		r.read(read)
		return r, read
	}
	asked := func(r *Replica) raft.Message {
		for _, m := range r.core.TakeOutput().Messages {
			if m.Type == raft.MsgRead {
				return m
			}
		}
		t.Fatal("the leader was not asked")
		return raft.Message{}
	}
	earlier, _ := start()
	late := raft.Message{
		Type:    raft.MsgReadReply,
		From:    leaderID,
		To:      learnerID,
		Term:    1,
		Context: asked(earlier).Context,
	}
	present, read := start()
	own := asked(present).Context
	present.core.Step(time.Now(), late)
	is.NoErr(present.processOutput())
	select {
	case err := <-read.done:
		t.Fatal("the read was confirmed:", err)
	default:
	}
	late.Context = own
	present.core.Step(time.Now(), late)
	is.NoErr(present.processOutput())
	is.NoErr(<-read.done) // confirmed by the reply to it
}
