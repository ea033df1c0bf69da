package replica

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// admissionTime is how long the replica of another group may take to become a member.
const admissionTime = 5 * time.Second

// newFounder returns a running replica that has founded a group of its own, in which a
// configuration of a version was accepted, and the address at which it accepts links.
func newFounder(t *testing.T, id, version uint64) (*Replica, string) {
	t.Helper()
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
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, disk.Identity{
		ReplicaID: id,
		DiskID:    strings.Repeat("d", int(id)),
		Members: &raft.Members{
			List: []raft.Member{
				{
					ID:    id,
					Voter: true,
				},
			},
		},
	}))
	store, restored, err := disk.Open(folder)
	is.NoErr(err)
	r, err := New(Settings{
		Raft: raft.Settings{
			StartTimeout: 10 * time.Millisecond,
		},
	}, store, restored, dialer, nil, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(r.Handler())
	var running sync.WaitGroup
	running.Go(func() { _ = r.Run(ctx) }) // ends with the context
	t.Cleanup(func() {
		cancel()
		running.Wait()
		server.Close()
		store.Close()
	})
	for bound := false; !bound; {
		time.Sleep(time.Millisecond)
		r.View(func(s *state.State) { bound = len(s.Disks) > 0 })
	}
	_, err = r.Propose(ctx, state.Command{
		Replace: &state.Configuration{
			Version:  version,
			Document: []byte("{}"),
		},
	})
	is.NoErr(err)
	return r, strings.TrimPrefix(server.URL, "http://")
}

// TestReplicaOfAnotherGroupKeepsNoHistory guards against two histories in one group: a
// controller that has founded a second group joined the first with its log, whose entries
// have the same indexes and terms, and counted as having caught up.
func TestReplicaOfAnotherGroupKeepsNoHistory(t *testing.T) {
	is := is.New(t)
	const (
		accepted      = 35 // the version in the group
		acceptedAlone = 36 // the version in the second group
	)
	leader, _ := newFounder(t, 1, accepted)
	other, address := newFounder(t, 2, acceptedAlone)
	is.NoErr(leader.ChangeMembers(t.Context(), func(m raft.Members) (raft.Members, error) { return m.Admit(2, address) }))
	for end := time.Now().Add(admissionTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if other.Status().Leader != 1 || other.Barrier(t.Context()) != nil {
			continue // not a member that can be read
		}
		version := uint64(0)
		other.View(func(s *state.State) { version = s.Configuration.Version })
		is.Equal(version, uint64(accepted)) // a confirmed read at a member
	}
}
