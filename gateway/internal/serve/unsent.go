package serve

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/dispatch"
)

// maxUnsent is the number of upstreams that are chosen for one request without getting it.
const maxUnsent = 4

// errNotListed means that the upstream that was chosen for a request is no longer listed.
var errNotListed = merry.Sentinel("the upstream is no longer listed")

// errEvacuated means that nothing is sent to an upstream since its availability zone is
// evacuated.
var errEvacuated = merry.Sentinel("the upstream's availability zone is evacuated")

// sentTo returns the number of upstreams that the request was sent to.
func (x *exchange) sentTo() int { return len(x.tried) - x.unsentTo + len(x.superseded) }

// begun returns the number of upstreams that the request was sent to or is being sent to.
func (x *exchange) begun() int {
	n := x.sentTo() + x.fallbacks.begun()
	if x.sending {
		n++
	}
	return n
}

// mayAttempt reports whether the route allows an attempt at a further upstream or at one of those that
// have not failed.
func (x *exchange) mayAttempt() bool {
	return (x.begun() < max(x.route.MaxUpstreams, 1) || len(x.superseded) > 0) && x.unsentTo < maxUnsent
}

// placeAttempt returns the decision on an attempt.
func (x *exchange) placeAttempt(r dispatch.Request) dispatch.Decision {
	if x.begun() >= max(x.route.MaxUpstreams, 1) {
		r.Among = x.superseded
	}
	scheduler := x.handler.scheduler
	d := scheduler.Place(x.r.Context(), r)
	if len(r.Among) > 0 && d.Upstream != "" && !slices.Contains(r.Among, d.Upstream) {
		scheduler.ReportOutcome(d.ID, dispatch.Unsent) // the leader is of a former version
		return dispatch.Decision{
			ID:     d.ID,
			Reason: dispatch.NoUpstream,
		}
	}
	x.superseded = slices.DeleteFunc(x.superseded, func(id string) bool { return id == d.Upstream })
	return d
}

// checkDestination returns why the request may not be sent to an upstream that was chosen for it:
// the list of upstreams or the evacuated zones may have changed since the decision.
func (x *exchange) checkDestination(u dispatch.Upstream) error {
	switch {
	case x.version != "" && u.Version != x.version:
		return errOtherVersion
	case x.handler.evacuated(u):
		return errEvacuated
	}
	return nil
}

// evacuated reports whether the availability zone of an upstream is evacuated now.
func (h *Handler) evacuated(u dispatch.Upstream) bool {
	return h.scheduler.View().EvacuatedZones[u.Zone]
}

// reportUnsent reports an attempt at which nothing was sent, so that the request may go
// elsewhere without a charge to the retry budget.
func (x *exchange) reportUnsent(id uint64, cause dispatch.Outcome) outcome {
	x.nothingSent = true
	x.unsentTo++
	x.reportOutcome(id, cause)
	return notRun
}
