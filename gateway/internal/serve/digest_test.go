package serve

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/configuration"
)

// TestRequestDigest guards against a request that is not recognized when it comes again, and
// against different requests that are taken for one.
func TestRequestDigest(t *testing.T) {
	is := is.New(t)
	digest := requestDigest("POST", "/book/7?day=2", "north", []byte("seat 4"))
	is.Equal(digest, requestDigest("POST", "/book/7?day=2", "north", []byte("seat 4")))
	for _, other := range []uint64{
		requestDigest("PUT", "/book/7?day=2", "north", []byte("seat 4")),
		requestDigest("POST", "/book/7?day=3", "north", []byte("seat 4")),
		requestDigest("POST", "/book/7?day=2", "south", []byte("seat 4")),
		requestDigest("POST", "/book/7?day=2", "north", []byte("seat 5")),
		requestDigest("POST", "/book/7?day=2", "northseat", []byte(" 4")),
		requestDigest("POST", "/book/7?day=2", "", nil),
	} {
		is.True(other != digest)
		is.True(other != 0)
	}
}

// TestDigestOutlastsMoveOfRoute guards against evidence against a request that is void once its
// route leads to another service.
func TestDigestOutlastsMoveOfRoute(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, reply("200 OK", stamp, "seat 4"))
	_, _, err := g.send("/look/7")
	is.NoErr(err)
	moved, err := configuration.Parse([]byte(strings.ReplaceAll(testDocument, `"desk"`, `"counter"`)))
	is.NoErr(err)
	g.scheduler.view.Table = configuration.NewTable(moved)
	_, _, err = g.send("/look/7")
	is.NoErr(err)
	placed := g.scheduler.placed
	is.Equal(len(placed), 2)
	is.Equal(placed[0].Service, "desk")
	is.Equal(placed[1].Service, "counter")
	is.Equal(placed[0].Digest, placed[1].Digest)
}

// BenchmarkRequestDigest measures the digest of a request with a body of 12 kB.
func BenchmarkRequestDigest(b *testing.B) {
	body := make([]byte, 12_000)
	for b.Loop() {
		requestDigest("POST", "/book/7?day=2", "north", body)
	}
}
