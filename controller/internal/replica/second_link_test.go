package replica

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/wire"
)

// Identifiers of the replicas, and the time within which an answer must arrive.
const (
	secondLinkLeader = 1
	secondLinkJoiner = 2
	answerTime       = 2 * time.Second
)

// newJoiner returns a replica with an empty log, which knows no addresses, and the
// address at which it accepts links.
func newJoiner(t *testing.T, dialer link.Dialer) (*Replica, string) {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, disk.Identity{
		ReplicaID: secondLinkJoiner,
		DiskID:    "joiner",
	}))
	store, restored, err := disk.Open(folder)
	is.NoErr(err)
	t.Cleanup(store.Close)
	r, err := New(Settings{}, store, restored, dialer, nil, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	server := httptest.NewServer(r.Handler())
	t.Cleanup(server.Close)
	return r, strings.TrimPrefix(server.URL, "http://")
}

// dialAsLeader opens a link to a replica and exchanges the hellos as the leader does.
func dialAsLeader(ctx context.Context, t *testing.T, dialer link.Dialer, address string) *link.Conn[wire.Replica] {
	t.Helper()
	is := is.New(t)
	c, err := link.Dial[wire.Replica](ctx, dialer, address, wire.PathReplica)
	is.NoErr(err)
	is.NoErr(c.Send(wire.Replica{
		ReplicaID: secondLinkLeader,
		DiskID:    "leader",
	}))
	hello, err := c.Receive()
	is.NoErr(err)
	is.Equal(hello.ReplicaID, uint64(secondLinkJoiner))
	return c
}

// TestSecondLinkLeavesTheFirst guards against a replica that joins at the address of a
// superseded voter and can answer nobody: the leader dials that address for the voter,
// too, and closes that link, after which the link for the new replica was not used.
func TestSecondLinkLeavesTheFirst(t *testing.T) {
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
	joiner, address := newJoiner(t, dialer)
	first := dialAsLeader(t.Context(), t, dialer, address)
	defer first.Close()
	dialAsLeader(t.Context(), t, dialer, address).Close()
	answered := make(chan struct{})
	go func() {
		if _, err := first.Receive(); err == nil {
			close(answered)
		}
	}()
	for end := time.Now().Add(answerTime); time.Now().Before(end); {
		joiner.network.send(raft.Message{
			Type: raft.MsgAppendReply,
			From: secondLinkJoiner,
			To:   secondLinkLeader,
		})
		select {
		case <-answered:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Fatal("the first link is open and no answer comes on it")
}
