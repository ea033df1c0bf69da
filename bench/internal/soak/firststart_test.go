package soak

import "testing"

// firstStartNetwork is the second byte of the loopback addresses of the first run.
const firstStartNetwork = 33

// TestSoakServesAfterFaultAtStart guards against a fleet of real processes that never serves,
// because a controller is killed at a drawn time of the first start and loses its disk.
func TestSoakServesAfterFaultAtStart(t *testing.T) {
	for seed := range uint64(3) {
		t.Run("", func(t *testing.T) {
			startProcesses(t, Options{
				Seed:         seed + 1,
				Controllers:  3,
				Gateways:     2,
				Upstreams:    2,
				FaultAtStart: true,
				Network:      firstStartNetwork + int(seed),
			})
		})
	}
}
