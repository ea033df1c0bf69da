package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"baobabpaddle/fleet/quarantine"
)

// BenchmarkPlace decides on requests of two segments in fleets of three sizes: that of
// existing fleets, a large one and the largest that the Scheduler is designed for, this one
// also with a rate limit at each engine, in requests a second.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct {
		engines, teams int
		limit          float64
	}{
		{78, 60, 0},
		{300, 3_100, 0},
		{1_000, 31_000, 0},
		{1_000, 31_000, 0.5},
	} {
		b.Run(fmt.Sprintf("engines=%d/teams=%d/limit=%v", size.engines, size.teams, size.limit), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			c := New(Settings{}, rand.New(rand.NewPCG(3, 4)))
			c.SetConfiguration(table())
			c.SetUpstreams(upstreams(size.engines))
			now := epoch
			if size.limit > 0 {
				for i := range size.engines {
					c.ApplyRateLimit(now, gateway, NewRateLimitReport(engineName(i), size.limit))
				}
			}
			id := uint64(0)
			for b.Loop() {
				id++
				now = now.Add(2 * time.Millisecond)
				d := c.Place(now, gateway, Request{
					ID:      id,
					Service: "llm",
					Team:    fmt.Sprint(random.IntN(size.teams)),
					Zone:    zoneA,
					Prompt: Prompt{
						Segments: []PromptSegment{
							{
								ID:     1 + random.Uint64N(100),
								Tokens: 4000,
							},
							{
								ID:     1000 + id,
								Tokens: 500,
							},
						},
						Tokens: 4500,
						Hint:   100,
					},
					Objective: time.Second,
				})
				if d.Upstream == "" {
					continue
				}
				key := Key{
					Gateway: gateway,
					ID:      id,
				}
				c.RecordStart(now, key)
				c.RecordEnd(now, key, Answered)
			}
		})
	}
}

// BenchmarkPlaceQuarantined decides on requests of which one in ten has one of the most
// segments that can be quarantined, in the largest fleet.
func BenchmarkPlaceQuarantined(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	c := New(Settings{
		Trials: true,
	}, rand.New(rand.NewPCG(3, 4)))
	c.SetConfiguration(table())
	c.SetUpstreams(upstreams(1_000))
	now := epoch
	for segment := range uint64(quarantine.MaxQuarantined) {
		for round := range 2 {
			now = now.Add(time.Millisecond)
			c.Quarantine().RecordCrash(now, now.Add(-time.Microsecond), 2*segment+uint64(round)+1, segments(1, 2, 1e6+segment))
		}
	}
	id := uint64(0)
	for b.Loop() {
		id++
		now = now.Add(2 * time.Millisecond)
		third := 2e6 + random.Uint64N(1000)
		if random.IntN(10) == 0 {
			third = 1e6 + random.Uint64N(quarantine.MaxQuarantined)
		}
		d := c.Place(now, gateway, Request{
			ID:      id,
			Service: "llm",
			Team:    fmt.Sprint(random.IntN(31_000)),
			Zone:    zoneA,
			Prompt: Prompt{
				Segments: []PromptSegment{
					{
						ID:     1,
						Tokens: 4000,
					},
					{
						ID:     2,
						Tokens: 400,
					},
					{
						ID:     third,
						Tokens: 100,
					},
					{
						ID:     1e9 + id,
						Tokens: 100,
					},
				},
				Tokens: 4600,
				Hint:   100,
			},
			Objective: time.Second,
		})
		if d.Upstream == "" {
			continue
		}
		key := Key{
			Gateway: gateway,
			ID:      id,
		}
		c.RecordStart(now, key)
		c.RecordEnd(now, key, Answered)
	}
}
