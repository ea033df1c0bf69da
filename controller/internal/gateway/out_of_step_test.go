package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
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

// TestLeaderOutOfStepRefusesUnknownStreams guards against a leader that was cut off or stood
// still while another one recorded and published a new software version, and that takes the
// only version that it knows for proof of what began a stream.
func TestLeaderOutOfStepRefusesUnknownStreams(t *testing.T) {
	is := is.New(t)
	h, r := newReleaseHub(t)
	go h.confirmContinuations(h.ctx)
	c := &conn{
		name: "a",
	}
	is.Equal(h.takeUp(c, 1, true).Version, "v1") // the proof holds

	addSecondVersion(t, r)
	d := h.takeUp(c, 2, true)
	is.Equal(d.Upstream, "")
	is.Equal(d.Reason, dispatch.UnknownVersion)
}

// TestCutOffLeaderDecidesNoContinuation guards against a leader without a majority that
// continues streams which others may have begun at software versions that it doesn't know. What
// gateways report to it is certain.
func TestCutOffLeaderDecidesNoContinuation(t *testing.T) {
	is := is.New(t)
	h, r := newReleaseHub(t)
	go h.confirmContinuations(h.ctx)
	c := &conn{
		name: "a",
	}
	h.receive(c, wire.Serve{
		Begun: []origin.Batch{{
			Service: "llm",
			Version: "v1",
			Streams: []origin.Stream{1},
		}},
	})
	is.NoErr(r.ChangeMembers(h.ctx, func(m raft.Members) (raft.Members, error) {
		for id := range uint64(2) {
			m.List = append(m.List, raft.Member{
				ID:      id + 2,
				Voter:   true,
				Address: "127.0.0.1:1",
			})
		}
		return m, nil
	}))
	is.Equal(h.takeUp(c, 1, false).Version, "v1")
	h.conns[c.name] = c
	h.continueStream(c, dispatch.Request{
		ID:        2,
		Service:   "llm",
		Stream:    2,
		Continues: true,
	})
	select {
	case e := <-h.events:
		t.Fatalf("event %+v", e)
	case <-time.After(2500 * time.Millisecond): // longer than reads wait for a majority
	}
	is.Equal(len(h.unconfirmed), 0)
	delete(h.conns, c.name)
	h.list("v1", "v2") // the platform's list is readable here
	is.Equal(len(h.upstreams), 1)
}

// TestLateReportOfRemovedVersion guards against a gateway that was cut off and reports streams of
// a software version which the history has no more: they go on at no other version, and the
// other version is no proof for streams that are not reported.
func TestLateReportOfRemovedVersion(t *testing.T) {
	is := is.New(t)
	h, r := newReleaseHub(t)
	go h.confirmContinuations(h.ctx)
	addSecondVersion(t, r)
	proposeOrigins(t, r, origin.Change{
		Remove: []origin.Version{{
			Service: "llm",
			Name:    "v1",
		}},
	})
	h.loadOrigins()
	h.list("v2")
	c := &conn{
		name: "a",
	}
	is.Equal(h.takeUp(c, 1, true).Version, "v2")
	h.receive(c, wire.Serve{
		Begun: []origin.Batch{{
			Service: "llm",
			Version: "v1",
			Streams: []origin.Stream{2},
		}},
	})
	is.Equal(h.takeUp(c, 2, false).Reason, dispatch.VersionUnavailable)
	is.Equal(h.takeUp(c, 3, false).Reason, dispatch.UnknownVersion)
	h.record()
	is.Equal(h.takeUp(c, 2, false).Reason, dispatch.VersionUnavailable)
	is.Equal(h.takeUp(c, 3, false).Reason, dispatch.UnknownVersion)
}
