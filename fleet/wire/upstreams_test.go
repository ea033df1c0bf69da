package wire

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// randomList returns a random list over 30 identifiers, so that two lists overlap.
func randomList(random *rand.Rand) map[string]dispatch.Upstream {
	list := make(map[string]dispatch.Upstream)
	for i := range 30 {
		if random.IntN(3) == 0 {
			continue
		}
		u := dispatch.Upstream{
			ID:       fmt.Sprint("i-", i),
			Service:  "llm",
			Address:  fmt.Sprintf("10.0.0.%d:80", i),
			Slots:    64,
			Draining: random.IntN(5) == 0,
		}
		list[u.ID] = u
	}
	return list
}

// TestDiffUpstreams applies updates between random lists: the result must be the sender's
// list, and an update applied to another list must be detected by its hash.
func TestDiffUpstreams(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		from, to, other := randomList(random), randomList(random), randomList(random)
		got, same := FullUpdate(to).Apply(from)
		is.True(same)
		is.Equal(got, to)
		change := DiffUpstreams(from, to)
		if change == nil {
			is.Equal(from, to)
			continue
		}
		got, same = change.Apply(from)
		is.True(same)
		is.Equal(got, to)
		got, same = change.Apply(other)
		is.Equal(same, UpstreamsHash(got) == UpstreamsHash(to))
	}
	is.True(DiffUpstreams(randomList(rand.New(rand.NewPCG(7, 7))), randomList(rand.New(rand.NewPCG(7, 7)))) == nil)
}

// TestEncodedChangeIsSmall checks that in a fleet with 3,000 upstreams the frame about a
// single one that drains has fewer than 200 bytes.
func TestEncodedChangeIsSmall(t *testing.T) {
	is := is.New(t)
	list := make(map[string]dispatch.Upstream)
	for i := range 3000 {
		id := fmt.Sprintf("i-%08x", i)
		list[id] = dispatch.Upstream{
			ID:      id,
			Service: "assistant",
			Address: "10.128.0.9:8080",
			Zone:    "zone-a",
			Slots:   64,
		}
	}
	next, _ := FullUpdate(list).Apply(nil)
	u := next["i-00000007"]
	u.Draining = true
	next[u.ID] = u
	data, err := cbor.Marshal(Serve{
		Upstreams: DiffUpstreams(list, next),
	})
	is.NoErr(err)
	is.True(len(data) < 200)
}
