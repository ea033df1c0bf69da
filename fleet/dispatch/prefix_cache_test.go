package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

func promptOf(output int, segments ...PromptSegment) Prompt {
	p := Prompt{
		Segments: segments,
		Hint:     output,
	}
	for _, segment := range segments {
		p.Tokens += segment.Tokens
	}
	return p
}

// TestSegmentsOfRunningRequestsStay fills an engine's cache: segments of running
// requests stay, of the others the least recently used are evicted first, and generated
// tokens count while their request runs.
func TestSegmentsOfRunningRequestsStay(t *testing.T) {
	is := is.New(t)
	p := prefixCache{
		capacity: 1000,
	}
	segment := func(id uint64, tokens int) PromptSegment {
		return PromptSegment{
			ID:     id,
			Tokens: tokens,
		}
	}
	has := func(id uint64) bool { return p.index[id] != nil }
	markPrefilled := func(used []*cacheSegment) {
		for _, x := range used {
			x.prefilled = true
		}
	}
	running := promptOf(0, segment(1, 400), segment(2, 100))
	usedByRunning := p.acquire(running)
	markPrefilled(usedByRunning)
	ended := promptOf(0, segment(1, 400), segment(3, 200))
	used := p.acquire(ended)
	markPrefilled(used)
	p.release(used, ended)
	is.True(has(1) && has(2) && has(3)) // 700 tokens
	generating := promptOf(350, segment(4, 50))
	usedByGenerating := p.acquire(generating)
	markPrefilled(usedByGenerating)
	is.True(!has(3)) // 1,100 tokens exceed the capacity
	is.True(has(1) && has(2) && has(4))
	p.release(usedByGenerating, generating)
	is.Equal(p.generatedTokens, 0.0)
	p.release(usedByRunning, running)
	uncached, shared := p.uncachedTokens(promptOf(0, segment(1, 400), segment(9, 70)))
	is.Equal(uncached, 70.0)
	is.Equal(shared, 0.0)
	p.release(p.acquire(promptOf(0, segment(7, 990))), Prompt{})
	is.True(!has(7)) // never prefilled
	is.Equal(p.segmentTokens, 0.0)
}

// TestReleaseAfterRestart ends a request that an earlier start of an engine ran: the
// cache of the new start is unchanged.
func TestReleaseAfterRestart(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"))
	prompt := promptOf(10, PromptSegment{
		ID:     1,
		Tokens: 100,
	})
	place := func(id uint64) Key {
		d := c.Place(begin, "g", Request{
			ID:        id,
			Service:   "desk",
			Prompt:    prompt,
			Objective: begin.Sub(begin.Add(-1e9)),
		})
		is.Equal(d.Upstream, "a")
		return Key{
			Gateway: "g",
			ID:      id,
		}
	}
	before := place(1)
	moved := upstreamAt("a")
	moved.Address = "elsewhere:1"
	c.SetUpstreams([]Upstream{moved})
	after := place(2)
	kept := c.engines["a"].cache
	c.RecordEnd(begin, before, Broken)
	is.Equal(kept.index[1].users, 1)
	is.Equal(kept.generatedTokens, 10.0)
	c.RecordStart(begin, after)
	c.RecordEnd(begin, after, Answered)
	is.Equal(kept.generatedTokens, 0.0)
}
