package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

func promptOf(output int, parts ...PromptSegment) Prompt {
	p := Prompt{
		Segments: parts,
		Hint:     output,
	}
	for _, part := range parts {
		p.Tokens += part.Tokens
	}
	return p
}

// TestPiecesOfRunningRequestsStay fills an engine's memory: what running requests use
// stays, of the rest the least recently used pieces yield, and what is generated counts
// as long as its request runs.
func TestPiecesOfRunningRequestsStay(t *testing.T) {
	is := is.New(t)
	p := prefixes{
		capacity: 1000,
	}
	part := func(id uint64, tokens int) PromptSegment {
		return PromptSegment{
			ID:     id,
			Tokens: tokens,
		}
	}
	has := func(id uint64) bool { return p.index[id] != nil }
	read := func(used []*piece) {
		for _, x := range used {
			x.read = true
		}
	}
	running := promptOf(0, part(1, 400), part(2, 100))
	usedByRunning := p.use(running)
	read(usedByRunning)
	ended := promptOf(0, part(1, 400), part(3, 200))
	used := p.use(ended)
	read(used)
	p.release(used, ended)
	is.True(has(1) && has(2) && has(3)) // 700 tokens
	generating := promptOf(350, part(4, 50))
	usedByGenerating := p.use(generating)
	read(usedByGenerating)
	is.True(!has(3)) // 1,100 tokens were too many
	is.True(has(1) && has(2) && has(4))
	p.release(usedByGenerating, generating)
	is.Equal(p.generated, 0.0)
	p.release(usedByRunning, running)
	unread, shared := p.unreadTokens(promptOf(0, part(1, 400), part(9, 70)))
	is.Equal(unread, 70.0)
	is.Equal(shared, 0.0)
	p.release(p.use(promptOf(0, part(7, 990))), Prompt{})
	is.True(!has(7)) // never read
	is.Equal(p.pieces, 0.0)
}

// TestReleaseAfterRestart ends a request that an earlier start of an engine ran.
func TestReleaseAfterRestart(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"))
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
	kept := c.engines["a"].kept
	c.RecordEnd(begin, before, Broken)
	is.Equal(kept.index[1].users, 1)
	is.Equal(kept.generated, 10.0)
	c.RecordStart(begin, after)
	c.RecordEnd(begin, after, Answered)
	is.Equal(kept.generated, 0.0)
}
