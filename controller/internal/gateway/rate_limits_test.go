package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/wire"
)

// TestRateLimitsBindAllGateways guards against limits that each gateway keeps for itself: one
// gateway reports the limit, and requests of another one are refused.
func TestRateLimitsBindAllGateways(t *testing.T) {
	is := is.New(t)
	h := newLeadingHub()
	a, b := &conn{
		name: "a",
	}, &conn{
		name: "b",
	}
	h.receive(a, wire.Serve{
		RateLimits: []dispatch.RateLimitReport{
			dispatch.NewRateLimitReport("u1", 0.5),
			dispatch.NewRateLimitReport("u2", 0.5),
		},
	})
	is.Equal(place(h, b, request(1)).Reason, dispatch.RateLimited)
}

// TestLocalPlacementsCountAgainstRateLimits guards against requests that gateways placed by
// themselves, as the leader was late, and that the leader doesn't count.
func TestLocalPlacementsCountAgainstRateLimits(t *testing.T) {
	is := is.New(t)
	h := newLeadingHub()
	h.setUpstreams([]dispatch.Upstream{{
		ID:      "u1",
		Service: "llm",
		Slots:   64,
	}})
	c := &conn{
		name: "a",
	}
	h.receive(c, wire.Serve{
		RateLimits: []dispatch.RateLimitReport{dispatch.NewRateLimitReport("u1", 20)},
	})
	time.Sleep(250 * time.Millisecond) // more than a burst at 20 a second
	var local []wire.InFlight
	for id := range uint64(4) {
		local = append(local, wire.InFlight{
			ID:       100 + id,
			Upstream: "u1",
		})
	}
	h.receive(c, wire.Serve{
		InFlight: local,
	})
	is.Equal(place(h, c, request(1)).Reason, dispatch.RateLimited)
}
