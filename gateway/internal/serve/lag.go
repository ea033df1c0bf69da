package serve

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// lagInterval is the interval between measurements of the lag.
	lagInterval = 20 * time.Millisecond
	// lagWeight is the weight of a new measurement in the moving average.
	lagWeight = 0.2
	// shedStartLag is the lag above which requests are shed. The fraction of requests that
	// are shed grows linearly to maxShedFraction at shedFullLag.
	shedStartLag    = 20 * time.Millisecond
	shedFullLag     = 100 * time.Millisecond
	maxShedFraction = 0.9
)

// Lag measures the scheduling lag of the process: how late a timer runs, as an
// exponentially weighted moving average. A gateway that has less processor time than its
// callers need sheds some of their requests, and the callers retry at other gateways.
// Its methods are safe for concurrent use; Run must be called once.
type Lag struct {
	mean atomic.Int64 // nanoseconds
	// observed, unless it is nil, is called after each measurement.
	observed func()
}

// Run measures the lag until ctx ends.
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
		if l.observed != nil {
			l.observed()
		}
	}
}

// observe adds a measurement to the moving average.
func (l *Lag) observe(lag time.Duration) {
	mean := time.Duration(l.mean.Load())
	l.mean.Store(int64(mean + time.Duration(lagWeight*float64(lag-mean))))
}

// Mean returns the moving average of the lag.
func (l *Lag) Mean() time.Duration { return time.Duration(l.mean.Load()) }

// ShedFraction returns the fraction of requests to shed, from 0 to maxShedFraction.
func (l *Lag) ShedFraction() float64 {
	fraction := float64(l.Mean()-shedStartLag) / float64(shedFullLag-shedStartLag)
	return maxShedFraction * min(max(fraction, 0), 1)
}

// shouldShed reports whether to shed one request, at random with probability
// ShedFraction.
func (l *Lag) shouldShed() bool {
	fraction := l.ShedFraction()
	return fraction > 0 && rand.Float64() < fraction
}
