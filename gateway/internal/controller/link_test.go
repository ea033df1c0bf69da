package controller

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
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

const document = `{"version":3,"routes":[],"services":[{"name":"desk"}],"limits":{},"teams":[]}`

// leader is a controller that leads and answers as its fields say.
type leader struct {
	mu      sync.Mutex
	silent  bool // decides on nothing
	slow    bool // decides after the gateway has given up
	unsure  bool // answers no pings
	hellos  []wire.ServeHello
	frames  []wire.Serve
	conns   []*link.Conn[wire.Serve]
	address string
}

func (l *leader) set(f func(*leader)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func proof(t *testing.T, role credential.Role) *credential.Credential {
	t.Helper()
	c, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: role,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func dialer(t *testing.T, role credential.Role) link.Dialer {
	t.Helper()
	return link.Dialer{
		Credential: proof(t, role),
		Heartbeat:  100 * time.Millisecond,
		Stats:      &link.Stats{},
	}
}

func startLeader(t *testing.T) *leader {
	t.Helper()
	l := &leader{}
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(link.Handler(ctx, dialer(t, credential.Controller),
		func(_ credential.Peer, c *link.Conn[wire.Serve]) { l.serve(c) }))
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
	l.address = strings.TrimPrefix(server.URL, "http://")
	return l
}

func (l *leader) serve(c *link.Conn[wire.Serve]) {
	first, err := c.Receive()
	if err != nil || first.Hello == nil {
		return
	}
	l.set(func(l *leader) { l.hellos = append(l.hellos, *first.Hello) })
	_ = c.Send(wire.Serve{
		Welcome: &wire.Welcome{
			IsLeader: true,
		},
		Upstreams: wire.FullUpdate(wire.IndexByID([]dispatch.Upstream{
			{
				ID:      "u",
				Service: "desk",
				Address: "10.0.0.1:80",
			},
		})),
	})
	_ = c.Send(wire.Serve{
		Configuration: &state.Configuration{
			Version:  3,
			Document: []byte(document),
		},
	})
	l.set(func(l *leader) { l.conns = append(l.conns, c) })
	for {
		frame, err := c.Receive()
		if err != nil {
			return
		}
		var silent, slow, unsure bool
		l.set(func(l *leader) {
			l.frames = append(l.frames, frame)
			silent, slow, unsure = l.silent, l.slow, l.unsure
		})
		out := wire.Serve{}
		if !unsure {
			out.Pong = frame.Ping
		}
		for _, r := range frame.PlacementRequests {
			if !silent {
				out.Decisions = append(out.Decisions, dispatch.Decision{
					ID:       r.ID,
					Upstream: "u",
				})
			}
		}
		if slow {
			time.Sleep(2 * decisionTimeout)
		}
		if !out.Empty() {
			_ = c.Send(out)
		}
	}
}

func startLink(t *testing.T, seeds []string, lifetime time.Duration) *Link {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := New(Settings{
		Name:          "g",
		Seeds:         seeds,
		ProofLifetime: lifetime,
	}, dialer(t, credential.Gateway), slog.New(slog.DiscardHandler))
	go l.Run(ctx)
	return l
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

// TestLearnsAndPlaces finds the leader among seeds of which one is dead, learns
// what is in force and has a request placed.
func TestLearnsAndPlaces(t *testing.T) {
	is := is.New(t)
	front := startLeader(t)
	l := startLink(t, []string{"127.0.0.1:1", front.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	is.Equal(l.View().Table.Configuration.Version, uint64(3))
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
	})
	is.Equal(d.Upstream, "u")
	l.RecordEnd(1, dispatch.Answered)
	eventually(t, "the leader was not told of the end", func() bool {
		ended := 0
		front.set(func(l *leader) {
			for _, f := range l.frames {
				ended += len(f.Ended)
			}
		})
		return ended == 1
	})
}

// TestSilentLeaderIsNotWaitedFor has the gateway decide by itself, and tell the
// leader.
func TestSilentLeaderIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	front := startLeader(t)
	front.silent = true
	l := startLink(t, []string{front.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	started := time.Now()
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
	})
	is.Equal(d.Upstream, "u")
	is.True(time.Since(started) >= decisionTimeout)
	is.True(time.Since(started) < 20*decisionTimeout)
	eventually(t, "the leader was not told", func() bool {
		sent := 0
		front.set(func(l *leader) {
			for _, f := range l.frames {
				sent += len(f.InFlight)
			}
		})
		return sent == 1
	})
}

// TestProofRunsOut stops pings from being confirmed: keys are no longer served,
// but requests are placed.
func TestProofRunsOut(t *testing.T) {
	is := is.New(t)
	front := startLeader(t)
	l := startLink(t, []string{front.address}, 1200*time.Millisecond)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	front.set(func(l *leader) { l.unsure = true })
	eventually(t, "still proven", func() bool { return !l.View().Proven() })
	is.True(l.View().Table != nil)
	front.set(func(l *leader) { l.unsure = false })
	eventually(t, "not proven again", func() bool { return l.View().Proven() })
}

// TestNewLeaderHearsOfRunningRequests breaks the link: the next one begins with
// what is at upstreams.
func TestNewLeaderHearsOfRunningRequests(t *testing.T) {
	is := is.New(t)
	front := startLeader(t)
	l := startLink(t, []string{front.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	is.Equal(l.Place(context.Background(), dispatch.Request{
		ID:      7,
		Service: "desk",
	}).Upstream, "u")
	front.set(func(l *leader) {
		l.frames = nil
		l.conns[0].Close()
	})
	eventually(t, "the new link does not tell of the request", func() bool {
		found := false
		front.set(func(l *leader) {
			for _, f := range l.frames {
				for _, s := range f.InFlight {
					found = found || s.ID == 7
				}
			}
		})
		return found
	})
}

// TestMissedChangeBringsTheWholeList sends a change of another list than the gateway
// has: it links anew and has the leader's list afterwards.
func TestMissedChangeBringsTheWholeList(t *testing.T) {
	is := is.New(t)
	front := startLeader(t)
	l := startLink(t, []string{front.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	front.set(func(l *leader) {
		is.NoErr(l.conns[0].Send(wire.Serve{
			Upstreams: &wire.UpstreamsUpdate{
				Changed: []dispatch.Upstream{{
					ID: "v",
				}},
				Hash: 5,
			},
		}))
	})
	eventually(t, "not linked anew", func() bool {
		links := 0
		front.set(func(l *leader) { links = len(l.conns) })
		return links == 2 && len(l.View().Upstreams) == 1
	})
}

// TestNewLeaderHearsOfShares has the leader place a request and a second leader take
// over: it is told what the team was given. The first one, linked again, is not.
func TestNewLeaderHearsOfShares(t *testing.T) {
	is := is.New(t)
	accounts := func(l *leader) (sum float64) {
		l.set(func(l *leader) {
			for _, f := range l.frames {
				for _, a := range f.Accounts {
					sum += a.Admitted
				}
			}
		})
		return sum
	}
	first, second := startLeader(t), startLeader(t)
	l := startLink(t, []string{first.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
		Team:    "north",
		Prompt: dispatch.Prompt{
			Tokens: 700,
		},
	})
	links := func(l *leader) (n int) {
		l.set(func(l *leader) { n = len(l.conns) })
		return n
	}
	first.set(func(f *leader) { f.conns[0].Close() })
	eventually(t, "not linked again", func() bool { return links(first) == 2 && l.View().Leader != "" })
	is.Equal(accounts(first), 0.0)
	l.SetSeeds([]string{second.address})
	first.set(func(f *leader) { f.conns[1].Close() })
	eventually(t, "the second leader is not told", func() bool { return accounts(second) == 700 })
}

// TestLeaderHearsOfRefusals: what the gateway refuses without asking is told with the next
// ping, once, and not to a leader that did not lead then.
func TestLeaderHearsOfRefusals(t *testing.T) {
	is := is.New(t)
	told := func(l *leader) (requests int) {
		l.set(func(l *leader) {
			for _, f := range l.frames {
				for _, r := range f.Refused {
					requests += r.Requests
					is.Equal(r.Team, "north")
					is.Equal(r.Tokens, float64(900*r.Requests))
				}
			}
		})
		return requests
	}
	first, second := startLeader(t), startLeader(t)
	l := startLink(t, []string{first.address}, time.Minute)
	refuse := func(n int) {
		for range n {
			l.RecordRefusal("north", dispatch.Prompt{
				Tokens: 900,
			})
		}
	}
	refuse(5) // before there was a leader
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	refuse(2)
	eventually(t, "the leader is not told", func() bool { return told(first) == 2 })
	l.SetSeeds([]string{second.address})
	first.set(func(f *leader) { f.conns[0].Close() })
	eventually(t, "not linked", func() bool { return l.View().Leader == second.address })
	refuse(1)
	eventually(t, "the second leader is not told", func() bool { return told(second) == 1 })
	is.Equal(told(first), 2)
}
