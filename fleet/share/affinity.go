package share

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// rendezvous returns the score of an upstream for a key in rendezvous hashing (Thaler and
// Ravishankar, 1998); the highest score is preferred. It mixes both with the finalizer of
// MurmurHash3.
func rendezvous(key uint64, id UpstreamID) uint64 {
	x := (uint64(id) * 0x9e3779b97f4a7c15) ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Preferred returns the upstream that rendezvous hashing prefers for the key, or zero if
// upstreams is empty.
func Preferred(key uint64, upstreams []UpstreamID) UpstreamID {
	var best UpstreamID
	var score uint64
	for _, u := range upstreams {
		if s := rendezvous(key, u); best == 0 || s > score {
			best = u
			score = s
		}
	}
	return best
}

// rank returns how many of the upstreams the key prefers to the given one.
func rank(key uint64, one UpstreamID, upstreams []UpstreamID) int {
	score := rendezvous(key, one)
	n := 0
	for _, u := range upstreams {
		if rendezvous(key, u) > score {
			n++
		}
	}
	return n
}

// HashKey returns the rendezvous hashing key of a text.
func HashKey(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// Ranked returns the names in an order of preference that depends on the key and changes
// little when a name is added or removed.
func Ranked(key string, names []string) []string {
	scores := make(map[string]uint64, len(names))
	for _, n := range names {
		scores[n] = rendezvous(HashKey(key), UpstreamID(HashKey(n)))
	}
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(scores[b], scores[a]) })
	return out
}
