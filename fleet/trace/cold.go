package trace

import (
	"log/slog"

	"baobabpaddle/fleet/dispatch"
)

// Messages of the lines about cold upstreams.
const (
	MsgUpstreamCold = "upstream is cold"
	MsgUpstreamWarm = "upstream is warm"
)

// Keys of the lines about cold upstreams.
const (
	keyColdSince = "cold_since"
	keyColdUntil = "cold_until"
	keyColdMs    = "cold_ms"
)

// LogCold writes a line for each upstream that has turned cold or warm, with the times, in UTC,
// from and until which it counts as cold and the reason.
func LogCold(log *slog.Logger, changes []dispatch.ColdChange) {
	for _, c := range changes {
		if c.Until.IsZero() {
			log.Info(MsgUpstreamWarm, KeyUpstream, c.Upstream, KeyService, c.Service, KeyReason, string(c.Cause), keyColdSince, c.Since.UTC())
			continue
		}
		log.Info(MsgUpstreamCold, KeyUpstream, c.Upstream, KeyService, c.Service, KeyReason, string(c.Cause),
			keyColdSince, c.Since.UTC(), keyColdUntil, c.Until.UTC(), keyColdMs, c.Until.Sub(c.Since).Milliseconds())
	}
}
