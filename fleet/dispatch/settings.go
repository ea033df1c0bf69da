package dispatch

import "time"

// Settings configures a Scheduler. A zero ShareWindow is DefaultShareWindow, and a zero
// TrafficFraction is 1.
type Settings struct {
	// ShareWindow is the length of the sliding window over which a team's tokens count.
	ShareWindow time.Duration
	// TrafficFraction is the fraction of the fleet's requests that this Scheduler sees: 1
	// at the leader, less at a gateway that decides alone.
	TrafficFraction float64
	// RecordShortfalls enables the record of what each team demanded and received that
	// Shortfalls needs. It is of use only where all requests are seen.
	RecordShortfalls bool
	// Trials allows requests with quarantined subjects to be sent to upstreams as trials.
	// One Scheduler of the fleet may do so, the leader's.
	Trials bool
	// ColdAllowance is what the platform tolerates at cold upstreams.
	ColdAllowance ColdAllowance
}

// Constants of a Scheduler. Costs in prompt tokens are added to the tokens that an engine
// has to prefill when engines are compared.
const (
	// DefaultShareWindow is a little longer than the four seconds within which a team's
	// share is due, so that a team doesn't receive more in any span of four seconds.
	DefaultShareWindow = 4500 * time.Millisecond
	// objectiveFraction is the fraction of a request's objective that its estimated delay
	// may take. The rest is a margin for the error of the estimate.
	objectiveFraction = 0.7
	// longPromptFraction is the fraction of the objective that the queueing delay may take
	// for a prompt which is too long to be prefilled in time even on an idle engine.
	longPromptFraction = 0.2
	// idleFraction is the fraction of the objective that the delay at an engine may take
	// for the engine to count as idle, so that it takes requests of teams over their share.
	idleFraction = 0.08
	// remoteIdleFraction is the same for an engine in another availability zone, whose
	// responses travel between the zones.
	remoteIdleFraction = 0.03
	// runningCost is the cost of each running request at an engine, in prompt tokens.
	runningCost = 20.0
	// sharedMissCost is the cost of each token of a shared segment that the engine has to
	// prefill, in prompt tokens and in addition to the token itself.
	sharedMissCost = 8.0
	// zoneCost is the cost of an engine in another availability zone, in prompt tokens.
	zoneCost = 300.0
	// slotCost is the cost of waiting for a slot, in prompt tokens for each request beyond
	// the engine's slots.
	slotCost = 2000.0
	// plainZoneCost is the cost of an upstream of a plain service in another availability
	// zone, in running requests.
	plainZoneCost = 1.5
	// queuePerSlot is the number of requests per slot that may wait at an upstream of a
	// plain service.
	queuePerSlot = 1.0
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller should
	// retry. The delay is drawn between them, so that callers don't retry all at once.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 1600 * time.Millisecond
	// refuseForTime is the time for which a gateway refuses further requests of a team on
	// a route by itself after one was refused for the team's share. It covers several
	// requests of a team that floods and hardly any of other teams.
	refuseForTime = 40 * time.Millisecond
	// MinRetryFraction and MaxRetryFraction bound the delay, as a fraction of the
	// objective, after which a caller refused for its team's share or lead should retry:
	// early enough to be served on time.
	MinRetryFraction = 0.12
	MaxRetryFraction = 0.45
	// cacheFraction is the fraction of an engine's KV cache that the model of it uses. The
	// rest is a margin for use that the model doesn't know of.
	cacheFraction = 0.95
	// minSuspension and maxSuspension bound the time for which an upstream that failed
	// gets no requests. Each failure in a row doubles the time.
	minSuspension = 300 * time.Millisecond
	maxSuspension = 5 * time.Second
	// maxRefusedSuspension is the longest suspension of an upstream whose host refuses
	// connections: the next probe costs no more than a round trip.
	maxRefusedSuspension = 600 * time.Millisecond
	// idempotentProbeWait is the time after a suspension in which only idempotent requests
	// may probe the upstream. After it any request may.
	idempotentProbeWait = 500 * time.Millisecond
	// failuresToSuspend is the number of failures in a row after which an upstream that
	// still accepts connections is suspended.
	failuresToSuspend = 3
)
