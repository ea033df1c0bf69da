package trace

import (
	"log/slog"
	"maps"
	"slices"
)

// Messages of the lines about rate limits of upstreams.
const (
	MsgRateLimitStarted = "upstream states a rate limit"
	MsgRateLimitChanged = "rate limit of an upstream changed"
	MsgRateLimitEnded   = "rate limit of an upstream ended"
	keyLimitBefore      = "before_per_s"
)

// LogRateLimits writes a line for each upstream whose rate limit, in requests a second, is
// another one now than before.
func LogRateLimits(log *slog.Logger, before, now map[string]float64) {
	for _, upstream := range slices.Sorted(maps.Keys(now)) {
		old, limited := before[upstream]
		switch perSecond := now[upstream]; {
		case !limited:
			log.Info(MsgRateLimitStarted, KeyUpstream, upstream, KeyRateLimit, perSecond)
		case old != perSecond:
			log.Info(MsgRateLimitChanged, KeyUpstream, upstream, KeyRateLimit, perSecond, keyLimitBefore, old)
		}
	}
	for _, upstream := range slices.Sorted(maps.Keys(before)) {
		if _, limited := now[upstream]; !limited {
			log.Info(MsgRateLimitEnded, KeyUpstream, upstream, keyLimitBefore, before[upstream])
		}
	}
}
