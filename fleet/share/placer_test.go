package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newPlacer(settings PlacerSettings) *Placer {
	return NewPlacer(settings, rand.New(rand.NewPCG(1, 1)))
}

// TestPlacerSettlesEachRequestOnce drives a placer with random calls: each request is
// started or rejected exactly once, and never after it was cancelled.
func TestPlacerSettlesEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		p := newPlacer(PlacerSettings{
			MaxWaiting: 5,
		})
		settled := make(map[uint64]string)
		waiting := make(map[uint64]TeamID)
		next := uint64(0)
		take := func() {
			for _, a := range p.TakeActions() {
				var id uint64
				switch a := a.(type) {
				case Start:
					id = a.Request.ID
				case Reject:
					id = a.Request.ID
				default:
					continue
				}
				if was := settled[id]; was != "" {
					t.Fatalf("request %d is settled twice, first as %s", id, was)
				}
				settled[id] = fmt.Sprintf("%T", a)
				delete(waiting, id)
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			sidecar := fmt.Sprintf("sidecar-%d", rapid.IntRange(1, 5).Draw(t, "sidecar"))
			team := TeamID(rapid.IntRange(1, 3).Draw(t, "team"))
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0, 1:
				next++
				waiting[next] = team
				p.Arrive(now, Request{
					ID:         next,
					Team:       team,
					Deadline:   now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond),
					Idempotent: rapid.Bool().Draw(t, "idempotent"),
				})
			case 2:
				p.Grant(now, sidecar, Grant{
					ID:   uint64(rapid.IntRange(1, 1000).Draw(t, "grant")),
					Team: team,
				})
			case 3:
				p.SetSidecar(sidecar, []UpstreamID{1})
			case 4:
				p.RemoveSidecar(sidecar)
			case 5:
				p.SetSpareCapacity(sidecar, rapid.Bool().Draw(t, "spare capacity"))
			case 6:
				for id, of := range waiting {
					if p.Cancel(of, id) {
						settled[id] = "cancelled"
						delete(waiting, id)
					}
					break
				}
			}
			take()
			p.Tick(now)
			take()
			if p.Waiting() != len(waiting) {
				t.Fatalf("%d requests wait, want %d", p.Waiting(), len(waiting))
			}
		}
		p.Tick(now.Add(time.Hour))
		take()
		if p.Waiting() != 0 || len(settled) != int(next) {
			t.Fatalf("%d of %d requests settled, %d wait", len(settled), next, p.Waiting())
		}
	})
}

func arrive(p *Placer, id uint64, prefix uint64) {
	p.Arrive(start, Request{
		ID:       id,
		Team:     1,
		Deadline: start.Add(time.Minute),
		Prefix:   prefix,
	})
}

// TestPlacerSendsFewDemandsForManyRequests guards against a frame for every arriving request:
// a flood raises the demand at each sidecar only in doubling steps.
func TestPlacerSendsFewDemandsForManyRequests(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{
		MaxWaiting: 100_000,
	})
	for i := range 10 {
		p.SetSidecar(fmt.Sprintf("sidecar-%d", i), []UpstreamID{UpstreamID(i + 1)})
	}
	for i := range 50_000 {
		arrive(p, uint64(i+1), 0)
	}
	is.True(len(p.TakeActions()) <= DefaultFanout*5) // 1, 2, 4, 8 and 16 at each
}

// TestPlacerRejectsImmediately guards against requests that wait without a chance to run:
// those without an upstream after LinkGrace, beyond MaxWaiting or past their deadline are
// rejected, each with its reason.
func TestPlacerRejectsImmediately(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{
		MaxWaiting: 1,
	})
	arrive(p, 1, 0)
	is.Equal(len(p.TakeActions()), 0) // within LinkGrace requests wait
	p.Tick(start.Add(DefaultLinkGrace))
	is.Equal(p.TakeActions()[0].(Reject).Reason, RejectNoUpstream)
	p.Arrive(start.Add(DefaultLinkGrace), Request{
		ID:       9,
		Team:     1,
		Deadline: start.Add(time.Minute),
	})
	is.Equal(p.TakeActions()[0].(Reject).Reason, RejectNoUpstream) // rejected without waiting
	p.SetSidecar("sidecar-1", []UpstreamID{1})
	arrive(p, 2, 0)
	p.TakeActions()
	arrive(p, 3, 0)
	rejected := p.TakeActions()[0].(Reject)
	is.Equal(rejected.Reason, RejectQueueFull)
	is.True(rejected.RetryAfter >= time.Second)
	p.Tick(start.Add(time.Minute))
	var reasons []RejectReason
	for _, a := range p.TakeActions() {
		if r, ok := a.(Reject); ok {
			reasons = append(reasons, r.Reason)
		}
	}
	is.Equal(reasons, []RejectReason{RejectDeadline})
}

