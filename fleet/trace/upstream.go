package trace

import (
	"log/slog"
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
