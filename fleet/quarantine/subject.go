package quarantine

import (
	"encoding/binary"
	"hash/fnv"
)

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
	// Of is the digest of the request if the subject is a request at one service only, and
	// zero otherwise.
	Of uint64 `cbor:"12,keyasint,omitempty"`
	// Service identifies the service that a request is placed at. It is zero if that is not
	// known, in records, and for other subjects.
	Service uint64 `cbor:"-"`
}

// answeredID returns the identifier under which answers to the subject are remembered: those to
// a request apart for each service.
func (s Subject) answeredID() uint64 {
	if s.Service == 0 {
		return s.ID
	}
	return atService(s.ID, s.Service).ID
}

// ServiceID returns the identifier of a service. It is never zero.
func ServiceID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) // never fails
	return max(h.Sum64(), 1)
}

// RequestSubjects returns the subjects of a request with the digest at a service: the request
// at any service, and at this one only. Crashes are evidence against the first. What is left
// of it after an answer of another service is held against the second.
func RequestSubjects(digest, service uint64) []Subject {
	anywhere := Subject{
		ID:      digest,
		Kind:    Request,
		Service: service,
	}
	if service == 0 {
		return []Subject{anywhere}
	}
	return []Subject{anywhere, atService(digest, service)}
}

// atService returns the subject that is a request at one service only.
func atService(digest, service uint64) Subject {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], digest)
	binary.BigEndian.PutUint64(b[8:], service)
	h := fnv.New64a()
	h.Write(b[:]) // never fails
	return Subject{
		ID:   max(h.Sum64(), 1),
		Kind: Request,
		Of:   digest,
	}
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
