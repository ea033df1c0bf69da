package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/wire"
)

// serveFence fences an attempt, so that this sidecar never runs it, and answers whether it
// was in time.
func (s *Server) serveFence(w http.ResponseWriter, r *http.Request) {
	var request wire.Fence
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFenceBytes)).Decode(&request); err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, err.Error()).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wire.Fenced{
		NotRun:      s.fenceAttempt(request),
		Incarnation: s.incarnation,
	})
}

// fenceAttempt fences the attempt that is identified by its claim, or otherwise by its
// request. It returns false if the attempt may have been sent to the upstream.
func (s *Server) fenceAttempt(request wire.Fence) bool {
	if request.ClaimKey != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.claims.fence(claimKey{
			key:     request.ClaimKey,
			attempt: request.ClaimAttempt,
		})
	}
	return s.fenceRun(runKey{
		request: request.Request,
		attempt: request.Attempt,
	}, request.StartBy)
}

// fenceRun fences an attempt by its request.
func (s *Server) fenceRun(key runKey, startBy time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.runs[key]; present != nil && !present.fence() {
		return false
	}
	s.addFence(key, startBy)
	return true
}

// addFence makes checkMayRun refuse copies of an attempt until fenceMargin after startBy,
// from when on they are refused because startBy has passed. s.mu must be held.
func (s *Server) addFence(key runKey, startBy time.Time) {
	now := time.Now()
	if len(s.fences) >= maxFences {
		for k, until := range s.fences {
			if now.After(until) {
				delete(s.fences, k)
			}
		}
	}
	s.fences[key] = startBy.Add(fenceMargin)
}
