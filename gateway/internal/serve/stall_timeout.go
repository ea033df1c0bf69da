package serve

import (
	"slices"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/gateway/internal/upstream"
)

// Callers abandon a stream after a gap without an event, the time before the first event
// included. The gap is the longest of a fixed time and multiples of the route's
// objectives.
const (
	minStreamWait        = 2 * time.Second
	streamWaitObjectives = 4
	streamWaitPauses     = 8
)

// Fractions of that gap after which a silent upstream is abandoned. The next one needs
// the rest of the gap to read the prompt.
const (
	firstEventFraction = 0.6
	pauseFraction      = 0.5
)

// The wait for an answer that is no stream is a multiple of the route's objective with
// a minimum.
const (
	answerWaitObjectives = 3
	minAnswerWait        = 200 * time.Millisecond
)

// lastResortMargin is the time before its caller leaves at which a request gets an error of an
// upstream as its answer while another upstream is silent.
const lastResortMargin = 100 * time.Millisecond

// callerWait returns the gap after which callers abandon a stream of the route.
func (x *exchange) callerWait() time.Duration {
	return max(minStreamWait, streamWaitObjectives*x.route.Objective(), streamWaitPauses*x.route.PauseObjective())
}

// stallTimes returns the time after which an upstream that sends nothing is silent: first if it has not
// advanced the answer yet, and next if it has.
func (x *exchange) stallTimes() (first, next time.Duration) {
	if x.route.Kind != configuration.Stream {
		wait := max(minAnswerWait, answerWaitObjectives*x.route.Objective())
		return wait, wait
	}
	wait := float64(x.callerWait())
	return time.Duration(firstEventFraction * wait), time.Duration(pauseFraction * wait)
}

// stallTimeouts returns the time limits after which an upstream that sends nothing is silent, so that
// another one gets the request, too. A request that may not be sent elsewhere has no limit but its
// deadline.
func (x *exchange) stallTimeouts(now time.Time) upstream.StallPolicy {
	if !x.route.Idempotent() || x.sentTo()+1 >= x.route.MaxUpstreams && len(x.superseded) == 0 {
		return upstream.StallPolicy{}
	}
	if x.route.Kind != configuration.Stream && x.route.Objective() <= 0 {
		return upstream.StallPolicy{}
	}
	first, next := x.stallTimes()
	return upstream.StallPolicy{
		FirstByteBy:     now.Add(first),
		ProgressTimeout: next,
		OnStall:         x.onStall,
	}
}

// lastResortBy returns when the caller of a request whose upstream is silent gets an error of another
// one, if nothing better comes. Callers of streams leave after a gap.
func (x *exchange) lastResortBy(now time.Time) time.Time {
	by := x.deadline
	if x.route.Kind == configuration.Stream {
		if left := x.sentAt.Add(x.callerWait()); left.Before(by) {
			by = left
		}
	}
	if by = by.Add(-lastResortMargin); by.Before(now) {
		return now
	}
	return by
}

// placeElsewhere chooses a further upstream for a request whose upstream is silent.
func (x *exchange) placeElsewhere() dispatch.Decision {
	r := x.placementRequest()
	r.Excluded = append(slices.Clone(x.tried), x.upstream.ID)
	for _, f := range x.fallbacks.running {
		r.Excluded = append(r.Excluded, f.upstream.ID)
	}
	if f := x.fallbacks.lastResort; f != nil {
		r.Excluded = append(r.Excluded, f.upstream.ID)
	}
	r.Resumed = true
	return x.placeAttempt(r)
}

// place returns the next decision: that of the attempt that goes on with the answer if there is one.
func (x *exchange) place() dispatch.Decision {
	if f := x.fallbacks.adopted; f != nil {
		x.notePlacement(f.decision)
		return f.decision
	}
	d := x.placeAttempt(x.placementRequest())
	x.notePlacement(d)
	x.leaveGate(true)
	return d
}
