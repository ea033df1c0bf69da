package share

import (
	"cmp"
	"slices"
	"time"
)

// IssueGrants grants every slot that may be granted now and appends the grants
// to dst, those to one gateway next to each other. Call it after every method
// that may have freed a slot or added demand.
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

// grantSlots grants slots to the teams in the order of the heap until no
// upstream has one left or no team waits.
func (q *Queue) grantSlots(now time.Time, dst []*run) []*run {
	for len(q.heap.teams) > 0 {
		u := q.leastLoaded()
		if u == nil {
			break
		}
		limit := u.limit.Value()
		prefetched := u.running+u.granted >= limit+q.pipelineDepth(limit)
		r := q.grant(now, q.heap.teams[0], u)
		r.prefetched = prefetched
		dst = append(dst, r)
	}
	return dst
}

// grantNewcomers grants one slot at once to each team that began to wait with
// few runs outstanding here, on upstreams where other teams hold prefetched
// slots.
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

// compareRuns orders runs so that those that share a grant are adjacent.
func compareRuns(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.gateway, b.gateway),
		cmp.Compare(a.upstream.id, b.upstream.id),
		cmp.Compare(boolToInt(a.prefetched), boolToInt(b.prefetched)),
		cmp.Compare(a.team.id, b.team.id),
	)
}

// grant reserves a slot on the upstream for the team's next request.
func (q *Queue) grant(now time.Time, t *team, u *upstream) *run {
	r := q.newRun(now, t, t.takeGateway(), u)
	q.updateWaitTime(now, t)
	if t.waiting > 0 {
		q.markWaiting(now, t)
	}
	delete(q.capacityAdvertised, r.gateway)
	return r
}

// appendGrant assigns the run its number and adds it to the last grant of dst,
// or appends a new grant when the last one has another gateway, team, upstream
// or kind.
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

// GrantTo is a grant and the gateway that receives it.
type GrantTo struct {
	Gateway string
	Grant   Grant
}

// leastLoaded returns the upstream on which the most slots may be granted, or
// nil when there is none.
func (q *Queue) leastLoaded() *upstream {
	var best *upstream
	bestSlots := 0
	for _, u := range q.upstreams {
		if u.leaving {
			continue
		}
		if slots := q.grantable(u); slots > bestSlots {
			bestSlots = slots
			best = u
		}
	}
	return best
}

// grantable returns how many slots on the upstream may be granted now; it may be
// negative. The limit and the pipeline depth may always be outstanding.
// Prefetched slots come on top of these and are refilled only after they are used
// up, so that many grants share one frame. They are not refilled while more
// non-idempotent requests wait than the pipeline holds: the outcome of what waits
// at a sidecar that crashes is unknown.
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

// newcomerUpstream returns the upstream on which to grant a slot at once to a team
// with few runs outstanding here, or nil. StartNext starts the arrived request of
// the team with the least service first, so such a team need not wait until the
// prefetched slots are refilled. On one upstream these grants and the waiting
// non-idempotent requests together stay within its limit.
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

// AdvertiseCapacity appends to dst those of the gateways that are to be told that
// slots are free and no team waits. Each gateway is told once until it receives a
// grant or one of its direct requests is refused.
func (q *Queue) AdvertiseCapacity(gateways []string, dst []string) []string {
	if len(q.heap.teams) > 0 || q.Free() == 0 {
		return dst
	}
	for _, g := range gateways {
		if !q.capacityAdvertised[g] {
			q.capacityAdvertised[g] = true
			dst = append(dst, g)
		}
	}
	return dst
}

// GrantDirect grants a slot for a request that arrived without a grant. It returns
// false when no slot is free or a team waits.
func (q *Queue) GrantDirect(now time.Time, gateway string, id TeamID) (Grant, bool) {
	if len(q.heap.teams) > 0 {
		delete(q.capacityAdvertised, gateway)
		return Grant{}, false
	}
	var best *upstream
	for _, u := range q.upstreams {
		if u.free() > 0 && (best == nil || u.free() > best.free()) {
			best = u
		}
	}
	if best == nil {
		delete(q.capacityAdvertised, gateway)
		return Grant{}, false
	}
	t := q.team(id)
	q.raiseVirtual(t, q.virtualTime, t.waitTime.waitedRecently(now))
	return Grant{
		ID:       q.register(q.newRun(now, t, gateway, best)),
		Service:  q.settings.Service,
		Team:     id,
		Upstream: best.id,
	}, true
}
