package controller

import (
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/wire"
)

// ReportStarted reports that the answer to a placed request has started. Took is the time
// from sending the request until the response, or zero if it says nothing of the upstream's
// speed.
func (l *Link) ReportStarted(id uint64, took time.Duration) {
	l.events <- event{
		started: id,
		took:    took,
	}
}

// ReportBegun reports what began a stream whose first event is being forwarded.
func (l *Link) ReportBegun(s origin.Stream, o origin.Origin) {
	l.events <- event{
		begun: &begunStream{
			stream: s,
			origin: o,
		},
	}
}

// ReportOutcome reports how a request ended at its upstream.
func (l *Link) ReportOutcome(id uint64, outcome dispatch.Outcome) {
	ended := wire.NewEnded(id, outcome)
	l.events <- event{
		ended: &ended,
	}
}

// ReportNotice reports an upstream's notice that it shuts down or wants no requests for a
// while.
func (l *Link) ReportNotice(n dispatch.Notice) {
	l.events <- event{
		notice: &n,
	}
}

// ReportRateLimit reports what the answer to a request states about its upstream's rate
// limit. An answer without one need only be reported for upstreams in View.RateLimits.
func (l *Link) ReportRateLimit(r dispatch.RateLimitReport) {
	l.events <- event{
		limit: &r,
	}
}
