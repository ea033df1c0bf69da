package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/wire"
)

// endedWith returns the number of requests that were reported to the leader with the given
// outcome.
func (l *fakeLeader) endedWith(outcome dispatch.Outcome) (n int) {
	l.set(func(l *fakeLeader) {
		for _, f := range l.frames {
			for _, e := range f.Ended {
				if e.Outcome == outcome {
					n++
				}
			}
		}
	})
	return n
}

// TestLatePlacementIsReleased has the leader place a request after the gateway refused it
// locally: the gateway reports it as unsent. Otherwise the leader would go on counting it as
// placed.
func TestLatePlacementIsReleased(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	leader.decidesLate = true
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	l.ReportNotice(dispatch.Notice{
		Upstream: "u",
		Leaving:  true, // the gateway has no other upstream
	})
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
	})
	is.Equal(d.Reason, dispatch.NoUpstream)
	eventually(t, "the late placement is not reported as unsent", func() bool { return leader.endedWith(dispatch.Unsent) == 1 })
}

// TestPlacementAtDecliningUpstreamIsRequestedAgain has the leader place a request at an
// upstream that has just told the gateway to send nothing. The gateway reports the request
// as unsent, asks again with that upstream excluded, and reports the notice.
func TestPlacementAtDecliningUpstreamIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	l.ReportNotice(dispatch.Notice{
		Upstream: "u",
		Backoff:  time.Minute,
	})
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
	}) // the leader has no other upstream and places it there again
	is.Equal(d.Upstream, "")
	is.True(d.RetryAfter > 50*time.Second)
	is.True(leader.endedWith(dispatch.Unsent) >= 1)
	leader.set(func(f *fakeLeader) {
		notices, excluded := 0, 0
		for _, frame := range f.frames {
			notices += len(frame.UpstreamNotices)
			for _, r := range frame.PlacementRequests {
				excluded += len(r.Excluded)
			}
		}
		is.Equal(notices, 1)
		is.True(excluded > 0)
	})
	// The next link reports the notice again.
	leader.set(func(f *fakeLeader) {
		f.frames = nil
		f.conns[0].Close()
	})
	eventually(t, "the new link does not report the notice", func() bool {
		notices := 0
		leader.set(func(f *fakeLeader) {
			for _, frame := range f.frames {
				notices += len(frame.UpstreamNotices)
			}
		})
		return notices == 1
	})
}

// changeOf returns the change from one configuration document to another.
func changeOf(t *testing.T, from, to string) *configuration.Change {
	t.Helper()
	var snapshots [2]*configuration.Snapshot
	for i, document := range []string{from, to} {
		parsed, err := configuration.Parse([]byte(document))
		if err != nil {
			t.Fatal(err)
		}
		if snapshots[i], err = configuration.NewSnapshot(parsed); err != nil {
			t.Fatal(err)
		}
	}
	return snapshots[1].Since(snapshots[0])
}

// TestConfigurationChange has the leader send a change of the configuration, and then one
// with another base: the gateway links again for the whole configuration.
func TestConfigurationChange(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	const next = `{"version":4,"routes":[],"services":[{"name":"desk"},{"name":"llm"}],"limits":{},"teams":[]}`
	leader.set(func(f *fakeLeader) {
		is.NoErr(f.conns[0].Send(wire.Serve{
			Change: changeOf(t, document, next),
		}))
	})
	eventually(t, "the changed configuration is not in force", func() bool { return l.View().Table.Configuration.Version == 4 })
	is.True(l.View().Table.Service("llm") != nil)
	const other = `{"version":4,"routes":[],"services":[{"name":"other"}],"limits":{},"teams":[]}`
	const last = `{"version":5,"routes":[],"services":[{"name":"other"},{"name":"llm"}],"limits":{},"teams":[]}`
	leader.set(func(f *fakeLeader) {
		f.hellos = nil
		is.NoErr(f.conns[0].Send(wire.Serve{
			Change: changeOf(t, other, last),
		}))
	})
	eventually(t, "not linked again for the whole configuration", func() bool {
		requested := false
		leader.set(func(f *fakeLeader) { requested = len(f.hellos) > 0 && f.hellos[0].Version == 0 })
		return requested
	})
}
