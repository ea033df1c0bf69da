package gateway

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
)

// oneReplica implements Replicas.
type oneReplica struct {
	replica *replica.Replica
}

func (o oneReplica) Replica() *replica.Replica { return o.replica }

func (o oneReplica) LeaderAddress() string { return o.replica.LeaderAddress() }

// originHub is a hub at a replica that leads a group of one. Its control goroutine is the
// test's.
type originHub struct {
	*Hub
	t   *testing.T
	ctx context.Context
}

// startReplica returns a replica that has found its data in a folder and leads.
func startReplica(t *testing.T, folder string) (r *replica.Replica, stop func()) {
	t.Helper()
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Controller,
		Name: "c",
	})
	is.NoErr(err)
	store, restored, err := disk.Open(folder)
	is.NoErr(err)
	r, err = replica.New(replica.Settings{
		Raft: raft.Settings{
			StartTimeout: 10 * time.Millisecond,
		},
	}, store, restored, link.Dialer{
		Credential: cred,
		Stats:      &link.Stats{},
	}, nil, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = r.Run(ctx) }) // ends with the context
	stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		store.Close()
	})
	t.Cleanup(stop)
	for !r.IsLeader() || r.Barrier(ctx) != nil {
		time.Sleep(time.Millisecond)
	}
	return r, stop
}

// newOriginHub returns the hub of a replica.
func newOriginHub(t *testing.T, r *replica.Replica) *originHub {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	h := &originHub{
		Hub: New(oneReplica{
			replica: r,
		}, nil, telemetry.NewMetrics(), slog.New(slog.DiscardHandler)),
		t:   t,
		ctx: ctx,
	}
	h.followTerm()
	h.loadOrigins()
	return h
}

// await handles the next event.
func (h *originHub) await() {
	h.t.Helper()
	select {
	case e := <-h.events:
		h.handle(e)
	case <-h.ctx.Done():
		h.t.Fatal("no event")
	}
}

// record has the pending changes recorded.
func (h *originHub) record() {
	h.t.Helper()
	for h.origins.Pending() {
		h.recordOrigins(h.ctx)
		h.await()
	}
}

// list replaces the list of upstreams: u1, u2, … of one service with the versions.
func (h *originHub) list(versions ...string) {
	list := []dispatch.Upstream{}
	for i, version := range versions {
		list = append(list, dispatch.Upstream{
			ID:      "u" + string(rune('1'+i)),
			Service: "llm",
			Address: "10.0.0.1:1",
			Slots:   64,
			Version: version,
		})
	}
	h.setUpstreams(list)
}

// takeUp has a stream taken up and returns the decision, which waits for a linearizable read if
// confirmed is true.
func (h *originHub) takeUp(c *conn, s origin.Stream, confirmed bool) dispatch.Decision {
	h.t.Helper()
	is := is.New(h.t)
	h.conns[c.name] = c // without a link, so that nothing can be sent to it
	defer delete(h.conns, c.name)
	delete(h.replies, c)
	h.receive(c, wire.Serve{
		PlacementRequests: []dispatch.Request{{
			ID:        uint64(s),
			Service:   "llm",
			Stream:    s,
			Continues: true,
		}},
	})
	is.Equal(len(h.replies[c]) == 0, confirmed)
	if confirmed {
		h.await()
	}
	is.Equal(len(h.replies[c]), 1)
	return h.replies[c][0]
}

// onlyReplica identifies the disk of the only replica of a group.
var onlyReplica = disk.Identity{
	ReplicaID: 1,
	DiskID:    "d",
	Members: &raft.Members{
		List: []raft.Member{{
			ID:    1,
			Voter: true,
		}},
	},
}

