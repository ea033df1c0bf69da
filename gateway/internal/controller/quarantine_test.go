package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/wire"
)

// crashingPrompt has the shared segment 77.
var crashingPrompt = dispatch.Prompt{
	Tokens: 200,
	Segments: []dispatch.PromptSegment{
		{
			ID:     77,
			Tokens: 100,
		},
		{
			ID:     1077,
			Tokens: 100,
		},
	},
}

// TestGatewayWithoutLeaderKeepsQuarantine guards against a gateway that sends requests with
// a quarantined segment while it has no leader, and against a new leader that does not hear
// of the quarantine.
func TestGatewayWithoutLeaderKeepsQuarantine(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	leader.set(func(l *fakeLeader) {
		_ = l.conns[0].Send(wire.Serve{
			Quarantine: []quarantine.Record{
				{
					Subject: quarantine.Subject{
						ID: 77,
					},
					Rounds:  3,
					Crashes: 3,
					TrialIn: time.Minute,
				},
			},
			Gateways: 2,
		})
	})
	eventually(t, "the frame was not received", func() bool { return l.View().Gateways == 2 })
	leader.set(func(l *fakeLeader) { l.decidesNothing = true })
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
		Prompt:  crashingPrompt,
	})
	is.Equal(d.Reason, dispatch.Quarantined)
	is.True(d.RetryAfter > time.Minute-5*time.Second) // until the trial
	leader.set(func(l *fakeLeader) {
		l.frames = nil
		l.conns[0].Close()
	})
	eventually(t, "the new link does not report the quarantine", func() bool {
		found := false
		leader.set(func(l *fakeLeader) {
			for _, f := range l.frames {
				for _, r := range f.Quarantine {
					found = found || r.ID == 77 && r.Rounds == 3
				}
			}
		})
		return found
	})
}

// TestNewLeaderReceivesSuspects guards against a new leader that doesn't hear of a request which an
// upstream crashed with under the leader before.
func TestNewLeaderReceivesSuspects(t *testing.T) {
	is := is.New(t)
	first, second := startLeader(t), startLeader(t)
	l := startLink(t, []string{first.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	first.set(func(f *fakeLeader) {
		for _, ids := range [][]uint64{{7, 8}, {42}} { // the last list counts
			frame := wire.Serve{
				SuspectsComplete: true,
			}
			for _, id := range ids {
				frame.Suspects = append(frame.Suspects, quarantine.Record{
					Subject: quarantine.Subject{
						ID:   id,
						Kind: quarantine.Request,
					},
					Rounds:     1,
					Crashes:    1,
					SinceCrash: time.Minute,
				})
			}
			_ = f.conns[0].Send(frame)
		}
		_ = f.conns[0].Send(wire.Serve{
			Gateways: 2,
		})
	})
	eventually(t, "the frames were not received", func() bool { return l.View().Gateways == 2 })
	l.SetSeeds([]string{second.address})
	first.set(func(f *fakeLeader) { f.conns[0].Close() })
	var received []quarantine.Record
	eventually(t, "no suspects are reported", func() bool {
		second.set(func(f *fakeLeader) {
			for _, frame := range f.frames {
				received = append(received, frame.Suspects...)
			}
		})
		return len(received) > 0
	})
	is.Equal(received[0].ID, uint64(42))
	is.True(received[0].SinceCrash >= time.Minute)
}

// TestCompleteQuarantineReplaces checks that a gateway that was out of touch drops what the
// leader has released meanwhile.
func TestCompleteQuarantineReplaces(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	leader.set(func(l *fakeLeader) {
		l.decidesNothing = true
		_ = l.conns[0].Send(wire.Serve{
			Quarantine: []quarantine.Record{
				{
					Subject: quarantine.Subject{
						ID: 77,
					},
					Rounds: 3,
				},
			},
		})
		_ = l.conns[0].Send(wire.Serve{
			QuarantineComplete: true,
			Gateways:           2,
		})
	})
	eventually(t, "the frames were not received", func() bool { return l.View().Gateways == 2 })
	d := l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
		Prompt:  crashingPrompt,
	})
	is.Equal(d.Upstream, "u")
}
