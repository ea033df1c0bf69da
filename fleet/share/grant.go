package share

import (
	"cmp"
	"slices"
	"time"
)

// IssueGrants grants the places there are. Call it after every other method that may
// have made room or brought demand. Grants to one gateway stand together.
func (q *Queue) IssueGrants(now time.Time, dst []GrantTo) []GrantTo {
	runs := q.grantSlots(now, q.newRuns[:0])
	runs = q.grantNewcomers(now, runs)
	slices.SortStableFunc(runs, compareRuns)
	for _, r := range runs {
		dst = q.appendGrant(dst, r)
	}
	clear(runs)
	q.newRuns = runs
	return dst
}

// grantSlots grants the places there are to the teams that come first.
func (q *Queue) grantSlots(now time.Time, dst []*run) []*run {
	for len(q.heap.teams) > 0 {
		u := q.leastLoaded()
		if u == nil {
			break
		}
		limit := u.limit.Value()
		stock := u.running+u.granted >= limit+q.pipelineDepth(limit)
		r := q.grant(now, q.heap.teams[0], u)
		r.prefetched = stock
		dst = append(dst, r)
	}
	return dst
}

// grantNewcomers grants a place each to teams that began to wait with next to
// nothing outstanding here, where others have a stock.
func (q *Queue) grantNewcomers(now time.Time, dst []*run) []*run {
	for _, t := range q.newcomers {
		if t.waiting == 0 || t.running >= maxNewcomerRuns {
			continue
		}
		if u := q.newcomerUpstream(); u != nil {
			r := q.grant(now, t, u)
			r.newcomer = true
			u.newcomers++
			dst = append(dst, r)
		}
	}
	clear(q.newcomers)
	q.newcomers = q.newcomers[:0]
	return dst
}

// compareRuns puts those that make one grant next to each other.
func compareRuns(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.gateway, b.gateway),
		cmp.Compare(a.upstream.id, b.upstream.id),
		cmp.Compare(boolToInt(a.prefetched), boolToInt(b.prefetched)),
		cmp.Compare(a.team.id, b.team.id),
	)
}

// grant reserves a place on the upstream for the team's next request.
func (q *Queue) grant(now time.Time, t *team, u *upstream) *run {
	r := q.newRun(now, t, t.takeGateway(), u)
	q.updateWaitTime(now, t)
	if t.waiting > 0 {
		q.markWaiting(now, t)
	}
	delete(q.capacityTold, r.gateway)
	return r
}

// appendGrant adds a run to the last grant when it continues it, or as a new grant.
func (q *Queue) appendGrant(dst []GrantTo, r *run) []GrantTo {
	id := q.register(r)
	if len(dst) > 0 {
		last := &dst[len(dst)-1]
		g := &last.Grant
		if last.Gateway == r.gateway && g.Team == r.team.id && g.Upstream == r.upstream.id && g.Prefetch == r.prefetched && g.ID+uint64(g.ExtraSlots)+1 == id {
			g.ExtraSlots++
			return dst
		}
	}
	return append(dst, GrantTo{
		Gateway: r.gateway,
		Grant: Grant{
			ID:       id,
			Service:  q.settings.Service,
			Team:     r.team.id,
			Upstream: r.upstream.id,
			Prefetch: r.prefetched,
		},
	})
}

// GrantTo is a grant and the gateway it goes to.
type GrantTo struct {
	Gateway string
	Grant   Grant
}

// leastLoaded returns the upstream with the most room, or nil.
func (q *Queue) leastLoaded() *upstream {
	var best *upstream
	most := 0
	for _, u := range q.upstreams {
		if u.leaving {
			continue
		}
		if room := q.grantable(u); room > most {
			most = room
			best = u
		}
	}
	return best
}

// grantable returns how many places on the upstream may be granted now. A stock of
// places ahead is filled up only after it has fallen to what grants need on
// their way, so that many grants share a frame. While more requests wait that may
// not be repeated than grants need on their way, it is not filled up at all: what
// waits at a sidecar that dies has an unknown outcome.
func (q *Queue) grantable(u *upstream) int {
	outstanding := u.running + u.granted
	limit := u.limit.Value()
	low := limit + q.pipelineDepth(limit)
	high := low
	if u.nonIdempotent <= q.pipelineDepth(limit) {
		high += q.prefetchDepth(limit)
	}
	switch {
	case outstanding < low:
		u.refilling = true
	case outstanding >= high:
		u.refilling = false
	}
	if u.refilling {
		return high - outstanding
	}
	return low - outstanding
}

// newcomerUpstream returns the upstream that a team with next to nothing outstanding
// here is granted a place on at once, or nil. Among what has arrived it goes
// first if its turn has come, so it need not wait for the stock to be filled up.
func (q *Queue) newcomerUpstream() *upstream {
	var best *upstream
	for _, u := range q.upstreams {
		limit := u.limit.Value()
		if u.leaving || u.newcomers+u.nonIdempotent >= limit || q.prefetchDepth(limit) == 0 {
			continue
		}
		if best == nil || u.newcomers < best.newcomers {
			best = u
		}
	}
	return best
}

// AdvertiseCapacity returns those of the gateways that should hear that there is room
// and nothing waits. Each hears it once until it was refused or granted.
func (q *Queue) AdvertiseCapacity(gateways []string, dst []string) []string {
	if len(q.heap.teams) > 0 || q.Free() == 0 {
		return dst
	}
	for _, g := range gateways {
		if !q.capacityTold[g] {
			q.capacityTold[g] = true
			dst = append(dst, g)
		}
	}
	return dst
}

// GrantDirect asks to run a request that came without a grant. It returns false when
// there is no room or somebody waits.
func (q *Queue) GrantDirect(now time.Time, gateway string, id TeamID) (Grant, bool) {
	if len(q.heap.teams) > 0 {
		delete(q.capacityTold, gateway)
		return Grant{}, false
	}
	var best *upstream
	for _, u := range q.upstreams {
		if u.free() > 0 && (best == nil || u.free() > best.free()) {
			best = u
		}
	}
	if best == nil {
		delete(q.capacityTold, gateway)
		return Grant{}, false
	}
	t := q.team(id)
	q.raiseVirtual(t, q.virtualTime, t.waitTime.recent(now))
	return Grant{
		ID:       q.register(q.newRun(now, t, gateway, best)),
		Service:  q.settings.Service,
		Team:     id,
		Upstream: best.id,
	}, true
}
