package controller

import (
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/wire"
)

// place asks the leader for a placement, or decides locally if there is no link. The request
// excludes upstreams that have told this gateway to send nothing now.
func (l *Link) place(r dispatch.Request, decision reply) {
	now := time.Now()
	if known, ok := l.begun.Find(r.Stream); ok && r.Continues && r.Version == "" {
		if !known.Known() || !r.Allows(known.Service) {
			decision <- refuseUnknownVersion(r)
			return
		}
		r.Version, r.Service = known.Version, known.Service
	}
	if l.conn == nil {
		decision <- l.placeLocally(now, r)
		return
	}
	timeout, order := decisionTimeout, &l.waitingOrder
	if r.Continues && r.Version == "" {
		timeout, order = originTimeout, &l.originOrder
	}
	r.Excluded = append(r.Excluded[:len(r.Excluded):len(r.Excluded)], l.scheduler.Declining(now, r.Service)...)
	l.waiting[r.ID] = waiting{
		request:  r,
		reply:    decision,
		deadline: now.Add(timeout),
	}
	*order = append(*order, r.ID)
	l.outgoing.PlacementRequests = append(l.outgoing.PlacementRequests, r)
}

// refuseUnknownVersion returns the decision on a request that continues a stream which did not
// begin at one known version of the service.
func refuseUnknownVersion(r dispatch.Request) dispatch.Decision {
	return dispatch.Decision{
		ID:     r.ID,
		Reason: dispatch.UnknownVersion,
		Inputs: dispatch.Inputs{
			DecidedBy: dispatch.ByGateway,
		},
	}
}

// decideExpired decides locally on requests whose deadline for a decision has passed.
func (l *Link) decideExpired(now time.Time) {
	l.waitingOrder = l.decideExpiredOf(now, l.waitingOrder)
	l.originOrder = l.decideExpiredOf(now, l.originOrder)
}

// decideExpiredOf decides locally on the expired ones of requests that are ordered by
// deadline, and returns the others.
func (l *Link) decideExpiredOf(now time.Time, order []uint64) []uint64 {
	for len(order) > 0 {
		w, ok := l.waiting[order[0]]
		if ok && now.Before(w.deadline) {
			return order
		}
		delete(l.waiting, order[0])
		order = order[1:]
		if ok {
			l.decideLocally(now, w)
		}
	}
	return nil
}

// placeLocally places a request with the gateway's own scheduler.
func (l *Link) placeLocally(now time.Time, r dispatch.Request) dispatch.Decision {
	if !l.alone {
		l.alone = true
		l.scheduler.DecideAlone(now)
	}
	if r.Continues {
		r.Resumed = l.allowance.Take(now, r.Stream)
	}
	d := l.scheduler.Place(now, l.settings.Name, r)
	d.Version = r.Version
	if r.Continues {
		d.Service = r.Service
	}
	d.Inputs.DecidedBy = dispatch.ByGateway
	l.setRetryAfter(now, r.Service, &d)
	return d
}

// setRetryAfter sets RetryAfter of a refusal to the time until the first upstream of the
// service accepts requests again, if all of them have asked for a backoff.
func (l *Link) setRetryAfter(now time.Time, service string, d *dispatch.Decision) {
	if d.Reason != dispatch.NoUpstream {
		return
	}
	if until, ok := l.scheduler.BackoffUntil(now, service); ok {
		d.RetryAfter = until.Sub(now)
	}
}

// decideLocally decides on a request without the leader, and reports to the leader, if there
// is one, where the request was placed.
func (l *Link) decideLocally(now time.Time, w waiting) {
	d := l.placeLocally(now, w.request)
	if d.Upstream != "" && l.conn != nil {
		l.outgoing.InFlight = append(l.outgoing.InFlight, wire.InFlight{
			ID:       w.request.ID,
			Upstream: d.Upstream,
			Team:     w.request.Team,
			Prompt:   w.request.Prompt,
			Digest:   w.request.Digest,
		})
	}
	w.reply <- d
}
