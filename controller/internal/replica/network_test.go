package replica

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/wire"
)

// Identifiers of the replicas.
const (
	leaderID = 1 + iota
	learnerID
	formerID // had the learner's address
)

// testReplica is a replica that runs and serves the links of others on loopback.
type testReplica struct {
	*Replica
	address string
	dialer  link.Dialer
}

// startReplica starts a replica on a new disk: the only voter of a new group, or one that
// waits to be added to a group.
func startReplica(t *testing.T, id uint64, bootstrap bool) testReplica {
	t.Helper()
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Controller,
	})
	is.NoErr(err)
	r := testReplica{
		dialer: link.Dialer{
			Credential: cred,
			Stats:      &link.Stats{},
		},
	}
	server := httptest.NewUnstartedServer(nil)
	r.address = server.Listener.Addr().String()
	identity := disk.Identity{
		ReplicaID: id,
		DiskID:    "disk",
	}
	if bootstrap {
		identity.Members = &raft.Members{
			List: []raft.Member{
				{
					ID:      id,
					Address: r.address,
					Voter:   true,
				},
			},
		}
	}
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, identity))
	store, restored, err := disk.Open(folder)
	is.NoErr(err)
	r.Replica, err = New(Settings{}, store, restored, r.dialer, nil, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	server.Config.Handler = r.Handler()
	server.Start()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx) // ends with the context
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
	return r
}

// eventually waits until ok returns true, for ten seconds at most.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within ten seconds", what)
		}
	}
}

// TestDialOfFormerReplicaCutsOffNoLearner guards against a new replica that can't answer the
// leader, since links that were opened for the former replica at its address take the
// place of the leader's link and are closed again.
func TestDialOfFormerReplicaCutsOffNoLearner(t *testing.T) {
	for name, expected := range map[string]uint64{
		"the link names the former replica":            formerID,
		"the link is of a build that names no replica": 0,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			learnBesideDials(t, expected)
		})
	}
}

// learnBesideDials adds a learner to a group while links that expect another replica are
// opened to it again and again.
func learnBesideDials(t *testing.T, expected uint64) {
	is := is.New(t)
	leader := startReplica(t, leaderID, true)
	learner := startReplica(t, learnerID, false)
	eventually(t, "a leader", leader.IsLeader)
	ctx, cancel := context.WithCancel(context.Background())
	dialed := make(chan struct{})
	go func() {
		defer close(dialed)
		for ctx.Err() == nil {
			c, err := link.Dial[wire.Replica](ctx, leader.dialer, learner.address, wire.PathReplica)
			if err != nil {
				continue
			}
			_ = c.Send(wire.Replica{
				ReplicaID: leaderID,
				DiskID:    "disk",
				Expected:  expected,
			})
			_, _ = c.Receive() // the identifier of another replica than the expected one
			c.Close()
			time.Sleep(time.Millisecond)
		}
	}()
	defer func() {
		cancel()
		<-dialed
	}()
	is.NoErr(leader.ChangeMembers(ctx, func(m raft.Members) (raft.Members, error) {
		return m.WithLearner(learnerID, learner.address)
	}))
	eventually(t, "the learner has the leader's log", func() bool {
		s := learner.Status()
		return s.Commit > 0 && s.Commit >= leader.Status().Commit
	})
}
