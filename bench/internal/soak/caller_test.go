package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newFaults returns the faults of a run without processes, whose gateway listens on an address.
func newFaults(t *testing.T, o Options, address string) *faults {
	o.WorkFolder = t.TempDir()
	s, err := prepare(o)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.faultLog.Close() })
	s.fleet.gateways = []*process{{
		listen: address,
	}}
	return s.faults
}

// TestCallersKeepConnections guards against callers that send each request on a new connection, so that
// no gateway has idle ones, and against those that use one which the gateway has said it closes.
func TestCallersKeepConnections(t *testing.T) {
	for name, closes := range map[string]bool{"kept": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			requests := map[string]int{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				requests[r.RemoteAddr]++
				if closes {
					w.Header().Set("Connection", "close")
				}
			}))
			defer server.Close()
			c := &caller{
				soak:   newFaults(t, Options{}, server.Listener.Addr().String()).soak,
				random: rand.New(rand.NewPCG(1, 0)),
			}
			ctx, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer stop()
			c.run(ctx)
			outcomes := c.soak.ledger.Outcomes()
			is.Equal(outcomes["none"], 0)
			is.True(outcomes["200"] > 1)
			if closes {
				is.Equal(len(requests), outcomes["200"])
			} else {
				is.Equal(len(requests), 1)
			}
		})
	}
}
