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

// attemptFence is a fence of an attempt.
type attemptFence struct {
	until time.Time
	// begun is true if the attempt may have been sent to the upstream before it was fenced.
	begun bool
}

// fenceRun fences an attempt by its request. Gateways that name the claim don't need it.
func (s *Server) fenceRun(key runKey, startBy time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.runs[key]; present != nil && !present.fence() {
		return false
	}
	begun := s.fences[key].begun // by a run that is no longer held
	s.addFence(key, startBy, begun)
	return !begun
}

// addFence makes checkMayRun refuse copies of an attempt until fenceMargin after startBy,
// from when on they are refused because startBy has passed. It is held for fenceMargin at
// least, so that fenceRun knows whether the attempt had begun. s.mu must be held.
func (s *Server) addFence(key runKey, startBy time.Time, begun bool) {
	now := time.Now()
	if len(s.fences) >= maxFences {
		for k, f := range s.fences {
			if now.After(f.until) {
				delete(s.fences, k)
			}
		}
	}
	if startBy.Before(now) {
		startBy = now
	}
	s.fences[key] = attemptFence{
		until: startBy.Add(fenceMargin),
		begun: begun,
	}
}
