package trace

import (
	"log/slog"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// Messages of the lines about upstreams.
const (
	MsgSuspended   = "upstream suspended"
	MsgWorksAgain  = "upstream works again"
	KeySuspended   = "suspended_ms"
	KeyFailures    = "failures"
	KeyLastOutcome = "last_outcome"
)

// Upstreams writes a line for each upstream that a placing core stopped or began
// to use again.
func Upstreams(log *slog.Logger, now time.Time, changes []dispatch.SuspensionChange) {
	for _, c := range changes {
		if c.Until.IsZero() {
			log.Info(MsgWorksAgain, KeyUpstream, c.Upstream, KeyService, c.Service, KeyFailures, c.Failures)
			continue
		}
		log.Info(MsgSuspended, KeyUpstream, c.Upstream, KeyService, c.Service, KeyFailures, c.Failures,
			KeyLastOutcome, c.Cause.String(), KeySuspended, c.Until.Sub(now).Milliseconds())
	}
}
