package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/wire"
)

// serveFence rules out that an attempt is ever run here.
func (s *Server) serveFence(w http.ResponseWriter, r *http.Request) {
	var asked wire.Fence
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFenceBytes)).Decode(&asked); err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, err.Error()).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wire.Fenced{
		NotRun:      s.fenceAny(asked),
		Incarnation: s.incarnation,
	})
}

// fenceAny fences an attempt by its claim or by its request.
func (s *Server) fenceAny(asked wire.Fence) bool {
	if asked.ClaimKey != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.claims.fence(claimKey{
			key: asked.ClaimKey,
			try: asked.ClaimAttempt,
		})
	}
	return s.fence(runKey{
		request: asked.Request,
		attempt: asked.Attempt,
	}, asked.StartBy)
}

func (s *Server) fence(key runKey, startBy time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.runs[key]; present != nil && !present.fence() {
		return false
	}
	s.addFence(key, startBy)
	return true
}

// addFence refuses copies of an attempt until they are refused for their age;
// s.mu is held.
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
