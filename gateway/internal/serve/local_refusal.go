package serve

import (
	"math/rand/v2"
	"net/http"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/problem"
)

// refuseOverShareLately refuses a request of a team that was refused for its share shortly
// before.
func (x *exchange) refuseOverShareLately() {
	x.reportLocalRefusal()
	x.refuseWithReason(reasonOverShareLately, dispatch.Inputs{}, http.StatusTooManyRequests, problem.TooManyWaiting, overShareDetail, x.overShareRetryAfter())
}

// reportLocalRefusal reports to the scheduler that the request was refused without a
// placement decision.
func (x *exchange) reportLocalRefusal() {
	if x.team != "" && x.call.Prompt.Tokens > 0 {
		x.handler.scheduler.ReportRefusal(x.team, x.call.Prompt)
	}
}

// reasonOverShareLately is the reason of refusals that the gateway issues by itself
// because the scheduler refused the same team on the same route shortly before.
const reasonOverShareLately dispatch.Reason = "over_share_lately"

// overShareDetail is the detail of problems sent to a team that is over its share.
const overShareDetail = "the team is over its share"

// throttleKey returns what a refusal for the team's share applies to.
func (x *exchange) throttleKey() dispatch.ThrottleKey {
	return dispatch.ThrottleKey{
		Team:  x.team,
		Route: x.route.Name,
	}
}

// recordDecision records in the throttle the result of the request's first placement
// decision: the time for which the team is refused, or zero if it was not refused.
func (x *exchange) recordDecision(refusedFor time.Duration) {
	if x.team != "" && len(x.tried) == 0 && !x.continues {
		x.handler.throttle.RecordDecision(x.throttleKey(), time.Now(), refusedFor)
	}
}

// overShareRetryAfter returns the retry delay for a team that is over its share: a random
// fraction of the route's objective, so that the retry may still be on time.
func (x *exchange) overShareRetryAfter() time.Duration {
	fraction := dispatch.MinRetryFraction + rand.Float64()*(dispatch.MaxRetryFraction-dispatch.MinRetryFraction)
	return time.Duration(fraction * float64(x.route.Objective()))
}
