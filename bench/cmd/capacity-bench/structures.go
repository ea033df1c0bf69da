package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"baobabpaddle/bench/internal/measure"
	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/state"
)

// Sizes of the measured data structures.
const (
	teams           = 31_000
	backloggedTeams = 3_100
	claims          = 20_000
	requests        = 50_000
)

// heapBytes returns the heap in use after garbage collection. It collects three times,
// since buffers in a sync.Pool survive the first collection and go with the second.
func heapBytes() float64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// perItem runs build and returns the heap bytes and the microseconds per item for n
// items, and what build returned.
func perItem(n int, build func() any) (bytes, micros float64, kept any) {
	before := heapBytes()
	started := time.Now()
	kept = build()
	micros = float64(time.Since(started).Microseconds()) / float64(n)
	bytes = (heapBytes() - before) / float64(n)
	return bytes, micros, kept
}

// measureStructures prints the costs of the data structures that hold teams, claims,
// queues and accounts, measured in this process without I/O.
func measureStructures() error {
	if err := measureState(); err != nil {
		return err
	}
	measureQueue()
	measureAccountant()
	measureGateway()
	return nil
}

// measureState prints the cost of a team and of a claim in the controllers' replicated
// state.
func measureState() error {
	now := time.Now()
	commands := make([]state.Command, 0, teams)
	for i := range teams {
		r, err := measure.NewTeam(fmt.Sprintf("team-%05d", i))
		if err != nil {
			return err
		}
		commands = append(commands, state.Command{
			Time: now,
			Put: &state.Put{
				Resource: r,
			},
		})
	}
	bytes, micros, kept := perItem(teams, func() any {
		s := state.New()
		for i, c := range commands {
			s.Apply(uint64(i), c)
		}
		return s
	})
	s := kept.(*state.State)
	printSlope("controller", "team", "heap_bytes", bytes)
	printSlope("controller", "team", "apply_us", micros)
	started := time.Now()
	data, err := s.Snapshot()
	if err != nil {
		return err
	}
	printSlope("controller", "team", "snapshot_bytes", float64(len(data))/teams)
	printSlope("controller", "team", "snapshot_us", float64(time.Since(started).Microseconds())/teams)
	s.Apply(1, state.Command{
		Time: now,
		Start: &state.SidecarStart{
			Sidecar:     "s",
			Incarnation: "i",
		},
	})
	bytes, micros, _ = perItem(claims, func() any {
		for i := range claims {
			claimAndFinish(s, now, fmt.Sprintf("team:service:%032d", i))
		}
		return s
	})
	printSlope("controller", "claim", "heap_bytes", bytes)
	printSlope("controller", "claim", "apply_us", micros)
	runtime.KeepAlive(commands)
	return nil
}

// claimAndFinish applies a claim and its outcome with an answer of 100 bytes.
func claimAndFinish(s *state.State, now time.Time, key string) {
	s.Apply(1, state.Command{
		Time: now,
		Claim: &state.ClaimRequest{
			Key:         key,
			Team:        "team",
			Service:     "service",
			Digest:      "0123456789012345678901234567890123456789012345678901234567890123",
			Sidecar:     "s",
			Incarnation: "i",
			Nonce:       key,
		},
	})
	s.Apply(2, state.Command{
		Time: now,
		Finish: &state.Finish{
			Key:     key,
			Attempt: 1,
			State:   state.ClaimDone,
			Answer: &state.Answer{
				Status: 201,
				Body:   make([]byte, 100),
			},
		},
	})
}

// unitWeight gives every team the same weight.
func unitWeight(share.TeamID) float64 { return 1 }

