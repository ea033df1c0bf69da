package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// sixTeams returns teams that send long drafts, chats, labels or all of them, and one that
// sends few chats. Together they demand twice the declared throughput; each in turn demands
// more, by a fraction of the declared throughput.
func sixTeams(more float64) []client {
	all := []requestKind{drafts, chats, labels}
	clients := []client{
		{
			team:  "drafts",
			kinds: []requestKind{drafts},
		},
		{
			team:  "chats",
			kinds: []requestKind{chats},
		},
		{
			team:  "labels",
			kinds: []requestKind{labels},
		},
		{
			team:  "all",
			kinds: all,
		},
		{
			team:  "all too",
			kinds: all,
		},
		{
			team:  "few chats",
			kinds: []requestKind{chats},
		},
	}
	for i := range clients {
		base := 0.4
		if clients[i].team == "few chats" {
			base = 0.12
		}
		clients[i].rate = rotatingDemand(base, more, 6, len(clients), i)
	}
	return clients
}

// TestNoTeamIsShortOnSlowEngines: engines prefill at the declared speed or far below it, so
// that teams under their shares of the declared throughput can't all be served. In no span
// of six seconds does a team receive less than half of its due.
func TestNoTeamIsShortOnSlowEngines(t *testing.T) {
	for _, speed := range []float64{1, 0.6, 0.4, 0.25} {
		for _, more := range []float64{0.2, 0.9} {
			t.Run(fmt.Sprintf("speed %.2f, %.1f more", speed, more), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(4) {
					out := fairScenario{
						seed:    seed,
						seconds: 24,
						speed:   speed,
						clients: sixTeams(more),
					}.run()
					t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.ServedFraction(), out.at, out.worst)
					is.Equal(out.short, 0)
				}
			})
		}
	}
}

// manyTeams returns thirty teams of very different sizes that together demand slightly more
// than the declared throughput. Small ones flood for some seconds each with many times
// their usual demand, in overlapping spans.
func manyTeams() []client {
	const teams = 30
	floods := []struct {
		team, from, to int
		times          float64
	}{
		{9, 2, 10, 10},
		{3, 8, 14, 5},
		{12, 10, 16, 15},
		{7, 12, 19, 13},
		{20, 14, 20, 15},
		{4, 16, 24, 6},
	}
	mixes := [][]requestKind{mixed, {chats}, {labels, chats}, {drafts}, mixed}
	sum := 0.0
	for i := range teams {
		sum += 1 / float64(i+2)
	}
	var clients []client
	for i := range teams {
		size := 1.1 / float64(i+2) / sum
		clients = append(clients, client{
			team:  fmt.Sprintf("t%02d", i),
			kinds: mixes[i%len(mixes)],
			rate: func(second int) float64 {
				for _, f := range floods {
					if f.team == i && second >= f.from && second < f.to {
						return f.times * size
					}
				}
				return size
			},
		})
	}
	return clients
}

// TestNoTeamIsShortInFloods: many teams, of which small ones flood in overlapping spans, at
// the declared speed and with slower engines.
func TestNoTeamIsShortInFloods(t *testing.T) {
	for _, speed := range []float64{1, 0.6, 0.4} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				out := fairScenario{
					seed:    seed,
					seconds: 24,
					speed:   speed,
					clients: manyTeams(),
				}.run()
				t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.ServedFraction(), out.at, out.worst)
				is.Equal(out.short, 0)
			}
		})
	}
}

// TestNoTeamIsShortAfterANewLeader: the leader changes twice during the floods, and each
// new leader knows only what the gateways report.
func TestNoTeamIsShortAfterANewLeader(t *testing.T) {
	for _, speed := range []float64{1, 0.5} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				out := fairScenario{
					seed:    seed,
					seconds: 24,
					speed:   speed,
					clients: sixTeams(0.9),
					disturb: func(w *simulation, second int) {
						if second == 9 || second == 14 {
							w.newLeader()
						}
					},
				}.run()
				t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.ServedFraction(), out.at, out.worst)
				is.Equal(out.short, 0)
			}
		})
	}
}

// TestNoTeamIsShortBehindACrowdedGateway: the gateway of one team refuses most of its
// requests without asking, and the rest still exceeds the team's share.
func TestNoTeamIsShortBehindACrowdedGateway(t *testing.T) {
	for _, speed := range []float64{1, 0.5} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				clients := sixTeams(0.2)
				crowded := clients[1+seed%2]
				crowded.rate = constantDemand(1)
				clients[1+seed%2] = crowded
				out := fairScenario{
					seed:    seed,
					seconds: 24,
					speed:   speed,
					clients: clients,
					shed: map[string]float64{
						crowded.team: 0.7,
					},
				}.run()
				t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.ServedFraction(), out.at, out.worst)
				is.Equal(out.short, 0)
			}
		})
	}
}

// TestNoTeamIsShortThroughOneGateway: three teams flood with equal demand: one through a
// single gateway, whose throttle lets few requests ask the leader, one through three, and
// one through all sixty. Three others demand their shares and little more.
func TestNoTeamIsShortThroughOneGateway(t *testing.T) {
	for _, speed := range []float64{1, 0.6} {
		for name, kinds := range map[string][]requestKind{
			"chats":  {chats},
			"labels": {labels},
			"drafts": {drafts},
			"mixed":  mixed,
		} {
			t.Run(fmt.Sprintf("%s, speed %.2f", name, speed), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(4) {
					clients := sixTeams(0.2)
					for i := range 3 {
						clients[i] = client{
							team:  fmt.Sprintf("flood %d", i),
							kinds: kinds,
							rate:  constantDemand(1.5),
						}
					}
					out := fairScenario{
						seed:     seed,
						seconds:  24,
						speed:    speed,
						clients:  clients,
						gateways: 60,
						through: map[string]int{
							"flood 0": 1,
							"flood 1": 3,
						},
					}.run()
					t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.ServedFraction(), out.at, out.worst)
					is.Equal(out.short, 0)
				}
			})
		}
	}
}

// TestNoTeamIsShortWhoseRequestsAreUnsent: a team floods, and most of what the leader
// places for it is not sent, since its gateway is slow. Requests that never started don't
// count as received.
func TestNoTeamIsShortWhoseRequestsAreUnsent(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		clients := sixTeams(0.2)
		slow := &clients[1+seed%2]
		slow.rate = constantDemand(2)
		out := fairScenario{
			seed:    seed,
			seconds: 24,
			speed:   1,
			clients: clients,
			unsent: map[string]float64{
				slow.team: 0.7,
			},
		}.run()
		t.Logf("seed %d: %.2f at %v: %+v", seed, out.worst.ServedFraction(), out.at, out.worst)
		is.Equal(out.short, 0)
	}
}
