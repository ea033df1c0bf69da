package serve

import (
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/gateway/internal/upstream"
)

// Callers leave a stream after a gap without an event, its beginning included: the
// longest of a fixed time and multiples of the route's objectives.
const (
	minStreamWait        = 2 * time.Second
	streamWaitObjectives = 4
	streamWaitPauses     = 8
)

// Parts of the time that a caller stays, after which a silent upstream is left. The
// rest is for the next one to read the prompt.
const (
	firstEventFraction = 0.6
	pauseFraction      = 0.5
)

// Whole answers are waited for as long as plainObjectives times the objective, but
// at least for plainLeast.
const (
	answerWaitObjectives = 3
	minAnswerWait        = 200 * time.Millisecond
)

// stallTimeouts returns when a silent upstream is left for another one. Only requests
// that may go elsewhere have any limit but their deadline.
func (x *exchange) stallTimeouts(now time.Time) upstream.Patience {
	if !x.route.Idempotent() || len(x.tried)+1 >= x.route.MaxUpstreams {
		return upstream.Patience{}
	}
	p := upstream.Patience{
		GiveUp: func() bool {
			x.retryCounted = x.mayRetry()
			return x.retryCounted
		},
	}
	if x.route.Kind == configuration.Stream {
		stays := float64(max(minStreamWait, streamWaitObjectives*x.route.Objective(), streamWaitPauses*x.route.PauseObjective()))
		p.Begin = now.Add(time.Duration(firstEventFraction * stays))
		p.Pause = time.Duration(pauseFraction * stays)
		return p
	}
	if x.route.Objective() <= 0 {
		return upstream.Patience{}
	}
	p.Pause = max(minAnswerWait, answerWaitObjectives*x.route.Objective())
	p.Begin = now.Add(p.Pause)
	return p
}