// TestStreamsGoOnAfterLossOfPower guards against a leader that, after all hosts lost power,
// continues streams at another software version or refuses those that were recorded.
func TestStreamsGoOnAfterLossOfPower(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, onlyReplica))
	r, stop := startReplica(t, folder)
	h := newOriginHub(t, r)
	go h.confirmContinuations(h.ctx)
	c := &conn{
		name: "a",
	}
	begin := func(version string, streams ...origin.Stream) {
		h.receive(c, wire.Serve{
			Begun: []origin.Batch{{
				Service: "llm",
				Version: version,
				Streams: streams,
			}},
		})
	}
	h.list("v1", "v1")
	is.Equal(len(h.upstreams), 0) // not published before the version is recorded
	h.record()
	is.Equal(len(h.upstreams), 2)
	_, err := r.Propose(h.ctx, state.Command{
		Replace: &state.Configuration{
			Version:  1,
			Document: []byte("{}"),
		},
	})
	is.NoErr(err)
	h.loadOrigins()
	begin("v1", 1)
	is.True(!h.origins.Pending())

	stop() // with one version no stream is recorded
	r, stop = startReplica(t, folder)
	h = newOriginHub(t, r)
	go h.confirmContinuations(h.ctx)
	h.list("v1", "v1")
	is.Equal(len(h.upstreams), 2)
	d := h.takeUp(c, 1, true)
	is.Equal(d.Version, "v1")
	is.True(d.Upstream != "")

	begin("v1", 2)
	h.list("v1", "v2")
	is.Equal(len(h.upstreams), 1)
	begin("v1", 3)
	h.record()
	is.Equal(len(h.upstreams), 2)
	begin("v2", 4)
	h.record()
	begin("v2", 5) // lost with the power

	stop()
	r, _ = startReplica(t, folder)
	h = newOriginHub(t, r)
	h.list("v1", "v2")
	for s, want := range map[origin.Stream]string{2: "u1", 3: "u1", 4: "u2"} {
		d = h.takeUp(c, s, false)
		is.Equal(d.Upstream, want)
	}
	for _, s := range []origin.Stream{5, 6} {
		d = h.takeUp(c, s, false)
		is.Equal(d.Reason, dispatch.UnknownVersion)
		is.Equal(d.RetryAfter, time.Duration(0))
	}
	h.list("v2")
	is.Equal(h.takeUp(c, 2, false).Reason, dispatch.VersionUnavailable)
	for range origin.MaxContinuations - 1 { // one was placed above
		is.True(h.allowance.Take(time.Now(), 4))
	}
	is.True(!h.allowance.Take(time.Now(), 4))
}

// TestStreamGoesOnAtTheServiceThatBeganIt guards against streams that can't be resumed since the weights
// of their route have changed: another service is drawn for them than the one that began them.
func TestStreamGoesOnAtTheServiceThatBeganIt(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, onlyReplica))
	r, _ := startReplica(t, folder)
	h := newOriginHub(t, r)
	h.list("v1")
	h.record()
	c := &conn{
		name: "a",
	}
	h.conns[c.name] = c
	h.receive(c, wire.Serve{
		Begun: []origin.Batch{{
			Service: "llm",
			Version: "v1",
			Streams: []origin.Stream{1},
		}},
	})
	for _, services := range [][]string{{"other", "llm"}, {"other", "third"}} {
		h.continueStream(c, dispatch.Request{
			ID:        1,
			Service:   "other",
			Services:  services,
			Stream:    1,
			Continues: true,
		})
	}
	is.Equal(len(h.replies[c]), 2)
	is.Equal(h.replies[c][0].Upstream, "u1")
	is.Equal(h.replies[c][0].Service, "llm")
	is.Equal(h.replies[c][1].Reason, dispatch.UnknownVersion) // it has left the route
}

// TestResultOfAnEarlierTermIsDropped guards against the end of a proposed change of a former
// term that is taken for the end of the one that is under way: two were then proposed at a
// time, with streams that nobody had reported to this leader.
func TestResultOfAnEarlierTermIsDropped(t *testing.T) {
	is := is.New(t)
	h := newTestHub()
	report := func(s origin.Stream) {
		h.origins.Report(time.Now(), []origin.Batch{{
			Service: "llm",
			Version: "v2",
			Streams: []origin.Stream{s},
		}}, func(origin.Stream, origin.Origin) bool { return false })
	}
	report(1)
	h.proposeOrigins(t.Context(), h.origins.Next()) // fails, since there is no replica
	former := <-h.events
	former.originResult.term.number++ // any other term
	h.loadTestOrigins()
	report(2)
	h.origins.Next()
	h.handle(former)
	is.True(!h.origins.Pending())
}
