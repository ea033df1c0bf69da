package dispatch

import (
	"slices"
	"time"
)

// addDigest adds a placed request to those with its digest, if that is known.
func (s *Scheduler) addDigest(p *placedRequest) {
	if p.digest != 0 {
		s.byDigest[p.digest] = append(s.byDigest[p.digest], p)
	}
}

// removeDigest takes a request off those with its digest.
func (s *Scheduler) removeDigest(p *placedRequest) {
	if p.digest == 0 {
		return
	}
	same := slices.DeleteFunc(s.byDigest[p.digest], func(other *placedRequest) bool { return other == p })
	if len(same) == 0 {
		delete(s.byDigest, p.digest)
		return
	}
	s.byDigest[p.digest] = same
}

// outlasted reports whether an answer to the same request at an upstream of the same service
// that has not crashed has lasted longer than this one, by soundAfter at least. It has passed
// the point at which this one ended.
func (s *Scheduler) outlasted(now time.Time, p *placedRequest) bool {
	for _, other := range s.byDigest[p.digest] {
		if other.engine.Service == p.engine.Service && other.age(now) >= p.age(now)+soundAfter && !other.engine.crashedSince(now, other.placedAt) {
			return true
		}
	}
	return false
}

// crashedSince reports whether a crash of the upstream was noticed within crashWindow and after
// the given time.
func (e *engine) crashedSince(now, since time.Time) bool {
	return e.crash != 0 && now.Sub(e.crashedAt) <= crashWindow && !since.After(e.crashedAt)
}
