package replica

import (
	"slices"
	"sync"
	"time"
)

// History is what happened in this process before a replica was started. The zero value means
// that it is the first one.
type History struct {
	// Stops is the number of replicas of this process that have stopped.
	Stops int
	// LastStop is the cause of the last stop in short form, and StoppedAt its time.
	LastStop  string
	StoppedAt time.Time
	// LeaderlessSince is since when the process has known no leader; zero if none of its
	// replicas has run.
	LeaderlessSince time.Time
}

// After returns the history after a replica with the status has stopped.
func (h History) After(s Status, cause string, now time.Time) History {
	since := s.LeaderlessSince
	if since.IsZero() {
		since = now
	}
	return History{
		Stops:           h.Stops + 1,
		LastStop:        cause,
		StoppedAt:       now,
		LeaderlessSince: since,
	}
}

// fields returns the history for a log line; empty for the first replica of a process.
func (h History) fields() []any {
	if h.Stops == 0 {
		return nil
	}
	return []any{"stops", h.Stops, "last_stop", h.LastStop}
}

// arrivals records when the control goroutine last handled a message of each replica. It is
// safe for concurrent use.
type arrivals struct {
	mu   sync.Mutex
	last map[uint64]time.Time // by replica identifier
}

// note records that a message of a replica was handled.
func (a *arrivals) note(id uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[id] = now
}

// since returns the replicas of which a message was handled since then, in ascending order.
func (a *arrivals) since(then time.Time) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []uint64
	for id, at := range a.last {
		if !at.Before(then) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
