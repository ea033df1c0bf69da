package membership_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Environment variables that select the schedules, and the default.
const (
	schedulesVariable = "BAOBABPADDLE_SCHEDULES" // number of schedules of a test
	seedVariable      = "BAOBABPADDLE_SEED"      // run only the schedules of this seed
	defaultSchedules  = 120
)

// scheduleCount returns the number of schedules of a test, all cases together.
func scheduleCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(schedulesVariable), 10, 64); err == nil {
		return n
	}
	return defaultSchedules
}

// runCase runs the schedules of a case and reports each that fails with its trace.
func runCase(t *testing.T, c powerCase) {
	t.Helper()
	first, count := uint64(1), max(1, scheduleCount()/uint64(len(powerCases())))
	if seed, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		first, count = seed, 1
	}
	scratch := t.TempDir()
	slowest, accepted, even, served := time.Duration(0), time.Duration(0), time.Duration(0), time.Duration(0)
	failed, late := 0, 0
	for seed := first; seed < first+count; seed++ {
		p := newPowerRun(seed, c, scratch)
		if violation := p.execute(); violation != "" {
			failed++
			if violation == p.late {
				late++
			}
			t.Errorf("seed %d (%d of %d, snapshots every %d): %s\nagain: %s=%d go test ./fleet/membership -run '^%s$'",
				seed, p.tolerated, 2*p.tolerated+1, p.snapshotEvery, violation, seedVariable, seed, t.Name())
			if failed == 1 || count == 1 {
				t.Log("trace:\n" + strings.Join(p.trace, "\n"))
			}
		}
		slowest = max(slowest, p.slowest)
		accepted = max(accepted, p.accepted)
		even = max(even, p.even)
		served = max(served, p.served)
	}
	t.Logf("schedules=%d failed=%d late=%d slowest_accept=%v slowest_read=%v longest_even=%v slowest_after_fault=%v",
		count, failed, late, accepted, slowest, even, served)
}

// runCases runs the schedules of all cases with the same changes to each.
func runCases(t *testing.T, change func(*powerCase)) {
	t.Helper()
	for _, c := range powerCases() {
		change(&c)
		t.Run(c.name, func(t *testing.T) { runCase(t, c) })
	}
}

// TestPowerLossSchedules runs random schedules in which all hosts lose power at one
// moment and no more disks are lost than tolerated: every acknowledged change is kept,
// and changes are accepted again.
func TestPowerLossSchedules(t *testing.T) { runCases(t, func(*powerCase) {}) }

// TestPowerLossWithCompaction runs the schedules with logs that are compacted every
// few changes, as those of a large configuration are.
func TestPowerLossWithCompaction(t *testing.T) {
	runCases(t, func(c *powerCase) { c.compacts = true })
}

// TestPowerLossWithLargeState runs the schedules with logs that are compacted every few
// changes and snapshots whose transfer takes as long as an election timeout.
func TestPowerLossWithLargeState(t *testing.T) {
	runCases(t, func(c *powerCase) {
		c.compacts = true
		c.large = true
	})
}

// TestPowerLossWithSpareHosts runs the schedules with hosts with a disk beyond the
// voters, which take the place of voters that are silent.
func TestPowerLossWithSpareHosts(t *testing.T) {
	runCases(t, func(c *powerCase) { c.spares = 1 })
}

// TestPowerLossWithFirstStart runs the schedules with hosts that come back with the
// settings of the first start.
func TestPowerLossWithFirstStart(t *testing.T) {
	runCases(t, func(c *powerCase) { c.started = true })
}

// TestPowerLossWithMovedHosts runs the schedules with hosts that come back at other
// addresses with their disks.
func TestPowerLossWithMovedHosts(t *testing.T) {
	runCases(t, func(c *powerCase) { c.moves = true })
}