// TestPlacerWidensForTeamThatWaits guards against a request that waits at a few busy sidecars
// while others could run it: its demand goes to more and more sidecars.
func TestPlacerWidensForTeamThatWaits(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{})
	for i := range 40 {
		p.SetSidecar(fmt.Sprintf("sidecar-%d", i), []UpstreamID{UpstreamID(i + 1)})
	}
	arrive(p, 1, 0)
	is.Equal(len(p.TakeActions()), DefaultFanout)
	now := start
	for range 5 {
		now = now.Add(DefaultWidenAfter)
		p.Tick(now)
	}
	is.Equal(len(p.teams[1].sidecars), 40)
}

// TestPlacerSendsDemandToIdleSidecar checks that a waiting request's demand goes to a sidecar
// as soon as that one advertises spare capacity.
func TestPlacerSendsDemandToIdleSidecar(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{
		Fanout: 1,
	})
	p.SetSidecar("sidecar-1", []UpstreamID{1})
	p.SetSidecar("sidecar-2", []UpstreamID{2})
	arrive(p, 1, 0)
	first := p.TakeActions()[0].(SendDemand).Sidecar
	idle := map[string]string{
		"sidecar-1": "sidecar-2",
		"sidecar-2": "sidecar-1",
	}[first]
	p.SetSpareCapacity(idle, true)
	is.Equal(p.TakeActions()[0].(SendDemand).Sidecar, idle)
}

// TestPlacerFanoutFollowsGrantLatency checks that one request is sent to one sidecar where
// first grants take a millisecond, and to DefaultFanout where they take a second.
func TestPlacerFanoutFollowsGrantLatency(t *testing.T) {
	for _, test := range []struct {
		name     string
		wait     time.Duration
		sidecars int
	}{
		{
			name:     "fast grants",
			wait:     time.Millisecond,
			sidecars: 1,
		},
		{
			name:     "slow grants",
			wait:     time.Second,
			sidecars: DefaultFanout,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPlacer(PlacerSettings{}, rand.New(rand.NewPCG(1, 1)))
			for _, name := range []string{"sidecar-1", "sidecar-2", "sidecar-3", "sidecar-4"} {
				p.SetSidecar(name, []UpstreamID{1})
			}
			now := start
			demands := 0
			for id := range uint64(2) {
				p.Arrive(now, Request{
					ID:       id + 1,
					Team:     1,
					Deadline: now.Add(time.Minute),
				})
				demands = 0
				sidecar := ""
				for _, a := range p.TakeActions() {
					if d, ok := a.(SendDemand); ok {
						demands++
						sidecar = d.Sidecar
					}
				}
				now = now.Add(test.wait)
				p.Grant(now, sidecar, Grant{
					ID:   id + 1,
					Team: 1,
				})
				p.TakeActions()
			}
			is.Equal(demands, test.sidecars)
		})
	}
}

// TestPlacerDemandsOneNonIdempotentWhilePrefetching guards against grants that are declined:
// while sidecars prefetch, a demand counts one non-idempotent request.
func TestPlacerDemandsOneNonIdempotentWhilePrefetching(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{})
	p.SetSidecar("sidecar-1", []UpstreamID{1})
	p.Grant(start, "sidecar-1", Grant{
		ID:       1,
		Team:     1,
		Upstream: 1,
		Prefetch: true,
	})
	p.Tick(start)
	for id := range uint64(8) {
		p.Arrive(start, Request{
			ID:       id + 1,
			Team:     2,
			Deadline: start.Add(time.Minute),
		})
	}
	demanded := 0
	for _, a := range p.TakeActions() {
		if d, ok := a.(SendDemand); ok {
			demanded = d.Demand.Count
		}
	}
	is.Equal(demanded, 1)
}
