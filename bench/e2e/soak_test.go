package e2e

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/bench/internal/soak"
)

// soakSeeds are the seeds that found a fault, by the fault that they guard against, and
// one seed that never failed.
var soakSeeds = map[string]uint64{
	"a hangup signal while settings are read ended a controller": 104,
	"a hangup signal before the first instruction":               109,
	"a silent stream outlives the grace period":                  108,
	"no known fault": 1,
}

// Each run has its own loopback network 127.N.0.0/16, with N counting up from
// firstNetwork+1. These lie below the networks of the soak program, which begin at 40,
// so that both can run at once.
const firstNetwork = 10

// TestSoak runs each seed for six seconds under random faults and checks every invariant.
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
			for _, v := range report.Violations {
				t.Error(v)
			}
			is.True(report.Outcomes["200"] > 0)
			t.Logf("seed %d: %d attempts, ended %v, faults %s", seed, report.Attempts, report.Outcomes, report.Faults)
		})
	}
}

// powerLossNetwork is the second byte of the loopback addresses of TestSoakLosesPower, the
// first of one for each seed.
const powerLossNetwork = 20

// powerLossSeeds are the seeds of TestSoakLosesPower. None has failed.
var powerLossSeeds = []uint64{1, 2}

// TestSoakLosesPower runs each seed for six seconds under random faults, losses of power of all
// hosts among them, and ends it with one shortly after a change. Some controllers have no disk.
func TestSoakLosesPower(t *testing.T) {
	for i, seed := range powerLossSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			report, err := soak.Run(context.Background(), soak.Options{
				Bin:                 binaries,
				WorkFolder:          filepath.Join(t.TempDir(), "soak"),
				Seed:                seed,
				FaultDuration:       6 * time.Second,
				Controllers:         3,
				DisklessControllers: 2,
				Gateways:            3,
				Upstreams:           3,
				Callers:             2,
				Network:             powerLossNetwork + i,
				PowerLoss:           true,
				FinalPowerLoss:      true,
			})
			is.NoErr(err)
			for _, v := range report.Violations {
				t.Error(v)
			}
			is.True(report.Outcomes["200"] > 0)
			t.Logf("seed %d: %d attempts, ended %v, faults %s, recovery %v", seed, report.Attempts, report.Outcomes, report.Faults, report.Recovery)
		})
	}
}
