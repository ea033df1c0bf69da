package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
)

// continuation returns a request that continues a stream.
func continuation(id uint64, s origin.Stream) dispatch.Request {
	return dispatch.Request{
		ID:        id,
		Service:   "desk",
		Stream:    s,
		Continues: true,
	}
}

// TestContinuationWithoutLeader guards against a stream that goes on at any version because its
// gateway decides alone. Only the streams that the gateway itself has forwarded go on.
func TestContinuationWithoutLeader(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	leader.decidesNothing = true
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	started := time.Now()
	d := l.Place(context.Background(), continuation(1, 7))
	is.Equal(d.Reason, dispatch.UnknownVersion)
	is.True(d.RetryAfter > 0) // the leader may know it
	is.True(time.Since(started) >= originTimeout)
	l.ReportBegun(7, origin.Origin{
		Service: "desk",
		Version: "v1",
	})
	l.ReportBegun(8, origin.Origin{
		Service: "desk",
		Version: "v9",
	})
	l.ReportBegun(9, origin.Origin{
		Service: "other",
		Version: "v1",
	})
	l.ReportBegun(10, origin.Origin{
		Service: "desk",
	})
	d = l.Place(context.Background(), continuation(2, 7))
	is.Equal(d.Upstream, "u")
	is.Equal(d.Version, "v1")
	is.Equal(l.Place(context.Background(), continuation(3, 8)).Reason, dispatch.VersionUnavailable)
	for id, s := range map[uint64]origin.Stream{4: 9, 5: 10} {
		d = l.Place(context.Background(), continuation(id, s))
		is.Equal(d.Reason, dispatch.UnknownVersion)
		is.Equal(d.RetryAfter, time.Duration(0))
	}
}

// TestContinuationAtAnotherServiceOfItsRoute guards against streams that this gateway has forwarded and
// refuses to continue since the weights of their route have changed.
func TestContinuationAtAnotherServiceOfItsRoute(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	l.ReportBegun(7, origin.Origin{
		Service: "desk",
		Version: "v1",
	})
	r := continuation(1, 7)
	r.Service, r.Services = "other", []string{"desk", "other"}
	d := l.Place(context.Background(), r)
	is.Equal(d.Upstream, "u")
	is.Equal(d.Version, "v1")
	asked := dispatch.Request{}
	leader.set(func(l *fakeLeader) {
		for _, f := range l.frames {
			for _, r := range f.PlacementRequests {
				asked = r
			}
		}
	})
	is.Equal(asked.Service, "desk")
}

// TestContinuationDelaysNoOtherRequest guards against requests that wait for the decision on a
// continuation, which takes longer to expire.
func TestContinuationDelaysNoOtherRequest(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	leader.decidesNothing = true
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	waiting := make(chan dispatch.Decision)
	go func() { waiting <- l.Place(context.Background(), continuation(1, 7)) }()
	time.Sleep(10 * time.Millisecond)
	started := time.Now()
	is.Equal(l.Place(context.Background(), dispatch.Request{
		ID:      2,
		Service: "desk",
	}).Upstream, "u")
	is.True(time.Since(started) < originTimeout-50*time.Millisecond)
	is.Equal((<-waiting).Reason, dispatch.UnknownVersion)
}

// TestNewLeaderReceivesOrigins guards against a new leader that refuses to continue streams which
// the gateways have forwarded.
func TestNewLeaderReceivesOrigins(t *testing.T) {
	is := is.New(t)
	reported := func(l *fakeLeader) (streams []origin.Stream) {
		l.set(func(l *fakeLeader) {
			for _, f := range l.frames {
				for _, b := range f.Begun {
					is.Equal(b.Service+" "+b.Version, "desk v1")
					streams = append(streams, b.Streams...)
				}
			}
		})
		return streams
	}
	first, second := startLeader(t), startLeader(t)
	l := startLink(t, []string{first.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	for s := range origin.Stream(3) {
		l.ReportBegun(s+1, origin.Origin{
			Service: "desk",
			Version: "v1",
		})
	}
	eventually(t, "not reported", func() bool { return len(reported(first)) == 3 })
	l.SetSeeds([]string{second.address})
	first.set(func(f *fakeLeader) { f.conns[0].Close() })
	eventually(t, "not reported to the second leader", func() bool { return len(reported(second)) == 3 })
}
