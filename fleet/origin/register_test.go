package origin

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRegisterForgetsOldStreams checks that a stream is found for Retention after its first
// event, and that the register is bounded.
func TestRegisterForgetsOldStreams(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	start := time.Unix(1000, 0)
	v1 := Origin{
		Service: "llm",
		Version: "v1",
	}
	r.Record(start, 1, v1)
	o, ok := r.Find(1)
	is.True(ok)
	is.Equal(o, v1)
	r.Expire(start.Add(Retention))
	is.Equal(r.Len(), 1)
	r.Expire(start.Add(Retention + 1))
	_, ok = r.Find(1)
	is.True(!ok)
	is.Equal(r.Len(), 0)
	for s := range Stream(MaxStreams + 10) {
		r.Record(start, s+1, v1)
	}
	is.Equal(r.Len(), MaxStreams)
	_, ok = r.Find(10)
	is.True(!ok) // the oldest gave way
}

// TestStreamWithTwoOriginsHasNone guards against a stream that is resumed at one of two versions
// because its identifier was used for two streams.
func TestStreamWithTwoOriginsHasNone(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	now := time.Unix(1000, 0)
	for _, version := range []string{"v1", "v1", "v2", "v2", "v1"} {
		r.Record(now, 7, Origin{
			Service: "llm",
			Version: version,
		})
	}
	o, ok := r.Find(7)
	is.True(ok)
	is.True(!o.Known())
}

// TestStreamBelongsToItsTeam guards against a team that resumes or probes the stream of another
// team by naming its attempt, also with texts that join to the same bytes.
func TestStreamBelongsToItsTeam(t *testing.T) {
	is := is.New(t)
	is.True(NewStream("north", "a") != NewStream("south", "a"))
	is.True(NewStream("ab", "c") != NewStream("a", "bc"))
	is.Equal(NewStream("north", "a"), NewStream("north", "a"))
	random := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range 10_000 {
		f := Stream(random.Uint64()).Fraction()
		is.True(f >= 0 && f < 1)
		sum += f
	}
	is.True(sum > 4800 && sum < 5200)
	is.True(Stream(1<<64-1).Fraction() < 1)
}

// TestLatestStreams checks which streams a gateway reports to a new leader.
func TestLatestStreams(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	now := time.Unix(1000, 0)
	for s := range Stream(6) {
		service := []string{"llm", "desk"}[s%2]
		r.Record(now.Add(time.Duration(s)*time.Second), s+1, Origin{
			Service: service,
			Version: "v1",
		})
	}
	is.Equal(r.Latest("llm", 2), []Batch{{
		Service: "llm",
		Version: "v1",
		Streams: []Stream{5, 3},
	}})
	is.Equal(len(r.Latest("", 100)), 2)
	r.Expire(now.Add(Retention + 5*time.Second))
	is.Equal(r.Latest("", 100), []Batch{{
		Service: "desk",
		Version: "v1",
		Streams: []Stream{6},
	}})
}
