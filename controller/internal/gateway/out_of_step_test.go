package gateway

import (
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
)

// startFounder returns a replica with a new folder that leads a group of one.
func startFounder(t *testing.T) *replica.Replica {
	t.Helper()
	folder := t.TempDir()
	is.New(t).NoErr(disk.Init(folder, disk.Identity{
		ReplicaID: 1,
		DiskID:    "d",
		Members: &raft.Members{
			List: []raft.Member{{
				ID:    1,
				Voter: true,
			}},
		},
	}))
	r, _ := startReplica(t, folder)
	return r
}

// newReleaseHub returns the hub of a leader whose replicated history has one version of the
// service, v1, and is complete.
func newReleaseHub(t *testing.T) (*originHub, *replica.Replica) {
	t.Helper()
	r := startFounder(t)
	proposeOrigins(t, r, origin.Change{
		Complete: true,
	})
	h := newOriginHub(t, r)
	h.list("v1", "v1")
	h.record()
	is.New(t).Equal(len(h.upstreams), 2)
	return h, r
}

// proposeOrigins has a change of the history of streams committed.
func proposeOrigins(t *testing.T, r *replica.Replica, change origin.Change) {
	t.Helper()
	_, err := r.Propose(t.Context(), state.Command{
		Origins: &change,
	})
	is.New(t).NoErr(err)
}

// addSecondVersion records another version of the service, as another leader does.
func addSecondVersion(t *testing.T, r *replica.Replica) {
	t.Helper()
	proposeOrigins(t, r, origin.Change{
		Add: []origin.Version{{
			Service: "llm",
			Name:    "v2",
		}},
	})
}

// TestReplacedReplicaProvesNoVersion guards against a stream that goes on at another software
// version since a majority confirmed the history of one replica and the version was then read
// from the next one of the process, which lacks changes.
func TestReplacedReplicaProvesNoVersion(t *testing.T) {
	is := is.New(t)
	h, r := newReleaseHub(t)
	behind := startFounder(t)
	proposeOrigins(t, behind, origin.Change{
		Add: []origin.Version{{
			Service: "llm",
			Name:    "v1",
		}},
		Complete: true,
	})
	addSecondVersion(t, r)
	go h.confirmContinuations(h.ctx)
	c := &conn{
		name: "a",
	}
	h.conns[c.name] = c
	h.continueStream(c, dispatch.Request{
		ID:        1,
		Service:   "llm",
		Stream:    7,
		Continues: true,
	})
	var confirmed event
	select {
	case confirmed = <-h.events:
	case <-h.ctx.Done():
		t.Fatal("no event")
	}
	h.replicas = oneReplica{
		replica: behind,
	}
	h.handle(confirmed)
	is.Equal(len(h.replies[c]), 1)
	is.Equal(h.replies[c][0].Upstream, "")
	is.Equal(h.replies[c][0].Reason, dispatch.UnknownVersion)
}
