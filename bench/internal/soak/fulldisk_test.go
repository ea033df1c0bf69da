package soak

import (
	"testing"

	"github.com/matryer/is"
)

// fullDisksNetwork is the second byte of the test's loopback addresses.
const fullDisksNetwork = 17

// TestControllersOutliveFullDisks guards against a group without a leader while all processes
// run: after its disk was full, a controller's replica was started again in the same process
// and heard no other, so that two full disks, one after the other, ended all changes. The test
// ends with a loss of power shortly after another full disk.
func TestControllersOutliveFullDisks(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:             1,
		Controllers:      3,
		Gateways:         1,
		Upstreams:        1,
		SurvivableFaults: true,
		Network:          fullDisksNetwork,
	})
	s.endWithPowerLoss(ctx)
	for _, v := range s.ledger.Violations() {
		t.Error(v)
	}
	t.Logf("recovery %v", s.faults.recovery)
	is.NoErr(ctx.Err())
}
