package rig

import (
	"context"
	"fmt"
	"time"
)

const (
	// restartTime is how long an engine is down while it is restarted, and restartPause the time from
	// one engine's stop to the next.
	restartTime  = 2 * time.Second
	restartPause = 3 * time.Second
	// maxMixed is the number of streams with events of two software versions that ORDER allows.
	maxMixed = 2
)

// orderCase restarts the engines of a service one after the other, each under the identifier and
// address that it had, with a new software version.
func orderCase(c *run) (bool, error) {
	var engines []*engine
	for i := range 4 {
		engines = append(engines, newEngine(i, fmt.Sprintf("i-%d", i+1), "llm", "v1", 64, streamEvents))
	}
	f, err := c.start(engines, configuration(1, []any{chat(map[string]any{"service": "llm"})}, []any{modelService("llm")}))
	if err != nil {
		return false, err
	}
	all := startCallers(c.record, 50*time.Millisecond, func(caller, attempt int) *host { return f.hosts[(caller+attempt)%len(f.hosts)] })
	time.Sleep(6 * time.Second)
	for _, e := range engines {
		e.crash()
		if c.trouble {
			e.setNextVersion("v2")
		}
		time.Sleep(restartTime)
		if err := e.start(); err != nil {
			return false, err
		}
		time.Sleep(restartPause - restartTime)
	}
	time.Sleep(4 * time.Second)
	streams := all.stop()
	mixed, broken := 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}
		if !s.complete {
			broken++
		}
	}
	c.record.result("streams: %d, not complete %d, with events of two software versions %d (more than %d break ORDER)", len(streams), broken, mixed, maxMixed)
	if len(streams) < 100 || broken > len(streams)/2 {
		return false, fmt.Errorf("too few streams were served")
	}
	return mixed <= maxMixed, nil
}

// startCallers starts streams at an even rate until stop is called.
func startCallers(r *record, every time.Duration, pick func(caller, attempt int) *host) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	go func() {
		c.run(ctx, r, every, pick)
		close(c.ended)
	}()
	return c
}

// stop starts no more streams, waits for the end of the others and returns all.
func (c *callers) stop() []*stream {
	c.cancel()
	<-c.ended
	return c.streams
}
