package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
)

// TestReachFollowsWaiting links few sidecars at rest, all of a large pool within
// seconds while requests wait, and few again afterwards.
func TestReachFollowsWaiting(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	r := reach{
		links: leastLinks,
	}
	step := func(d time.Duration, waiting bool) {
		for range int(d / tickInterval) {
			now = now.Add(tickInterval)
			r.update(now, waiting)
		}
	}
	step(time.Minute, false)
	is.Equal(r.links, leastLinks)
	step(3*time.Second, true)
	is.True(r.links >= 1000)
	step(calmTime/2, false)
	is.True(r.links >= 1000) // not at the first pause
	step(calmTime, false)
	is.Equal(r.links, leastLinks)
}

func TestHeartbeatsCostTheSameForManyLinks(t *testing.T) {
	is := is.New(t)
	is.Equal(heartbeatFor(10), link.DefaultHeartbeatInterval)
	is.Equal(heartbeatFor(100), 6*time.Second)
	is.Equal(heartbeatFor(10_000), maxHeartbeat)
}

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
