package gateway

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
)

// frameTime is the time within which a frame, or the end of a link, must arrive.
const frameTime = 5 * time.Second

// replacedReplica implements Replicas and Directory. Its replica is replaced as a Member
// does after a full disk.
type replacedReplica struct {
	current atomic.Pointer[replica.Replica]
}

func (r *replacedReplica) Replica() *replica.Replica { return r.current.Load() }

func (r *replacedReplica) LeaderAddress() string { return r.current.Load().LeaderAddress() }

func (r *replacedReplica) Addresses() []string { return nil }

// termHub is a running hub whose replica, the only one of its group, can be replaced.
type termHub struct {
	*Hub
	t        *testing.T
	ctx      context.Context
	folder   string
	replicas *replacedReplica
	stop     func()
	dialer   link.Dialer
	address  string
}

// newTermHub returns a hub that runs and whose replica leads.
func newTermHub(t *testing.T) *termHub {
	t.Helper()
	h := newQueuedTermHub(t)
	go h.Run(h.ctx)
	return h
}

// newQueuedTermHub returns a hub whose replica leads and whose events are queued until Run
// is called.
func newQueuedTermHub(t *testing.T) *termHub {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(disk.Init(folder, disk.Identity{
		ReplicaID: 1,
		DiskID:    "d",
		Members: &raft.Members{
			List: []raft.Member{{
				ID:    1,
				Voter: true,
			}},
		},
	}))
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Gateway,
		Name: "a",
	})
	is.NoErr(err)
	h := &termHub{
		t:        t,
		folder:   folder,
		replicas: &replacedReplica{},
		dialer: link.Dialer{
			Credential: cred,
			Heartbeat:  100 * time.Millisecond,
			Stats:      &link.Stats{},
		},
	}
	h.startReplica()
	h.Hub = New(h.replicas, h.replicas, telemetry.NewMetrics(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h.ctx = ctx
	server := httptest.NewServer(h.Handler(ctx, h.dialer))
	t.Cleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	return h
}

// startReplica starts a replica of the folder. It leads in a later term than the one
// before.
func (h *termHub) startReplica() {
	r, stop := startReplica(h.t, h.folder)
	h.replicas.current.Store(r)
	h.stop = stop
}

// replaceReplica stops the replica and starts another one. Between two checks of the hub
// there is always one that leads.
func (h *termHub) replaceReplica() {
	h.stop()
	h.startReplica()
}

// listOf returns a list of one upstream.
func listOf(id string) []dispatch.Upstream {
	return []dispatch.Upstream{{
		ID:      id,
		Service: "desk",
		Address: "10.0.0.1:1",
		Slots:   4,
	}}
}

// gatewayLink is the link of a gateway.
type gatewayLink struct {
	t *testing.T
	*link.Conn[wire.Serve]
	frames chan wire.Serve // closed at the end of the link
}

// dialGateway links the gateway "a", without a list of upstreams.
func (h *termHub) dialGateway() *gatewayLink {
	h.t.Helper()
	is := is.New(h.t)
	c, err := link.Dial[wire.Serve](h.t.Context(), h.dialer, h.address, wire.PathServe)
	is.NoErr(err)
	is.NoErr(c.Send(wire.Serve{
		Hello: &wire.ServeHello{
			Name: "a",
		},
	}))
	return newGatewayLink(h.t, c)
}

// newGatewayLink returns a gateway's end of a link, whose frames are received.
func newGatewayLink(t *testing.T, c *link.Conn[wire.Serve]) *gatewayLink {
	g := &gatewayLink{
		t:      t,
		Conn:   c,
		frames: make(chan wire.Serve, 1024),
	}
	go func() {
		defer close(g.frames)
		for {
			frame, err := c.Receive()
			if err != nil {
				return
			}
			g.frames <- frame
		}
	}()
	return g
}

// await returns the first frame for which ok returns true.
func (g *gatewayLink) await(what string, ok func(wire.Serve) bool) wire.Serve {
	g.t.Helper()
	timeout := time.After(frameTime)
	for {
		select {
		case frame, open := <-g.frames:
			if !open {
				g.t.Fatalf("%s: the link has ended", what)
			}
			if ok(frame) {
				return frame
			}
		case <-timeout:
			g.t.Fatalf("%s: no such frame", what)
		}
	}
}

// awaitEnd returns when the controller has closed the link.
func (g *gatewayLink) awaitEnd(what string) {
	g.t.Helper()
	select {
	case <-g.Done():
	case <-time.After(frameTime):
		g.t.Fatal(what)
	}
}

func isWelcome(f wire.Serve) bool { return f.Welcome != nil && f.Welcome.IsLeader }

func hasList(f wire.Serve) bool { return f.Upstreams != nil }

// TestLinksEndWithTheTerm guards against links of gateways that stay open when leadership
// is lost and regained between two checks: another leader may have served in between, and
// the gateways would not report what they have done meanwhile.
func TestLinksEndWithTheTerm(t *testing.T) {
	h := newTermHub(t)
	g := h.dialGateway()
	g.await("welcome", isWelcome)
	h.replaceReplica()
	g.awaitEnd("the link of the first term is open in the next")
}

// TestListEndsWithTheTerm guards against a list of upstreams of a former term that is sent
// to gateways in the next, because no gateway was linked when leadership was lost.
func TestListEndsWithTheTerm(t *testing.T) {
	is := is.New(t)
	h := newTermHub(t)
	g := h.dialGateway()
	g.await("welcome", isWelcome)
	h.SetUpstreams(t.Context(), h.Term(), time.Time{}, listOf("former"))
	g.await("list of the first term", hasList)
	g.Close()
	for h.GatewayCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	h.replaceReplica()
	g = h.dialGateway()
	welcome := g.await("welcome", isWelcome)
	is.Equal(welcome.Welcome.Term, h.replicas.Replica().Status().Term)
	is.True(welcome.Upstreams == nil) // the list was not read in this term
	h.SetUpstreams(t.Context(), h.Term(), time.Time{}, listOf("present"))
	list, _ := g.await("list of the second term", hasList).Upstreams.Apply(nil)
	is.Equal(len(list), 1)
	is.Equal(list["present"].ID, "present")
}

// TestListBeforeTheFirstLink guards against a list of upstreams that isn't published until it
// is read again: it comes just before the first link of a term, with a software version that
// isn't recorded yet.
func TestListBeforeTheFirstLink(t *testing.T) {
	h := newQueuedTermHub(t)
	h.SetUpstreams(t.Context(), h.Term(), time.Time{}, listOf("u1"))
	g := h.dialGateway()
	for len(h.events) < 2 {
		time.Sleep(time.Millisecond)
	}
	go h.Run(h.ctx)
	g.await("list", hasList)
}

// TestListOfAnEarlierTermIsDropped guards against a list of upstreams that was read before
// leadership was lost and arrives in the next term: another leader may have published a
// newer one in between.
func TestListOfAnEarlierTermIsDropped(t *testing.T) {
	is := is.New(t)
	h := newTermHub(t)
	former := h.Term()
	g := h.dialGateway()
	h.SetUpstreams(t.Context(), former, time.Time{}, listOf("former"))
	g.await("list of the first term", hasList) // so its version is recorded
	h.replaceReplica()
	g.awaitEnd("the link of the first term is open in the next")
	g = h.dialGateway()
	g.await("welcome", isWelcome)
	h.SetUpstreams(t.Context(), former, time.Time{}, listOf("former"))
	h.SetUpstreams(t.Context(), h.Term(), time.Time{}, listOf("present"))
	list, _ := g.await("list", hasList).Upstreams.Apply(nil)
	is.Equal(len(list), 1)
	is.Equal(list["present"].ID, "present")
}

// TestLinkOfAnEarlierTermIsNotOpened guards against a link that was accepted before
// leadership was lost and is opened in the next term.
func TestLinkOfAnEarlierTermIsNotOpened(t *testing.T) {
	is := is.New(t)
	h := newTermHub(t)
	former := h.Term()
	accepted := make(chan *link.Conn[wire.Serve], 1)
	server := httptest.NewServer(link.Handler(t.Context(), h.dialer, func(_ credential.Peer, c *link.Conn[wire.Serve]) {
		accepted <- c
		_, _ = c.Receive() // returns at the end of the link
	}))
	defer server.Close()
	c, err := link.Dial[wire.Serve](t.Context(), h.dialer, strings.TrimPrefix(server.URL, "http://"), wire.PathServe)
	is.NoErr(err)
	g := newGatewayLink(t, c)
	h.replaceReplica()
	h.post(t.Context(), event{
		opened: &conn{
			Conn: <-accepted,
			term: former,
			name: "a",
		},
	})
	g.awaitEnd("a link that was accepted in an earlier term is open")
}

// decide returns the decision on a request, which is not to go to excluded.
func (g *gatewayLink) decide(id uint64, excluded string) dispatch.Decision {
	g.t.Helper()
	is := is.New(g.t)
	is.NoErr(g.Send(wire.Serve{
		PlacementRequests: []dispatch.Request{requestFor(id, excluded)},
	}))
	frame := g.await("decision", func(f wire.Serve) bool {
		return len(f.Decisions) == 1 && f.Decisions[0].ID == id
	})
	return frame.Decisions[0]
}

func requestFor(id uint64, excluded string) dispatch.Request {
	return dispatch.Request{
		ID:       id,
		Service:  "desk",
		Excluded: []string{excluded},
	}
}

// atFirst returns how many of four requests are placed at u1, of two upstreams with equal
// slots: two if the leader counts no others in flight.
func (g *gatewayLink) atFirst() (n int) {
	g.t.Helper()
	for id := range uint64(4) {
		if g.decide(100+id, "").Upstream == "u1" {
			n++
		}
	}
	return n
}

// linkedWithList returns the link of a gateway to a hub with two upstreams.
func (h *termHub) linkedWithList() *gatewayLink {
	h.t.Helper()
	g := h.dialGateway()
	g.await("welcome", isWelcome)
	h.SetUpstreams(h.t.Context(), h.Term(), time.Time{}, append(listOf("u1"), listOf("u2")...))
	g.await("list", hasList)
	return g
}

// TestNewLinkReplacesPlacements guards against slots that are never freed: a gateway links
// again before its former link is closed, and its requests have ended in between.
func TestNewLinkReplacesPlacements(t *testing.T) {
	is := is.New(t)
	h := newTermHub(t)
	g := h.linkedWithList()
	for id := range uint64(4) {
		is.Equal(g.decide(id+1, "u2").Upstream, "u1")
	}
	second := h.dialGateway()
	second.await("welcome", isWelcome)
	g.awaitEnd("the replaced link is open")
	is.Equal(second.atFirst(), 2)
}

// TestReplacedLinkIsNotHeard guards against frames of a link that was replaced and are
// handled later: they took slots for requests that the gateway has decided on without the
// leader.
func TestReplacedLinkIsNotHeard(t *testing.T) {
	is := is.New(t)
	h := newTermHub(t)
	g := h.linkedWithList()
	replaced := &conn{
		Conn: g.Conn,
		name: "a",
	}
	for id := range uint64(4) {
		h.post(t.Context(), event{
			from: replaced,
			frame: wire.Serve{
				PlacementRequests: []dispatch.Request{requestFor(id+1, "u2")},
			},
		})
	}
	is.Equal(g.atFirst(), 2)
}
