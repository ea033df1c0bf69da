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

// told returns how many requests the leader was told to have ended so.
func (l *leader) told(ending dispatch.Outcome) (n int) {
	l.set(func(l *leader) {
		for _, f := range l.frames {
			for _, e := range f.Ended {
				if e.Outcome == ending {
					n++
				}
			}
		}
	})
	return n
}

// TestLateDecisionIsGivenBack has the leader place a request after the gateway has
// refused it by itself: the leader is told that nothing was sent, so that the place
// does not stay taken.
func TestLateDecisionIsGivenBack(t *testing.T) {
	is := is.New(t)
	front := startLeader(t)
	front.slow = true
	l := startLink(t, []string{front.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	l.ReportNotice(dispatch.Notice{
		Upstream: "u",
		Leaving:  true, // the gateway knows of no other
	})
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
	})
	is.Equal(d.Reason, dispatch.NoUpstream)
	eventually(t, "the place stays taken", func() bool { return front.told(dispatch.Unsent) == 1 })
}

// TestPlacementAfterAWordGoesElsewhere has the leader place a request at an upstream
// that has just told the gateway to send nothing: nothing is sent, the leader is told
// that and asked again, without that upstream, and hears the word.
func TestPlacementAfterAWordGoesElsewhere(t *testing.T) {
	is := is.New(t)
	front := startLeader(t)
	l := startLink(t, []string{front.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	l.ReportNotice(dispatch.Notice{
		Upstream: "u",
		Backoff:  time.Minute,
	})
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
	}) // this leader knows no other upstream and insists
	is.Equal(d.Upstream, "")
	is.True(d.RetryAfter > 50*time.Second)
	is.True(front.told(dispatch.Unsent) >= 1)
	front.set(func(f *leader) {
		words, excluded := 0, 0
		for _, frame := range f.frames {
			words += len(frame.UpstreamNotices)
			for _, r := range frame.PlacementRequests {
				excluded += len(r.Excluded)
			}
		}
		is.Equal(words, 1)
		is.True(excluded > 0)
	})
	// Another link tells the word again.
	front.set(func(f *leader) {
		f.frames = nil
		f.conns[0].Close()
	})
	eventually(t, "the new link does not tell the word", func() bool {
		words := 0
		front.set(func(f *leader) {
			for _, frame := range f.frames {
				words += len(frame.UpstreamNotices)
			}
		})
		return words == 1
	})
}

// changeOf returns what makes one document another.
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

// TestChangeOfTheConfiguration has the leader tell what changed. A change that does not
// fit brings all of the configuration with another link.
func TestChangeOfTheConfiguration(t *testing.T) {
	is := is.New(t)
	front := startLeader(t)
	l := startLink(t, []string{front.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	const next = `{"version":4,"routes":[],"services":[{"name":"desk"},{"name":"llm"}],"limits":{},"teams":[]}`
	front.set(func(f *leader) {
		is.NoErr(f.conns[0].Send(wire.Serve{
			Change: changeOf(t, document, next),
		}))
	})
	eventually(t, "the change is not in force", func() bool { return l.View().Table.Configuration.Version == 4 })
	is.True(l.View().Table.Service("llm") != nil)
	const other = `{"version":4,"routes":[],"services":[{"name":"other"}],"limits":{},"teams":[]}`
	const last = `{"version":5,"routes":[],"services":[{"name":"other"},{"name":"llm"}],"limits":{},"teams":[]}`
	front.set(func(f *leader) {
		f.hellos = nil
		is.NoErr(f.conns[0].Send(wire.Serve{
			Change: changeOf(t, other, last),
		}))
	})
	eventually(t, "not linked anew for all of it", func() bool {
		asked := false
		front.set(func(f *leader) { asked = len(f.hellos) > 0 && f.hellos[0].Version == 0 })
		return asked
	})
}
