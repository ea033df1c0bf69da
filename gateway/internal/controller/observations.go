package controller

import (
	"time"

	"baobabpaddle/fleet/trace"
)

// logObservations logs the upstreams that the gateway's own scheduler suspended, resumed or
// found cold, and the prompt segments that it quarantined. It drops them while there is a
// leader, which logs those of the whole fleet.
func (l *Link) logObservations(now time.Time) {
	l.scheduler.ExpireCold(now)
	cold := l.scheduler.ColdChanges()
	suspensions, segments := l.scheduler.SuspensionChanges(), l.scheduler.Quarantine().TakeChanges()
	if l.conn == nil {
		trace.LogUpstreamChanges(l.log, now, suspensions)
		trace.LogQuarantine(l.log, segments)
		trace.LogCold(l.log, cold)
	}
}
