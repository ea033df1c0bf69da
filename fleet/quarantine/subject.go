package quarantine

// Kind is a kind of Subject.
type Kind uint8

// The kinds of subjects.
const (
	// Segment is a segment of prompts, which many requests may share.
	Segment Kind = iota
	// Request is a whole request, which may come again: the digest of what identifies it.
	Request
)

// String returns the kind's name.
func (k Kind) String() string {
	if k == Request {
		return "request"
	}
	return "segment"
}

// Subject is what requests have in common and evidence is held against. Identifiers of
// different kinds are taken to differ, since those of requests are digests.
type Subject struct {
	ID   uint64 `cbor:"1,keyasint"`
	Kind Kind   `cbor:"9,keyasint,omitempty"`
}

// lateCrashes returns the number of crashes from which only maxLateTrials further trials
// follow once refusals are final. Requests with one segment have others in common, too, so
// that it takes more crashes to single out a segment than a request.
func (k Kind) lateCrashes() int {
	if k == Request {
		return 3
	}
	return 5
}
