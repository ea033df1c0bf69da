package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPlace decides on requests of two segments in fleets of three sizes: that of
// existing fleets, a large one and the largest that the Scheduler is designed for.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ engines, teams int }{
		{78, 60},
		{300, 3_100},
		{1_000, 31_000},
	} {
		b.Run(fmt.Sprintf("engines=%d/teams=%d", size.engines, size.teams), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			c := New(Settings{}, rand.New(rand.NewPCG(3, 4)))
			c.SetConfiguration(table())
			c.SetUpstreams(upstreams(size.engines))
			now := epoch
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
