package e2e

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/bench/internal/soak"
)

// soakSeeds are seeds that failed once, with their cause, and one that never did.
var soakSeeds = map[string]uint64{
	"a hangup signal while settings are read ended a controller": 104,
	"a hangup signal before the first instruction":               109,
	"a silent stream outlives the grace period":                  108,
	"kept all": 1,
}

// firstNetwork is the second number of the loopback addresses, below those of the
// soak program.
const firstNetwork = 10

// TestSoak runs each seed for some seconds.
func TestSoak(t *testing.T) {
	last := firstNetwork
	for name, seed := range soakSeeds {
		last++
		network := last
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			report, err := soak.Run(context.Background(), soak.Options{
				Bin:           binaries,
				WorkFolder:    filepath.Join(t.TempDir(), "soak"),
				Seed:          seed,
				FaultDuration: 6 * time.Second,
				Controllers:   3,
				Gateways:      3,
				Upstreams:     3,
				Callers:       2,
				Network:       network,
			})
			is.NoErr(err)
			for _, b := range report.Violations {
				t.Error(b)
			}
			is.True(report.Outcomes["200"] > 0)
			t.Logf("seed %d: %d attempts, ended %v, faults %s", seed, report.Attempts, report.Outcomes, report.Faults)
		})
	}
}
