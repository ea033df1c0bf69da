package sidecar

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// TestLinkCountFollowsWaiting checks that the number of links grows to a large pool within
// seconds while requests wait, and returns to minLinks only after narrowAfter without any.
func TestLinkCountFollowsWaiting(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	count := linkCount{
		links: minLinks,
	}
	step := func(d time.Duration, waiting bool) {
		for range int(d / tickInterval) {
			now = now.Add(tickInterval)
			count.update(now, waiting)
		}
	}
	step(time.Minute, false)
	is.Equal(count.links, minLinks)
	step(3*time.Second, true)
	is.True(count.links >= 1000)
	step(narrowAfter/2, false)
	is.True(count.links >= 1000) // a short time without waiting requests changes nothing
	step(narrowAfter, false)
	is.Equal(count.links, minLinks)
}

// TestHeartbeatIntervalGrowsWithLinks checks that the total rate of heartbeats stays bounded.
func TestHeartbeatIntervalGrowsWithLinks(t *testing.T) {
	is := is.New(t)
	is.Equal(heartbeatInterval(10), link.DefaultHeartbeatInterval)
	is.Equal(heartbeatInterval(100), 6*time.Second)
	is.Equal(heartbeatInterval(10_000), maxHeartbeatInterval)
}

// TestRankedSpreadsGateways checks that gateways don't all link to the same sidecars first.
func TestRankedSpreadsGateways(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	first := make(map[string]bool)
	for _, gateway := range []string{"gateway-1", "gateway-2", "gateway-3", "gateway-4", "gateway-5", "gateway-6"} {
		first[share.Ranked(gateway, names)[0]] = true
		is.Equal(len(share.Ranked(gateway, names)), len(names))
	}
	is.True(len(first) > 1)
}

// TestLinkOfAnEarlierPeerIsNotUsed guards against a sidecar that is linked and gets no
// requests: it was unwanted for a moment, and the link that was being opened for it before
// took the place of its next one.
func TestLinkOfAnEarlierPeerIsNotUsed(t *testing.T) {
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Gateway,
		Name: "g",
	})
	is.NoErr(err)
	dialer := link.Dialer{
		Credential: cred,
		Stats:      &link.Stats{},
	}
	server := httptest.NewServer(link.Handler(t.Context(), dialer, func(_ credential.Peer, c *link.Conn[wire.Work]) {
		_, _ = c.Receive() // returns at the end of the link
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	c := NewCoordinator("g", share.PlacerSettings{}, nil, dialer, nil, slog.New(slog.DiscardHandler))
	former, present := &peer{}, &peer{}
	c.peers[address] = present
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.maintainLink(ctx, dialer, address, former)
	(<-c.events)(time.Now()) // the link is open
	is.True(present.conn == nil)
}
