package share

import (
	"slices"
)

// upstream is the state of one upstream behind the sidecar.
type upstream struct {
	id        UpstreamID
	limit     ConcurrencyLimit
	leaving   bool
	running   int  // started
	granted   int  // granted or arrived, not started
	refilling bool // prefetched slots are being refilled
	// newcomers is how many slots are granted or arrived that grantNewcomers gave to
	// teams with few runs outstanding.
	newcomers int
	// nonIdempotent is how many arrived non-idempotent requests wait to start.
	nonIdempotent int
	arrived       []uint64 // arrived requests that wait to start, in order of arrival
}

// SetUpstream adds an upstream or changes it: maxRunning is the declared maximum of
// concurrent requests, and one that is leaving gets no new grants.
func (q *Queue) SetUpstream(id UpstreamID, maxRunning int, leaving bool) {
	u := q.upstream(id)
	if u == nil {
		u = &upstream{
			id: id,
		}
		q.upstreams = append(q.upstreams, u)
	}
	u.limit.SetMax(maxRunning)
	u.leaving = leaving
}

// RemoveUpstream removes an upstream. Its runs are not ended; they stay until Finish
// or Release.
func (q *Queue) RemoveUpstream(id UpstreamID) {
	q.upstreams = slices.DeleteFunc(q.upstreams, func(u *upstream) bool { return u.id == id })
}

func (q *Queue) upstream(id UpstreamID) *upstream {
	for _, u := range q.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// Limit returns the concurrency limit of an upstream, to which load reports are passed,
// or nil if the upstream is unknown.
func (q *Queue) Limit(id UpstreamID) *ConcurrencyLimit {
	if u := q.upstream(id); u != nil {
		return &u.limit
	}
	return nil
}

func (u *upstream) free() int {
	if u.leaving {
		return 0
	}
	return max(0, u.limit.Value()-u.running-u.granted)
}
