package rig

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// cutTime is how long a machine is cut off, and killedAfter the time from the beginning of the cut
	// to the kill.
	cutTime     = 5 * time.Second
	killedAfter = 4500 * time.Millisecond
	// shortPause gives streams of 5.4 seconds.
	shortPause = 90 * time.Millisecond
)

// cutCase cuts a machine off from the core while it forwards streams of two software versions, and
// then kills it.
func cutCase(c *run) (bool, error) {
	var engines []*engine
	for i := range 4 {
		e := newEngine(i, fmt.Sprintf("i-%d", i+1), "llm", []string{"v1", "v2"}[i/2], 64, streamEvents)
		e.pause = shortPause
		engines = append(engines, e)
	}
	f := newFleet(c.root, c.work, c.record)
	f.between = &network{}
	c.setFleet(f)
	if err := f.start(engines, configuration(1, []any{chat(map[string]any{"service": "llm"})}, []any{modelService("llm")})); err != nil {
		return false, err
	}
	killed, others := f.hosts[5], f.hosts[:5] // without a disk, so no machine of the core
	var gone atomic.Bool                      // the balancer sends the killed machine no more callers
	all := startCallers(c.record, 50*time.Millisecond, func(caller, attempt int) *host {
		if attempt == 0 && caller%3 == 0 && !gone.Load() {
			return killed
		}
		return others[(caller+attempt)%len(others)]
	})
	time.Sleep(8 * time.Second)
	if c.trouble {
		go f.between.cutOff(c.record, killed.name, cutTime)
	}
	time.Sleep(killedAfter)
	killedAt := time.Now()
	gone.Store(true)
	if err := f.killAndRestart(killed); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	return judgeTakenUp(c.record, all.stop(), killedAt)
}
