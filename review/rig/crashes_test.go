package rig

import (
	"fmt"
	"sync"
	"time"
)

// Crashes of engines in crashesCase: two of nine at a time, under the largest share on the site's pages.
const (
	crashWaves   = 8
	crashedOnce  = 2
	crashPause   = time.Second
	crashedFor   = 2 * time.Second
	deniedAlways = 5
	deniedOneIn  = 500
)

// crashesCase crashes two of nine engines at a time, again and again, while sound streams are under way.
func crashesCase(c *run) (bool, error) {
	var engines []*engine
	for i := range 9 {
		engines = append(engines, newEngine(i, fmt.Sprintf("i-%d", i+1), "llm", "v1", 64, streamEvents))
	}
	f, err := c.start(engines, configuration(1, []any{chat(map[string]any{"service": "llm"})}, []any{modelService("llm")}))
	if err != nil {
		return false, err
	}
	all := startCallers(c.record, 50*time.Millisecond, func(caller, attempt int) *host { return f.hosts[(caller+attempt)%len(f.hosts)] })
	time.Sleep(8 * time.Second)
	var wait sync.WaitGroup
	for wave := range crashWaves {
		for i := range crashedOnce {
			if e := engines[(crashedOnce*wave+i)%len(engines)]; c.trouble {
				wait.Go(func() { e.crashFor(crashedFor) })
			}
		}
		time.Sleep(crashPause)
	}
	wait.Wait()
	tries, denied, lost, limit := 0, 0, 0, 0
	streams := all.stop()
	for _, s := range streams {
		tries += len(s.answers)
		if !s.complete {
			lost++
		}
		for _, answer := range s.answers {
			if answer == "400" {
				denied++
			}
		}
	}
	limit = deniedAlways + tries/deniedOneIn
	c.record.result("streams: %d, not complete %d; attempts: %d, answered 400: %d (more than %d break DENIED)", len(streams), lost, tries, denied, limit)
	if len(streams) < 100 {
		return false, fmt.Errorf("too few streams")
	}
	return denied <= limit, nil
}
