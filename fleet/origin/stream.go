package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Stream identifies a stream by the attempt of its caller that brought the first event.
type Stream uint64

// NewStream returns the identifier of the stream that an attempt of a team begins. It is the
// beginning of a SHA-256 and never zero. Another team can't name the stream.
func NewStream(team, attempt string) Stream {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(team)))
	h.Write(length[:]) // never fails
	_, _ = io.WriteString(h, team)
	_, _ = io.WriteString(h, attempt)
	return Stream(max(binary.BigEndian.Uint64(h.Sum(nil)), 1))
}

// Fraction returns a number from the uniform distribution over [0, 1) that depends on the
// stream only.
func (s Stream) Fraction() float64 {
	const mantissaBits = 53
	return float64(uint64(s)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// Origin is what began a stream.
type Origin struct {
	Service string
	// Version is the software version of the upstream, or empty if it is not known.
	Version string
}

// Known reports whether the version is known.
func (o Origin) Known() bool { return o.Version != "" }

// Batch holds streams with one origin.
type Batch struct {
	Service string   `cbor:"1,keyasint" json:"service"`
	Version string   `cbor:"2,keyasint,omitempty" json:"version,omitempty"`
	Streams []Stream `cbor:"3,keyasint" json:"streams"`
}

// AppendBatch adds a stream to the batch of its origin.
func AppendBatch(batches []Batch, s Stream, o Origin) []Batch {
	for i := range batches {
		if batches[i].Service == o.Service && batches[i].Version == o.Version {
			batches[i].Streams = append(batches[i].Streams, s)
			return batches
		}
	}
	return append(batches, Batch{
		Service: o.Service,
		Version: o.Version,
		Streams: []Stream{s},
	})
}
