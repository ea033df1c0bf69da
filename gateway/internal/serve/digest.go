package serve

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// requestDigest returns the digest by which requests with the same method, target, team and
// body are recognized at all gateways, whichever service their route leads to. It is the
// beginning of their SHA-256 and never zero.
func requestDigest(method, target, team string, body []byte) uint64 {
	h := sha256.New()
	for _, field := range []string{method, target, team} {
		writeField(h, []byte(field))
	}
	writeField(h, body)
	return max(binary.BigEndian.Uint64(h.Sum(nil)), 1)
}

// writeField writes the length of a field and its content, so that different fields never
// make the same input.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:]) // never fails
	h.Write(field)
}

// digest returns the digest of the request, which is computed once.
func (x *exchange) digest() uint64 {
	if x.requestDigest == 0 {
		x.requestDigest = requestDigest(x.r.Method, requestTarget(x.r), x.team, x.body)
	}
	return x.requestDigest
}
