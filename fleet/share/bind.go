package share

import (
	"math"
	"slices"
	"time"
)

// ineligible is the rank of a request that must not be chosen.
const ineligible = math.MaxInt

// Grant takes a grant from a sidecar, starts one of the team's waiting requests on
// each slot and declines the slots that no request fits.
func (p *Placer) Grant(now time.Time, sidecar string, g Grant) {
	s := p.sidecars[sidecar]
	if s == nil {
		return
	}
	s.available = false
	if g.Prefetch {
		p.prefetchUntil = now.Add(prefetchMemory)
	}
	if s.sentDemand[g.Team] > 1+g.ExtraSlots {
		s.sentDemand[g.Team] -= 1 + g.ExtraSlots
	} else {
		delete(s.sentDemand, g.Team)
	}
	t := p.teams[g.Team]
	for i := range 1 + g.ExtraSlots {
		position := p.requestFor(t, g, i)
		if position < 0 {
			p.decline(sidecar, g, i)
			break
		}
		p.bind(now, t, position, sidecar, g.ID+uint64(i), g.Upstream)
	}
	if t != nil {
		p.queueShrank(t)
	}
}

// requestFor returns the position in the team's queue of the request to run on the
// grant's slot with the given index, or -1 when there is none.
func (p *Placer) requestFor(t *waitingTeam, g Grant, index int) int {
	switch {
	case t == nil || len(t.queue) == 0:
		return -1
	case g.Prefetch && index > 0:
		return p.chooseIdempotent(t, g.Upstream)
	}
	return p.choose(t, g.Upstream)
}

// decline returns the slots of a grant from the given index on to the sidecar.
func (p *Placer) decline(sidecar string, g Grant, index int) {
	p.emit(SendDecline{
		Sidecar: sidecar,
		Decline: Decline{
			ID:         g.ID + uint64(index),
			Service:    p.settings.Service,
			ExtraSlots: g.ExtraSlots - index,
		},
	})
}

// bind starts the request at position i of the team's queue on a granted slot.
func (p *Placer) bind(now time.Time, t *waitingTeam, i int, sidecar string, id uint64, upstream UpstreamID) {
	r := t.queue[i]
	t.queue = slices.Delete(t.queue, i, i+1)
	p.recordStart(now, t)
	p.emit(Start{
		Request:  r,
		Sidecar:  sidecar,
		GrantID:  id,
		Upstream: upstream,
	})
}

// choose returns the position of the request to run on the upstream. Among the first
// AffinityLookahead requests it prefers the one whose prefix ranks the upstream
// highest, and the oldest of equals. The head of the queue is skipped at most
// AffinityLookahead times in a row.
func (p *Placer) choose(t *waitingTeam, upstream UpstreamID) int {
	best := 0
	if t.headSkips < p.settings.AffinityLookahead {
		best = max(0, p.highestRanked(t, func(r Request) int { return p.rank(r, upstream) }))
	}
	if best == 0 {
		t.headSkips = 0
	} else {
		t.headSkips++
	}
	return best
}

// chooseIdempotent returns the position of the request to run on a slot after the
// first of a prefetched grant, or -1. Non-idempotent requests are not sent to wait at a
// sidecar, because their outcome would be unknown if it crashed.
func (p *Placer) chooseIdempotent(t *waitingTeam, upstream UpstreamID) int {
	return p.highestRanked(t, func(r Request) int {
		if !r.Idempotent {
			return ineligible
		}
		return p.rank(r, upstream)
	})
}

// rank returns how many upstreams rank above the given one for the request's prefix.
// Without a prefix it returns the number of upstreams.
func (p *Placer) rank(r Request, upstream UpstreamID) int {
	if r.Prefix == 0 {
		return len(p.upstreams)
	}
	return rank(r.Prefix, upstream, p.upstreams)
}

// highestRanked returns the position of the request with the lowest rank among the
// first AffinityLookahead, the oldest of equals, or -1 when all are ineligible.
func (p *Placer) highestRanked(t *waitingTeam, rankOf func(Request) int) int {
	best, bestRank := -1, ineligible
	for i, r := range t.queue[:min(len(t.queue), p.settings.AffinityLookahead)] {
		if k := rankOf(r); k < bestRank {
			best, bestRank = i, k
		}
	}
	return best
}
