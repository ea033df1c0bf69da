package wire

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

// TestDigestTellsVersionsApart guards against a gateway that keeps the list of before a release in
// place, since the hashes of upstreams whose software versions alone have changed cancel: of 2,000
// such pairs of lists each, VersionsHash was equal for 477 with two upstreams and for 190 with
// twelve.
func TestDigestTellsVersionsApart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	missed := 0
	for n := 1; n <= 12; n++ {
		for range 500 {
			from, to := make(map[string]dispatch.Upstream), make(map[string]dispatch.Upstream)
			for range n {
				u := dispatch.Upstream{
					ID:      fmt.Sprintf("i-%010x", random.Uint64()>>24),
					Service: "llm",
					Address: "10.0.0.1:80",
					Zone:    "zone-a",
					Slots:   64,
					Version: "v1",
				}
				from[u.ID] = u
				u.Version = "v2"
				to[u.ID] = u
			}
			is.True(UpstreamsDigest(from) != UpstreamsDigest(to))
			if VersionsHash(from) == VersionsHash(to) {
				missed++
			}
			// A gateway that missed the change notices at the next one.
			later := IndexByID(slices.Collect(maps.Values(to)))
			u := dispatch.Upstream{
				ID:      "i-new",
				Version: "v2",
			}
			later[u.ID] = u
			_, same := DiffUpstreams(to, later).Apply(from)
			is.True(!same)
		}
	}
	t.Logf("VersionsHash misses %d of 6000", missed)
	is.True(missed > 0)
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
