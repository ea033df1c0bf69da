package controller

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/wire"
)

// TestCutOffGatewayRefusesUnknownStreamsAtOnce guards against a gateway without a leader and with
// the list of before a release that continues a stream at a version which it knows, or keeps its
// caller waiting. Streams that it has forwarded itself go on.
func TestCutOffGatewayRefusesUnknownStreamsAtOnce(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	l.ReportBegun(1, origin.Origin{
		Service: "desk",
		Version: "v1",
	})
	l.ReportBegun(2, origin.Origin{
		Service: "desk",
		Version: "v2", // its upstreams are not in the list
	})
	l.SetSeeds([]string{"127.0.0.1:1"})
	leader.set(func(f *fakeLeader) { f.conns[0].Close() })
	eventually(t, "still linked", func() bool { return l.View().Leader == "" })

	started := time.Now()
	d := l.Place(context.Background(), continuation(1, 7))
	is.True(time.Since(started) < decisionTimeout)
	is.Equal(d.Upstream, "")
	is.Equal(d.Reason, dispatch.UnknownVersion)
	is.True(d.RetryAfter > 0) // another gateway may know it
	d = l.Place(context.Background(), continuation(2, 1))
	is.Equal(d.Upstream, "u")
	is.Equal(d.Version, "v1")
	is.Equal(l.Place(context.Background(), continuation(3, 2)).Reason, dispatch.VersionUnavailable)
}

// TestDecisionAfterItsTimeIsDropped guards against a gateway that stood still, refuses a
// continuation since its time is over, and then sends it where the leader placed it before.
func TestDecisionAfterItsTimeIsDropped(t *testing.T) {
	is := is.New(t)
	l := New(Settings{
		Name: "g",
	}, dialer(t, credential.Gateway), slog.New(slog.DiscardHandler))
	l.scheduler.SetUpstreams([]dispatch.Upstream{{
		ID:      "u",
		Service: "desk",
		Address: "10.0.0.1:80",
		Version: "v1",
	}})
	decided := make(reply, 1)
	l.waiting[1] = waiting{
		request:  continuation(1, 7),
		reply:    decided,
		deadline: time.Now().Add(-time.Second),
	}
	l.originOrder = []uint64{1}
	l.decideExpired(time.Now())
	is.Equal((<-decided).Reason, dispatch.UnknownVersion)
	l.handleDecision(dispatch.Decision{
		ID:       1,
		Upstream: "u",
		Version:  "v1",
	})
	is.Equal(len(decided), 0)
	is.Equal(l.outgoing.Ended, []wire.Ended{wire.NewEnded(1, dispatch.Unsent)})
}
