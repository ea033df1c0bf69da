package serve

import (
	"context"
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// loadInterval is the interval between readings of the processor time.
	loadInterval = 200 * time.Millisecond
	// loadWeight is the weight of a new reading in the moving average, which thus spans
	// about a second.
	loadWeight = 0.25
	// overloadFraction is the fraction of the processor share from which a gateway counts
	// as overloaded. It is well below 1 because the process does not see all processor time
	// that is charged to its host.
	overloadFraction = 0.5
	// firstBackoff and maxBackoff bound how long an overloaded gateway reports that it is
	// not ready, so that it gets no new connections. A new overload within backoffMemory
	// of the end of the last one doubles the time.
	firstBackoff  = 4 * time.Second
	maxBackoff    = 30 * time.Second
	backoffMemory = 20 * time.Second
)

// Load detects that a gateway has more callers than its processor share can serve. The
// platform's load balancer distributes callers by a hash, so that one gateway may get
// most requests of an availability zone. While it is overloaded it is not ready, and the
// balancer sends its callers to the other gateways.
type Load struct {
	share float64 // fraction of a core; zero if unknown

	mean       float64       // moving average of the used fraction of the share
	backoff    time.Duration // length of the last overload
	until      time.Time     // end of the last overload
	overloaded atomic.Bool
}

// NewLoad returns the Load of a process that may use the given fraction of a processor
// core. Zero means that the fraction is unknown; such a process is never overloaded.
func NewLoad(share float64) *Load {
	return &Load{
		share: share,
	}
}

// Overloaded reports whether callers should use other gateways for now. It is safe for
// concurrent use with Run.
func (l *Load) Overloaded() bool { return l.overloaded.Load() }

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
		case now := <-ticker.C:
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
				log.Info("load", "takes_callers", was, "processor_part", l.mean, "rest_until", l.until)
			}
		}
	}
}

// observe adds the processor time used within a span that ends now to the moving average
// and starts or ends an overload.
func (l *Load) observe(now time.Time, span, used time.Duration) {
	if span <= 0 {
		return
	}
	fraction := used.Seconds() / span.Seconds() / l.share
	l.mean += loadWeight * (fraction - l.mean)
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

// processorTime returns the processor time that this process has used so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
