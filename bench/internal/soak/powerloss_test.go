package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// secondGroupNetwork and newAddressesNetwork are the second bytes of the tests' loopback
	// addresses.
	secondGroupNetwork  = 15
	newAddressesNetwork = 16
	// aloneTime is how long the emptied controller runs before the others. It founds a group
	// after 1.5 s if it may.
	aloneTime = 3 * time.Second
)

// TestEmptiedControllerFoundsNoGroup guards against a second group. All hosts lose power and
// the first seed its disk; its controller starts before the others, from settings that still
// state the first start. What it acknowledges alone must not be lost when the others, which
// hold the group, are back.
func TestEmptiedControllerFoundsNoGroup(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:           1,
		Controllers:    3,
		Gateways:       1,
		Upstreams:      1,
		KeepFirstStart: true,
		Network:        secondGroupNetwork,
	})
	random := rand.New(rand.NewPCG(1, 1))
	s.operator.changeConfiguration(ctx, random)
	is.NoErr(ctx.Err())
	f := s.faults
	unlock := f.lockHosts()
	defer unlock()
	f.killAll(false)
	is.NoErr(wipeFolder(s.fleet.controllers[0].folder, random))
	f.startProcess(s.fleet.controllers[0])
	alone, cancel := context.WithTimeout(ctx, aloneTime)
	s.operator.changeConfiguration(alone, random)
	t.Logf("the emptied controller alone acknowledged a change: %t", alone.Err() == nil)
	cancel()
	for _, p := range s.fleet.controllers[1:] {
		f.startProcess(p)
	}
	f.startGateway(0)
	f.awaitReads(ctx, time.Now(), -1)
	is.Equal(s.ledger.Violations(), nil)
}

// TestControllersReturnAtNewAddresses guards against a group whose members don't find each
// other after a loss of power: all controllers come back with their disks at new addresses,
// which the seeds state.
func TestControllersReturnAtNewAddresses(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        1,
		Controllers: 3,
		Gateways:    1,
		Upstreams:   1,
		Network:     newAddressesNetwork,
	})
	f := s.faults
	unlock := f.lockHosts()
	defer unlock()
	f.killAll(false)
	for i := range s.fleet.controllers {
		is.NoErr(f.changeAddress(i))
	}
	f.drawSeeds(rand.New(rand.NewPCG(1, 1)), false)
	for _, p := range s.fleet.controllers {
		f.startProcess(p)
	}
	f.startGateway(0)
	f.awaitReads(ctx, time.Now(), -1)
	is.Equal(s.ledger.Violations(), nil)
}
