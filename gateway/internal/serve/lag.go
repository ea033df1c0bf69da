package serve

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Figures of lag.
const (
	// lagInterval is how often the lag is measured.
	lagInterval = 20 * time.Millisecond
	// lagWeight is the weight of a new measurement in the mean.
	lagWeight = 0.2
	// shedStartLag is the lag up to which nothing is shed, and lagFull the one at which
	// lagMost of the requests are.
	shedStartLag    = 20 * time.Millisecond
	shedFullLag     = 100 * time.Millisecond
	maxShedFraction = 0.9
)

// Lag measures by how much the process is behind: how late it runs what is due.
// A gateway that has less processor time than its callers ask of it sheds some of
// them, who come back to other gateways.
type Lag struct {
	mean atomic.Int64 // nanoseconds
}

// Run measures until the context ends.
func (l *Lag) Run(ctx context.Context) {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	due := time.Now().Add(lagInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		l.observe(now.Sub(due))
		due = now.Add(lagInterval)
		timer.Reset(lagInterval)
	}
}

func (l *Lag) observe(lag time.Duration) {
	mean := time.Duration(l.mean.Load())
	l.mean.Store(int64(mean + time.Duration(lagWeight*float64(lag-mean))))
}

// Mean returns the present lag.
func (l *Lag) Mean() time.Duration { return time.Duration(l.mean.Load()) }

// ShedFraction returns which share of the requests is to be shed.
func (l *Lag) ShedFraction() float64 {
	part := float64(l.Mean()-shedStartLag) / float64(shedFullLag-shedStartLag)
	return maxShedFraction * min(max(part, 0), 1)
}

// shouldShed reports whether one request is to be shed.
func (l *Lag) shouldShed() bool {
	share := l.ShedFraction()
	return share > 0 && rand.Float64() < share
}
