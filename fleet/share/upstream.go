package share

import (
	"slices"
)

// upstream is the state of one upstream behind the sidecar.
type upstream struct {
	id        UpstreamID
	limit     ConcurrencyLimit
	leaving   bool
	removed   bool // leaving, and to be deleted after its last run
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
	u.removed = false
}

// RemoveUpstream removes an upstream. Its runs are not ended; they stay until Finish
// or Release, and requests that have arrived still run, as with one that is leaving.
// Grants that are on their way can't be used any more.
func (q *Queue) RemoveUpstream(id UpstreamID) {
	if u := q.upstream(id); u != nil {
		u.leaving = true
		u.removed = true
		q.deleteUnused(u)
	}
}

// deleteUnused deletes an upstream that was removed, unless it still has runs.
func (q *Queue) deleteUnused(u *upstream) {
	if u.removed && u.running == 0 && u.granted == 0 {
		q.upstreams = slices.DeleteFunc(q.upstreams, func(other *upstream) bool { return other == u })
	}
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
