package serve

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"syscall"
	"time"

	"baobabpaddle/fleet/room"
)

// loadInterval is the interval between readings of the processor time.
const loadInterval = 200 * time.Millisecond

// Load decides when callers should use other gateways, from the processor time of the
// process, its gate and what the leader tells about the zone. The platform's load balancer
// distributes callers by a hash, so that one gateway may get most requests of an availability
// zone. While it rests it is not ready, and the balancer sends its callers to the other
// gateways.
type Load struct {
	share     float64 // fraction of a core; zero if unknown
	gate      *gate
	scheduler Scheduler

	rest    room.Rest
	resting atomic.Bool
	part    atomic.Uint64 // of the last reading, for Part
}

// newLoad returns the Load of a process that may use the given fraction of a processor
// core. Zero means that the fraction is unknown; such a process never rests.
func newLoad(share float64, g *gate, s Scheduler) *Load {
	return &Load{
		share:     share,
		gate:      g,
		scheduler: s,
	}
}

// Overloaded reports whether callers should use other gateways for now. It is safe for
// concurrent use with Run.
func (l *Load) Overloaded() bool { return l.resting.Load() }

// Part returns the part of the processor share that is in use, as a moving average over
// about a second; zero if the share is unknown. It is safe for concurrent use with Run.
func (l *Load) Part() float64 { return math.Float64frombits(l.part.Load()) }

// Run measures the processor time of the process until ctx ends, and logs each change of
// Overloaded. It returns at once if the processor share is unknown.
func (l *Load) Run(ctx context.Context, log *slog.Logger) {
	if l.share <= 0 {
		return
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	last := time.Now()
	used, unknown := time.Duration(0), true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			total, err := processorTime()
			switch {
			case err != nil:
				if !unknown {
					log.Warn("processor time can't be read; gateway stays ready", "cause", err)
				}
				total, unknown = used, true // counts as no processor time
			case unknown:
				used, unknown = total, false
			}
			was := l.Overloaded()
			l.observe(now, now.Sub(last), total-used)
			last, used = now, total
			if l.Overloaded() != was {
				// The gateway takes callers now if it was overloaded before.
				zone := l.scheduler.View().Zone
				log.Info("load", "takes_callers", was, "processor_part", l.rest.Part(), "alone", l.rest.Alone(now),
					"zone_gateways", zone.Gateways, "zone_crowded", zone.Crowded, "zone_resting", zone.Resting, "rest_until", l.rest.Until())
			}
		}
	}
}

// observe adds the processor time used within a span that ends now, starts or ends a rest and
// reports the room to the leader.
func (l *Load) observe(now time.Time, span, used time.Duration) {
	if span <= 0 {
		return
	}
	if v := l.scheduler.View(); !v.ZoneAt.IsZero() {
		l.rest.SetView(v.ZoneAt, v.Zone)
	}
	wait, refused := l.gate.report(now, l.rest.Part())
	l.rest.Observe(now, used.Seconds()/span.Seconds()/l.share, refused)
	l.resting.Store(l.rest.Resting())
	l.part.Store(math.Float64bits(l.rest.Part()))
	l.scheduler.SetRoom(room.Report{
		Wait:    wait.Milliseconds(),
		Crowded: l.rest.CrowdedFor(now).Milliseconds(),
		Resting: l.rest.Resting(),
	})
}

// processorTime returns the processor time that this process has used so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
