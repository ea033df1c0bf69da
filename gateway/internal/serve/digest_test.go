package serve

import (
	"testing"

	"github.com/matryer/is"
)

// TestRequestDigest guards against a request that is not recognized when it comes again, and
// against different requests that are taken for one.
func TestRequestDigest(t *testing.T) {
	is := is.New(t)
	digest := requestDigest("desk", "POST", "/book/7?day=2", "north", []byte("seat 4"))
	is.Equal(digest, requestDigest("desk", "POST", "/book/7?day=2", "north", []byte("seat 4")))
	for _, other := range []uint64{
		requestDigest("desk2", "POST", "/book/7?day=2", "north", []byte("seat 4")),
		requestDigest("desk", "PUT", "/book/7?day=2", "north", []byte("seat 4")),
		requestDigest("desk", "POST", "/book/7?day=3", "north", []byte("seat 4")),
		requestDigest("desk", "POST", "/book/7?day=2", "south", []byte("seat 4")),
		requestDigest("desk", "POST", "/book/7?day=2", "north", []byte("seat 5")),
		requestDigest("desk", "POST", "/book/7?day=2", "northseat", []byte(" 4")),
		requestDigest("desk", "POST", "/book/7?day=2", "", nil),
	} {
		is.True(other != digest)
		is.True(other != 0)
	}
}

// BenchmarkRequestDigest measures the digest of a request with a body of 12 kB.
func BenchmarkRequestDigest(b *testing.B) {
	body := make([]byte, 12_000)
	for b.Loop() {
		requestDigest("desk", "POST", "/book/7?day=2", "north", body)
	}
}
