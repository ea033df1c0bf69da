package trace

import (
	"log/slog"
	"math"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// Messages and keys of the lines about upstreams.
const (
	MsgSuspended   = "upstream suspended"
	MsgWorksAgain  = "upstream works again"
	KeySuspended   = "suspended_ms"
	KeyFailures    = "failures"
	KeyLastOutcome = "last_outcome"
	MsgSlow        = "upstream is slower than others"
	MsgSlowNoMore  = "upstream is no longer slower than others"
	KeySlowness    = "slowness"
	KeyLimit       = "limit"
)

// LogUpstreamChanges writes a line for each upstream that was suspended or is used again.
func LogUpstreamChanges(log *slog.Logger, now time.Time, changes []dispatch.SuspensionChange) {
	for _, c := range changes {
		if c.Until.IsZero() {
			log.Info(MsgWorksAgain, KeyUpstream, c.Upstream, KeyService, c.Service, KeyFailures, c.Failures)
			continue
		}
		log.Info(MsgSuspended, KeyUpstream, c.Upstream, KeyService, c.Service, KeyFailures, c.Failures,
			KeyLastOutcome, c.Cause.String(), KeySuspended, c.Until.Sub(now).Milliseconds())
	}
}

// LogSlownessChanges writes a line for each upstream of a plain service that was found slow or
// no longer is.
func LogSlownessChanges(log *slog.Logger, changes []dispatch.SlownessChange) {
	for _, c := range changes {
		message := MsgSlowNoMore
		if c.Slow {
			message = MsgSlow
		}
		log.Info(message, KeyUpstream, c.Upstream, KeyService, c.Service, KeySlowness, math.Round(c.Factor*10)/10, KeyLimit, math.Round(c.Limit*10)/10)
	}
}
