package gateway

import (
	"context"
	"time"
)

// Timings of a drain.
const (
	drainPollInterval = 50 * time.Millisecond
	// lateArrivalWindow is how long a draining sidecar stays to refuse late requests
	// after the last one in flight has ended. It is longer than a gateway takes from a
	// grant to sending the request under a claim.
	lateArrivalWindow = 5 * time.Second
)

// WaitForRuns waits until nothing has been in flight, and no answer awaited by a gateway, for
// lateArrivalWindow, and all outcomes are recorded. It returns false if the context ended first.
func (s *Server) WaitForRuns(ctx context.Context) bool {
	quietUntil := time.Now().Add(lateArrivalWindow)
	for time.Now().Before(quietUntil) {
		if s.scheduler.Outstanding() > 0 || s.awaited() > 0 {
			quietUntil = time.Now().Add(lateArrivalWindow)
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainPollInterval):
		}
	}
	s.Wait() // for outcomes that are still being recorded
	return true
}

// awaited returns the number of runs whose answer no gateway has been sent in full. A run that no
// gateway reads is awaited until it expires, since one may resume it.
func (s *Server) awaited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, r := range s.runs {
		if r.isAwaited() {
			count++
		}
	}
	return count
}
