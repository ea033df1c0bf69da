package gateway

import (
	"context"
	"sync"
)

// startState decides whether an attempt is sent to the upstream or fenced, never both. For
// claimed requests, claims holds it longer than the run exists. It is safe for concurrent
// use.
type startState struct {
	cancel context.CancelFunc // ends the run's context

	mu     sync.Mutex
	begun  bool // sent, or about to be sent, to the upstream
	fenced bool
}

// begin reports whether the attempt may be sent. If so, fence fails from now on.
func (s *startState) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced {
		return false
	}
	s.begun = true
	return true
}

// fence ensures that the attempt is never sent, and cancels its run. It returns false if
// begin has already allowed it.
func (s *startState) fence() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return false
	}
	s.fenced = true
	s.cancel()
	return true
}

// hasBegun reports whether begin has allowed the attempt to be sent.
func (s *startState) hasBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}
