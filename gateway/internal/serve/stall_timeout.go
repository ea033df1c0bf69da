package serve

import (
	"time"

	"baobabpaddle/fleet/configuration"
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

// stallTimeouts returns the time limits after which an upstream that sends nothing is
// abandoned for another one. A request that may not be sent elsewhere has no limit but
// its deadline, and none is abandoned if the retry budget is used up or no other upstream
// can continue its answer.
func (x *exchange) stallTimeouts(now time.Time) upstream.StallPolicy {
	if !x.route.Idempotent() || x.sentTo()+1 >= x.route.MaxUpstreams {
		return upstream.StallPolicy{}
	}
	p := upstream.StallPolicy{
		OnStall: func() bool {
			x.retryCounted = x.canContinueElsewhere() && x.mayRetry()
			return x.retryCounted
		},
	}
	if x.route.Kind == configuration.Stream {
		callerWait := float64(max(minStreamWait, streamWaitObjectives*x.route.Objective(), streamWaitPauses*x.route.PauseObjective()))
		p.FirstByteBy = now.Add(time.Duration(firstEventFraction * callerWait))
		p.ProgressTimeout = time.Duration(pauseFraction * callerWait)
		return p
	}
	if x.route.Objective() <= 0 {
		return upstream.StallPolicy{}
	}
	p.ProgressTimeout = max(minAnswerWait, answerWaitObjectives*x.route.Objective())
	p.FirstByteBy = now.Add(p.ProgressTimeout)
	return p
}
