package rig

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// crasherPause is the time after which the request that crashes engines comes again, and
	// crasherTimes how often it comes.
	crasherPause = 5 * time.Second
	crasherTimes = 17
	// crashTime is how long an engine is down after a crash.
	crashTime = 2 * time.Second
	// maxRetries is the number of retries after the third crash that BUDGET allows.
	maxRetries = 3
)

// crasherCase sends a request that crashes each engine that begins to run it, again and again, while
// the leading machines of the core are stopped and started in turn.
func crasherCase(c *run) (bool, error) {
	var mu sync.Mutex
	var crashes []time.Time
	retries := 0
	handle := func(e *engine, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Crasher") == "" {
			answerPlain(e, w)
			return
		}
		sent, _ := strconv.ParseInt(r.Header.Get("X-Sent"), 10, 64)
		mu.Lock()
		if len(crashes) >= 3 && time.Unix(0, sent).Sub(crashes[2]) > stableWindow {
			retries++
		}
		crashes = append(crashes, time.Now())
		c.record.line("engine %s begins to run the request that crashes: crash %d, %d retries counted", e.id, len(crashes), retries)
		mu.Unlock()
		go e.crashFor(crashTime)
		<-r.Context().Done()
	}
	f, err := c.startDesk(handle)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counts := &plainCounts{}
	go counts.run(ctx, f, 40*time.Millisecond)
	time.Sleep(3 * time.Second)
	for n := range crasherTimes {
		go callCrasher(c.record, f.hosts[(n+3)%len(f.hosts)], n)
		time.Sleep(crasherPause / 2)
		if c.trouble && n < 2 {
			go f.rollLeader()
		}
		time.Sleep(crasherPause / 2)
	}
	cancel()
	mu.Lock()
	defer mu.Unlock()
	c.record.result("answers to other clients: %s", counts.text())
	c.record.result("crashes: %d; retries sent later than %v after the third crash: %d (more than %d break BUDGET)", len(crashes), stableWindow, retries, maxRetries)
	if len(crashes) < 3 {
		return false, fmt.Errorf("too few crashes")
	}
	return retries <= maxRetries, nil
}
