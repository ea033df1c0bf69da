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
	"baobabpaddle/fleet/wire"
)

// endTime is within what a link must end after its replica.
const endTime = 2 * time.Second

// TestLinksEndWithTheReplica guards against links that others have opened to a replica and
// that outlive it within its process: what is sent on them reaches nobody, and the other end
// opens no link to the replica that is started next.
func TestLinksEndWithTheReplica(t *testing.T) {
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
		ReplicaID: secondLinkJoiner,
		DiskID:    "joiner",
	}))
	store, restored, err := disk.Open(folder)
	is.NoErr(err)
	defer store.Close()
	r, err := New(Settings{}, store, restored, dialer, nil, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	server := httptest.NewServer(r.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = r.Run(ctx) // ends with the context
	}()
	before := dialAsLeader(t.Context(), t, dialer, address)
	cancel()
	<-stopped
	awaitEnd(t, before)

	after, err := link.Dial[wire.Replica](t.Context(), dialer, address, wire.PathReplica)
	if err != nil {
		return // not accepted any more
	}
	awaitEnd(t, after)
}

// awaitEnd fails the test unless the other end closes the link within endTime.
func awaitEnd(t *testing.T, c *link.Conn[wire.Replica]) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = c.Receive() // ends with the link
	}()
	select {
	case <-ended:
	case <-time.After(endTime):
		t.Fatal("the link is still open")
	}
}