// measureQueue prints the cost of a backlogged team, of a demand and of a scheduling
// decision in a sidecar's queue.
func measureQueue() {
	now := time.Now()
	bytes, micros, kept := perItem(backloggedTeams, func() any {
		q := share.NewQueue(share.QueueSettings{}, unitWeight)
		q.SetUpstream(1, 1, false)
		for i := range backloggedTeams {
			q.SetDemand(now, "gateway-1", share.Demand{
				Team:  share.TeamID(i + 1),
				Count: 4,
			})
		}
		return q
	})
	printSlope("sidecar", "backlogged_team", "heap_bytes", bytes)
	printSlope("sidecar", "demand", "us", micros)
	q := kept.(*share.Queue)
	const decisions = 100_000
	started := time.Now()
	var grants []share.GrantTo
	for range decisions {
		grants = q.IssueGrants(now, grants[:0])
		q.Arrive(now, grants[0].Grant.ID, true)
		q.StartNext(now)
		q.Finish(now, grants[0].Grant.ID, 100)
		q.SetDemand(now, "gateway-1", share.Demand{
			Team:  grants[0].Grant.Team,
			Count: 4,
		})
	}
	printSlope("sidecar", "decision", "us", float64(time.Since(started).Microseconds())/decisions)
}

// measureAccountant prints the cost of a team's account per sidecar and of an entry in a
// report, with 250 sidecars that report 100 teams each.
func measureAccountant() {
	const sidecars, each = 250, 100
	now := time.Now()
	report := func(from int, own int64) share.Report {
		r := share.Report{
			Service: 1,
		}
		for i := range each {
			r.Entries = append(r.Entries, share.ReportEntry{
				Team:         share.TeamID((from*each+i*31)%backloggedTeams + 1000),
				Epoch:        1,
				LocalService: own,
				Waiting:      true,
			})
		}
		return r
	}
	a := share.NewAccountant(share.AccountantSettings{}, unitWeight)
	bytes, _, _ := perItem(sidecars*each, func() any {
		for i := range sidecars {
			a.Report(now, fmt.Sprintf("sidecar-%d", i), "i", report(i, 100))
		}
		return a
	})
	printSlope("controller", "team_and_sidecar", "heap_bytes", bytes)
	const rounds = 20
	reports := make([]share.Report, 0, sidecars)
	for i := range sidecars {
		reports = append(reports, report(i, 1000))
	}
	started := time.Now()
	for round := range rounds {
		at := now.Add(time.Duration(round) * time.Second)
		for i, r := range reports {
			a.Report(at.Add(time.Duration(i)*4*time.Millisecond), fmt.Sprintf("sidecar-%d", i), "i", r)
		}
	}
	printSlope("controller", "report_entry", "us", float64(time.Since(started).Microseconds())/(rounds*sidecars*each))
}

// measureGateway prints the cost of a waiting request in a gateway's placer and of a
// team in its cache.
func measureGateway() {
	now := time.Now()
	bytes, micros, _ := perItem(requests, func() any {
		p := share.NewPlacer(share.PlacerSettings{
			MaxWaiting: requests,
		}, rand.New(rand.NewPCG(1, 1)))
		for i := range 250 {
			p.SetSidecar(fmt.Sprintf("sidecar-%d", i), []share.UpstreamID{share.UpstreamID(i + 1)})
		}
		for i := range requests {
			p.Arrive(now, share.Request{
				ID:       uint64(i + 1),
				Team:     share.TeamID(i%backloggedTeams + 1),
				Deadline: now.Add(time.Minute),
			})
		}
		p.TakeActions()
		return p
	})
	printSlope("gateway", "waiting_request", "heap_bytes", bytes)
	printSlope("gateway", "waiting_request", "us", micros)
	bytes, _, _ = perItem(teams, func() any {
		cache := controller.NewTeamCache()
		for i := range teams {
			r, err := measure.NewTeam(fmt.Sprintf("team-%05d", i))
			if err != nil {
				panic(err) // a team's resource always encodes
			}
			r.Version = uint64(i + 1)
			r.Number = r.Version
			r.Spec = append(json.RawMessage(nil), r.Spec...)
			cache.Set(r)
		}
		return cache
	})
	printSlope("gateway", "known_team", "heap_bytes", bytes)
}
