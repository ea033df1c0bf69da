package serve

import (
	"context"
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of load.
const (
	// loadInterval is how often the processor time is read.
	loadInterval = 200 * time.Millisecond
	// loadWeight is the weight of a new reading in the mean, which thus spans about
	// a second.
	loadWeight = 0.25
	// overloadFraction is the part of the processor's share from which a gateway counts as
	// overloaded: the process does not see all that is charged to its host.
	overloadFraction = 0.5
	// firstBackoff and longestRest bound how long an overloaded gateway takes no new
	// connections; each time within restMemory of the last one doubles the time.
	firstBackoff  = 4 * time.Second
	maxBackoff    = 30 * time.Second
	backoffMemory = 20 * time.Second
)

// Load tells when a gateway has more callers than its processor's share can serve.
// The platform's balancer spreads callers by a hash, so that one gateway may get
// most of a zone's requests; while that one is not ready the others get them.
type Load struct {
	share float64 // of a core; zero is not known

	mean       float64
	backoff    time.Duration
	until      time.Time
	overloaded atomic.Bool
}

// NewLoad returns the load of a process that may use a share of a core; zero is
// not known, and no load is ever too much.
func NewLoad(share float64) *Load {
	return &Load{
		share: share,
	}
}

// Overloaded reports whether callers should go elsewhere for now.
func (l *Load) Overloaded() bool { return l.overloaded.Load() }

// Run watches the process until the context ends.
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
		case now := <-ticker.C:
			total, err := processorTime()
			switch {
			case err != nil:
				if !unknown {
					log.Warn("processor time not known, the gateway stays ready", "cause", err)
				}
				total, unknown = used, true // no load is seen
			case unknown:
				used, unknown = total, false
			}
			was := l.Overloaded()
			l.observe(now, now.Sub(last), total-used)
			last, used = now, total
			if l.Overloaded() != was {
				log.Info("load", "takes_callers", was, "processor_part", l.mean, "rest_until", l.until)
			}
		}
	}
}

// observe takes how much processor time was used within a span that ends now.
func (l *Load) observe(now time.Time, span, used time.Duration) {
	if span <= 0 {
		return
	}
	part := used.Seconds() / span.Seconds() / l.share
	l.mean += loadWeight * (part - l.mean)
	if l.Overloaded() {
		if now.After(l.until) {
			l.overloaded.Store(false)
			l.mean = 0
		}
		return
	}
	if l.mean < overloadFraction {
		return
	}
	if now.Sub(l.until) > backoffMemory {
		l.backoff = firstBackoff
	} else {
		l.backoff = min(2*l.backoff, maxBackoff)
	}
	l.until = now.Add(l.backoff)
	l.overloaded.Store(true)
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
