package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// sixTeams are teams with long drafts, chats, labels and all of them, and one that sends
// few chats. Together they ask for twice the declared throughput; one in turn asks for
// more.
func sixTeams(more float64) []client {
	all := []load{drafts, chats, labels}
	clients := []client{
		{
			team: "drafts",
			load: []load{drafts},
		},
		{
			team: "chats",
			load: []load{chats},
		},
		{
			team: "labels",
			load: []load{labels},
		},
		{
			team: "all",
			load: all,
		},
		{
			team: "all too",
			load: all,
		},
		{
			team: "few chats",
			load: []load{chats},
		},
	}
	for i := range clients {
		base := 0.4
		if clients[i].team == "few chats" {
			base = 0.12
		}
		clients[i].rate = inTurn(base, more, 6, len(clients), i)
	}
	return clients
}

// TestNoTeamIsShortOnSlowEngines: engines read at the declared speed or far below it, so
// that all teams are under their shares of what is declared and still can't all be
// served. In no six seconds a team receives less than half of what is due to it.
func TestNoTeamIsShortOnSlowEngines(t *testing.T) {
	for _, speed := range []float64{1, 0.6, 0.4, 0.25} {
		for _, more := range []float64{0.2, 0.9} {
			t.Run(fmt.Sprintf("speed %.2f, %.1f more", speed, more), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(4) {
					out := fairPattern{
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

// manyTeams are thirty teams of very different sizes that together ask for a bit more
// than the declared throughput. Small ones flood for some seconds each, one after the
// other, with many times their usual, so that the floods overlap.
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
	mixes := [][]load{mixed, {chats}, {labels, chats}, {drafts}, mixed}
	sum := 0.0
	for i := range teams {
		sum += 1 / float64(i+2)
	}
	var clients []client
	for i := range teams {
		size := 1.1 / float64(i+2) / sum
		clients = append(clients, client{
			team: fmt.Sprintf("t%02d", i),
			load: mixes[i%len(mixes)],
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

// TestNoTeamIsShortInFloods: many teams, small ones flood one after the other, at the
// declared speed and with engines that read slower.
func TestNoTeamIsShortInFloods(t *testing.T) {
	for _, speed := range []float64{1, 0.6, 0.4} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				out := fairPattern{
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

// TestNoTeamIsShortAfterANewLeader: the leader changes during the floods, twice, and the
// new ones know only what gateways tell them.
func TestNoTeamIsShortAfterANewLeader(t *testing.T) {
	for _, speed := range []float64{1, 0.5} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				out := fairPattern{
					seed:    seed,
					seconds: 24,
					speed:   speed,
					clients: sixTeams(0.9),
					disturb: func(w *world, second int) {
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
// requests without asking, and what it lets through is still more than the team's share.
func TestNoTeamIsShortBehindACrowdedGateway(t *testing.T) {
	for _, speed := range []float64{1, 0.5} {
		t.Run(fmt.Sprintf("speed %.2f", speed), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				clients := sixTeams(0.2)
				crowded := clients[1+seed%2]
				crowded.rate = constant(1)
				clients[1+seed%2] = crowded
				out := fairPattern{
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

// TestNoTeamIsShortThroughOneGateway: three teams flood alike, one through a single
// gateway, which asks the leader about few of its requests, one through three, and one
// through all sixty; three others ask for their shares and not much more.
func TestNoTeamIsShortThroughOneGateway(t *testing.T) {
	for _, speed := range []float64{1, 0.6} {
		for name, load := range map[string][]load{
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
							team: fmt.Sprintf("flood %d", i),
							load: load,
							rate: constant(1.5),
						}
					}
					out := fairPattern{
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

// TestNoTeamIsShortWhoseRequestsAreUnsent: teams flood, and most of what the leader places
// of one of them is not sent, since its gateway is slow. What never began does not count
// as received.
func TestNoTeamIsShortWhoseRequestsAreUnsent(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		clients := sixTeams(0.2)
		slow := &clients[1+seed%2]
		slow.rate = constant(2)
		out := fairPattern{
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
