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
	// backoffTime is for how long the engine in need wants nothing from a machine.
	backoffTime = 25 * time.Second
	// queueTime is how long it holds a request in its queue before it turns it away.
	queueTime = 400 * time.Millisecond
	// backoffGrace and maxEarly are the bounds of BUDGET.
	backoffGrace = 500 * time.Millisecond
	maxEarly     = 2
	// The entry of the engine is that of another writer blips times, for blipTime each.
	blips    = 3
	blipTime = 2 * time.Second
)

// needyEngine is the state of an engine that turns requests away with Retry-After.
type needyEngine struct {
	mu sync.Mutex
	// since is when it began to, zero before.
	since time.Time
	// answered are the times at which machines got the first such answer, and early the numbers of
	// their requests since that came too early.
	answered map[string]time.Time
	early    map[string]int
}

// handle answers as an engine in need does.
func (n *needyEngine) handle(e *engine, w http.ResponseWriter, r *http.Request) {
	machine := r.Header.Get("X-Machine")
	n.mu.Lock()
	left := backoffTime - time.Since(n.since)
	needy := !n.since.IsZero() && left > 0
	if at, ok := n.answered[machine]; needy && ok && time.Since(at) > backoffGrace {
		n.early[machine]++
	}
	n.mu.Unlock()
	if !needy {
		answerPlain(e, w)
		return
	}
	e.record.line("engine %s gets %s of machine %s, %.1f s before the end of Retry-After", e.id, r.Header.Get("Baobabpaddle-Attempt-Id"), machine, left.Seconds())
	if !sleep(r.Context(), queueTime) {
		return // the machine no longer waits for the answer
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.answered[machine]; !ok {
		n.answered[machine] = time.Now()
	}
	w.Header().Set("Baobabpaddle-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat((backoffTime-time.Since(n.since)).Seconds(), 'f', 1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// backoffCase has an engine turn requests away with Retry-After, and its entry in the list be that of
// another writer for some moments.
func backoffCase(c *run) (bool, error) {
	needy := &needyEngine{
		answered: make(map[string]time.Time),
		early:    make(map[string]int),
	}
	f, err := c.startDesk(func(e *engine, w http.ResponseWriter, r *http.Request) {
		if e.number == 0 {
			needy.handle(e, w, r)
			return
		}
		answerPlain(e, w)
	})
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	counts := &plainCounts{}
	go counts.run(ctx, f, 10*time.Millisecond)
	time.Sleep(3 * time.Second)
	needy.mu.Lock()
	needy.since = time.Now()
	needy.mu.Unlock()
	for range blips {
		time.Sleep(4 * time.Second)
		if c.trouble {
			c.record.line("the entry of i-1 is that of another writer")
			f.list.setMalformed("i-1", true)
		}
		time.Sleep(blipTime)
		c.record.line("the entry of i-1 is its own")
		f.list.setMalformed("i-1", false)
	}
	time.Sleep(4 * time.Second)
	cancel()
	needy.mu.Lock()
	defer needy.mu.Unlock()
	most := 0
	for machine, n := range needy.early {
		c.record.result("machine %s: %d requests at i-1 between half a second after its 503 and the end of Retry-After (more than %d break BUDGET)", machine, n, maxEarly)
		most = max(most, n)
	}
	c.record.result("answers to clients: %s; machines that got the 503: %d", counts.text(), len(needy.answered))
	if len(needy.answered) == 0 {
		return false, fmt.Errorf("no machine got the 503")
	}
	return most <= maxEarly, nil
}
