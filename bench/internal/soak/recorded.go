package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// originDelay bounds how long before a loss of power a stream may have begun without being
// recorded, beyond the time of two commits: the one that it waits for and its own.
const originDelay = 100 * time.Millisecond

// relayDelay bounds how long before the end of a gateway without a link to the leader a stream may have
// begun without being known elsewhere. Such a gateway looks for new streams every 0.1 s, and calls one
// more controller every 50 ms.
const relayDelay = 400 * time.Millisecond

// brokenStream is a stream that broke off after its first event, and was taken up.
type brokenStream struct {
	began  time.Time
	wentOn bool
}

// commitTimes are the times that changes of the configuration take.
type commitTimes struct {
	mu      sync.Mutex
	changes [][2]time.Time // beginning and end, which is zero until it is known
}

// measure changes the configuration again and again until the context ends.
func (c *commitTimes) measure(ctx context.Context, s *Soak) {
	random := rand.New(rand.NewPCG(s.options.Seed, 995))
	for ctx.Err() == nil {
		c.mu.Lock()
		c.changes = append(c.changes, [2]time.Time{time.Now()})
		last := len(c.changes) - 1
		c.mu.Unlock()
		s.operator.changeConfiguration(ctx, random)
		c.mu.Lock()
		c.changes[last][1] = time.Now()
		c.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// longest returns the longest time that a change took in the second before a kill.
func (c *commitTimes) longest(kill time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for _, change := range c.changes {
		begin, end := change[0], change[1]
		if end.IsZero() || end.After(kill) {
			end = kill
		}
		if begin.Before(kill) && end.After(kill.Add(-time.Second)) {
			longest = max(longest, end.Sub(begin))
		}
	}
	return longest
}

// goneOn returns the number of streams that began at least the delay before a kill which broke them off,
// and how many of them did not go on. It logs each stream that did not.
func goneOn(broken []brokenStream, kill time.Time, delay time.Duration, logf func(format string, args ...any)) (old, lost int) {
	for _, b := range broken {
		age := kill.Sub(b.began)
		if age < 0 || age > callerTimeout {
			continue
		}
		if age >= delay {
			old++
		}
		if b.wentOn {
			continue
		}
		logf("a stream that began %v before a kill did not go on; allowed below %v", age, delay)
		if age >= delay {
			lost++
		}
	}
	return old, lost
}
