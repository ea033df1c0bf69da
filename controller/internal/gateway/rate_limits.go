package gateway

import (
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/fleet/wire"
)

// limitChangeInterval is the least time between two messages to the gateways about limits
// whose values have changed. Upstreams may state another value in each answer.
const limitChangeInterval = 500 * time.Millisecond

// publishRateLimits logs changes of the upstreams' rate limits and sends them to the
// gateways, which need them while they decide alone.
func (h *Hub) publishRateLimits(now time.Time) {
	if len(h.conns) == 0 {
		return
	}
	current := h.scheduler.RateLimits()
	withChanges := !now.Before(h.nextLimitChanges)
	frame := wire.Serve{}
	for upstream, perSecond := range current {
		sent, known := h.rateLimits[upstream]
		switch {
		case known && sent != perSecond && !withChanges:
			current[upstream] = sent
		case !known || sent != perSecond:
			frame.RateLimits = append(frame.RateLimits, dispatch.NewRateLimitReport(upstream, perSecond))
		}
	}
	for upstream := range h.rateLimits {
		if _, limited := current[upstream]; !limited {
			frame.RateLimits = append(frame.RateLimits, dispatch.NewRateLimitReport(upstream, 0))
		}
	}
	if len(frame.RateLimits) == 0 {
		return
	}
	if withChanges {
		h.nextLimitChanges = now.Add(limitChangeInterval)
	}
	trace.LogRateLimits(h.log, h.rateLimits, current)
	h.rateLimits = current
	for _, c := range h.conns {
		h.send(c, frame)
	}
}
