package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/wire"
)

// TestRateLimitsReachLeadersAndGateways has the gateway report a limit, receive limits from the
// leader, and report all that it knows with the next link.
func TestRateLimitsReachLeadersAndGateways(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	reported := func() (limit float64) {
		leader.set(func(leader *fakeLeader) {
			for _, f := range leader.frames {
				for _, r := range f.RateLimits {
					if r.Upstream == "u" {
						limit = r.Limit.PerSecond
					}
				}
			}
		})
		return limit
	}
	l.ReportRateLimit(dispatch.NewRateLimitReport("u", 2.5))
	eventually(t, "the limit is not reported", func() bool { return reported() == 2.5 })
	is.Equal(l.View().RateLimits["u"], 2.5)
	leader.set(func(leader *fakeLeader) {
		is.NoErr(leader.conns[0].Send(wire.Serve{
			RateLimits: []dispatch.RateLimitReport{dispatch.NewRateLimitReport("u", 0.3)},
		}))
	})
	eventually(t, "the leader's limit is not in force", func() bool { return l.View().RateLimits["u"] == 0.3 })
	leader.set(func(leader *fakeLeader) {
		leader.frames = nil
		leader.conns[0].Close()
	})
	eventually(t, "the new link does not report the limit", func() bool { return reported() == 0.3 })
}

// TestLateDecisionsKeepRateLimits guards against gateways that all send a request at once to
// an upstream with a rate limit, since the leader is late.
func TestLateDecisionsKeepRateLimits(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	leader.decidesNothing = true
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	leader.set(func(leader *fakeLeader) {
		is.NoErr(leader.conns[0].Send(wire.Serve{
			Gateways:   1000,
			RateLimits: []dispatch.RateLimitReport{dispatch.NewRateLimitReport("u", 0.3)},
		}))
	})
	eventually(t, "the leader's limit is not in force", func() bool { return l.View().RateLimits["u"] == 0.3 })
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
	})
	is.Equal(d.Reason, dispatch.RateLimited)
}
