package rig

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// minTakenUp is the number of streams that callers take up again from which LOST holds.
	minTakenUp = 12
	// killDelay is the time from the confirmation of the change to the kill, and killedFor the time
	// until the machine's processes are started again.
	killDelay = time.Second
	killedFor = 2 * time.Second
)

// weightsCase changes the weights of a route while streams are under way, and then kills a machine
// that forwards some of them.
func weightsCase(c *run) (bool, error) {
	var engines []*engine
	for i := range 4 {
		engines = append(engines, newEngine(i, fmt.Sprintf("i-%d", i+1), []string{"llm-a", "llm-b"}[i/2], "v1", 64, streamEvents))
	}
	config := func(version, a, b int) map[string]any {
		split := []any{map[string]any{"service": "llm-a", "weight": a}, map[string]any{"service": "llm-b", "weight": b}}
		return configuration(version, []any{chat(map[string]any{"services_by_weight": split})}, []any{modelService("llm-a"), modelService("llm-b")})
	}
	f, err := c.start(engines, config(1, 95, 5))
	if err != nil {
		return false, err
	}
	killed, others := f.hosts[5], f.hosts[:5] // without a disk, so no machine of the core
	var gone atomic.Bool                      // the balancer sends the killed machine no more callers
	all := startCallers(c.record, 100*time.Millisecond, func(caller, attempt int) *host {
		if attempt == 0 && caller%3 == 0 && !gone.Load() {
			return killed
		}
		return others[(caller+attempt)%len(others)]
	})
	time.Sleep(8 * time.Second)
	if c.trouble {
		if err := f.replaceConfiguration(config(2, 5, 95), 5*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(killDelay)
	killedAt := time.Now()
	gone.Store(true)
	if err := f.killAndRestart(killed); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	return judgeTakenUp(c.record, all.stop(), killedAt)
}

// judgeTakenUp reports whether enough of the streams went on that callers took up after a time.
func judgeTakenUp(r *record, streams []*stream, since time.Time) (bool, error) {
	taken, wentOn, started, begun := 0, 0, 0, 0
	for _, s := range streams {
		if s.takenUp.After(since) {
			taken++
			if s.wentOn {
				wentOn++
			}
		}
		if s.started.After(since) {
			started++
			if s.firstTry {
				begun++
			}
		}
	}
	r.result("streams taken up: %d, of which %d went on; new streams: %d, of which %d began (LOST: less than half as often)", taken, wentOn, started, begun)
	if taken < minTakenUp || begun*2 < started {
		return false, fmt.Errorf("too few streams were taken up or begun")
	}
	return float64(wentOn)/float64(taken) >= 0.5*float64(begun)/float64(started), nil
}

// killAndRestart kills a machine and starts it again.
func (f *fleet) killAndRestart(h *host) error {
	f.record.line("%s is killed", h.name)
	h.gateway.kill()
	h.controller.kill()
	time.Sleep(killedFor)
	for _, p := range []*process{h.controller, h.gateway} {
		if err := f.restart(p); err != nil {
			return err
		}
	}
	f.record.line("%s is started again", h.name)
	return nil
}
