package share

import (
	"slices"
)

// upstream is one upstream behind the sidecar.
type upstream struct {
	id        UpstreamID
	limit     ConcurrencyLimit
	leaving   bool
	running   int  // started
	granted   int  // granted or arrived, not started
	refilling bool // the stock of granted places is being filled up
	// newcomers is how many of the granted places were given at once to teams
	// that had nothing outstanding.
	newcomers int
	// nonIdempotent is how many arrived requests that may not be repeated wait.
	nonIdempotent int
	arrived       []uint64 // arrived and waiting for a place, in order
}

// SetUpstream adds an upstream or changes its maximum.
func (q *Queue) SetUpstream(id UpstreamID, most int, leaving bool) {
	u := q.upstream(id)
	if u == nil {
		u = &upstream{
			id: id,
		}
		q.upstreams = append(q.upstreams, u)
	}
	u.limit.SetMax(most)
	u.leaving = leaving
}

// RemoveUpstream forgets an upstream; its runs end as they may.
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

// Limit returns the admission limit of an upstream for reports, or nil.
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
