package serve

import (
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/gateway/internal/upstream"
)

// Callers leave a stream after a gap without an event, its beginning included: the
// longest of a fixed time and multiples of the route's objectives.
const (
	leaveTime       = 2 * time.Second
	leaveObjectives = 4
	leavePauses     = 8
)

// Parts of the time that a caller stays, after which a silent upstream is left. The
// rest is for the next one to read the prompt.
const (
	beginPart = 0.6
	pausePart = 0.5
)

// Whole answers are waited for as long as plainObjectives times the objective, but
// at least for plainLeast.
const (
	plainObjectives = 3
	plainLeast      = 200 * time.Millisecond
)

// patience returns when a silent upstream is left for another one. Only requests
// that may go elsewhere have any limit but their deadline.
func (x *exchange) patience(now time.Time) upstream.StallPolicy {
	if !x.route.Idempotent() || len(x.tried)+1 >= x.route.MaxUpstreams {
		return upstream.StallPolicy{}
	}
	p := upstream.StallPolicy{
		OnStall: func() bool {
			x.counted = x.mayRetry()
			return x.counted
		},
	}
	if x.route.Kind == configuration.Stream {
		stays := float64(max(leaveTime, leaveObjectives*x.route.Objective(), leavePauses*x.route.PauseObjective()))
		p.FirstByteBy = now.Add(time.Duration(beginPart * stays))
		p.ProgressTimeout = time.Duration(pausePart * stays)
		return p
	}
	if x.route.Objective() <= 0 {
		return upstream.StallPolicy{}
	}
	p.ProgressTimeout = max(plainLeast, plainObjectives*x.route.Objective())
	p.FirstByteBy = now.Add(p.ProgressTimeout)
	return p
}
