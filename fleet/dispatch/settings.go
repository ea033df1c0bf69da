package dispatch

import "time"

// Settings configures a Core. Zero fields take the defaults below.
type Settings struct {
	// ShareWindow is how far back a team's tokens count.
	ShareWindow time.Duration
	// TrafficFraction is the part of the fleet's requests that this core sees: 1 at the
	// leader, less where a gateway decides alone.
	TrafficFraction float64
	// RecordShortfalls tells to record what each team asked for and received, for Shortfalls. Only
	// a core that sees all requests can tell.
	RecordShortfalls bool
}

// Defaults and figures of a Core.
const (
	// DefaultShareWindow is a little over the four seconds within which a team's
	// share is due, so that no window of that length gets more.
	DefaultShareWindow = 4500 * time.Millisecond
	// objectivePart is the part of a request's objective that its estimated wait
	// may take; the rest is for what the estimate does not know.
	objectivePart = 0.7
	// longPart is the part of the objective that may be ahead of a prompt which
	// is too long to be read in time even on a free engine.
	longPart = 0.2
	// idlePart is the part of the objective below which an engine counts as free
	// for teams that are over their share.
	idlePart = 0.08
	// farIdlePart is the same for an engine in another availability zone, whose answers
	// take the way between the zones.
	farIdlePart = 0.03
	// runningCost is what one running request costs a newcomer, in prompt tokens.
	runningCost = 20.0
	// rereadCost is what reading a token of a shared piece costs, beside the time
	// that it takes, in prompt tokens.
	rereadCost = 8.0
	// zoneCost is what another availability zone costs, in prompt tokens.
	zoneCost = 300.0
	// slotCost is what waiting for a place costs, in prompt tokens for each request
	// beyond the places.
	slotCost = 2000.0
	// plainZoneCost is what another availability zone costs for a plain service, in
	// running requests.
	plainZoneCost = 1.5
	// queuePerSlot is how many requests may wait at a plain service's upstream
	// for each slot.
	queuePerSlot = 1.0
	// minRetryAfter and maxRetryAfter bound when a refused caller comes back;
	// between them the time is drawn, so that refused callers don't return at once.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 1600 * time.Millisecond
	// quietTime is how long a gateway refuses a team's further requests of a class by
	// itself after one was refused for the share: a few decisions' worth for the
	// teams that flood, hardly any for the others.
	quietTime = 40 * time.Millisecond
	// MinRetryFraction and LastReturnPart are the parts of its objective after which
	// a caller over its share should come back: early enough to be on time.
	MinRetryFraction = 0.12
	MaxRetryFraction = 0.45
	// memoryPart is the part of an engine's memory that is counted on; the rest is for
	// what is not known of its use.
	memoryPart = 0.95
	// firstSuspension and longestSuspension bound how long an upstream that
	// failed gets no requests; each failure in a row doubles the time.
	firstSuspension   = 300 * time.Millisecond
	longestSuspension = 5 * time.Second
	// trialWait is how long after a suspension a request that may be repeated is waited for
	// to try the upstream; then any request does.
	trialWait = 500 * time.Millisecond
	// failuresToSuspend is how many failures in a row suspend an upstream that
	// still answers connections.
	failuresToSuspend = 3
)
