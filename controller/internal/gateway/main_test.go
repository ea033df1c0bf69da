package gateway

import (
	"log/slog"
	"time"

	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/telemetry"
)

// newTestHub returns a hub without replicas whose history has the upstreams of all tests.
func newTestHub() *Hub {
	h := New(nil, nil, telemetry.NewMetrics(), slog.New(slog.DiscardHandler))
	h.loadTestOrigins()
	return h
}

// loadTestOrigins starts a record as a new leader does.
func (h *Hub) loadTestOrigins() {
	history := &origin.History{
		Complete: true,
		Versions: map[string][]string{
			"desk": {""},
			"llm":  {""},
		},
	}
	history.Initialize()
	h.origins = origin.NewKeeper(time.Now(), history)
}
