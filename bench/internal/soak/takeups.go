package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// breakStreams kills a gateway and starts it again.
func (s *Soak) breakStreams(gateway int) {
	p := s.fleet.gateways[gateway]
	end := p.faultTimes.begin()
	p.kill()
	s.faults.startProcess(p)
	end()
}

// takeUps is the load of callers that begin streams at some gateways and take them up at another
// one.
type takeUps struct {
	takeUpAt int
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	broken   []brokenStream
	counts   struct {
		// takenUp are the streams that were taken up, wentOn those that went on, ofNewVersion
		// those that were taken up and had begun at the new version, newWentOn those of them
		// that went on.
		takenUp, wentOn, ofNewVersion, newWentOn int
	}
}

// startTakeUps starts callers.
func startTakeUps(ctx context.Context, s *Soak, beginAt []int, takeUpAt int) *takeUps {
	calling, cancel := context.WithCancel(ctx)
	l := &takeUps{
		takeUpAt: takeUpAt,
		cancel:   cancel,
	}
	for i := range 36 {
		c := &caller{
			soak:    s,
			gateway: beginAt[i%len(beginAt)],
			random:  rand.New(rand.NewPCG(s.options.Seed, uint64(i))),
		}
		l.group.Go(func() {
			defer c.disconnect()
			for calling.Err() == nil {
				// Streams begin at all times before a kill.
				time.Sleep(time.Duration(20+c.random.IntN(500)) * time.Millisecond)
				l.call(calling, c, i)
			}
		})
	}
	return l
}

// stop stops the callers and waits until they have ended.
func (l *takeUps) stop() {
	l.cancel()
	l.group.Wait()
}

// call begins a stream and takes it up if it breaks off.
func (l *takeUps) call(ctx context.Context, c *caller, index int) {
	home := c.gateway
	a := c.newAttempt()
	a.Kind, a.Key, a.Events = Chat, permanentKeys[index%2], maxEvents
	c.send(a)
	if a.Status != http.StatusOK || a.Complete || lastEvent(a) == 0 {
		return
	}
	c.soak.ledger.mu.Lock()
	isNew := originVersion(a) != "v1"
	c.soak.ledger.mu.Unlock()
	wentOn := c.takeUpAt(ctx, l.takeUpAt, a)
	c.disconnect()
	c.gateway = home
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, brokenStream{
		began:  a.Began,
		wentOn: wentOn,
	})
	l.counts.takenUp++
	if isNew {
		l.counts.ofNewVersion++
	}
	if wentOn {
		l.counts.wentOn++
	}
	if isNew && wentOn {
		l.counts.newWentOn++
	}
}

// takeUpAt takes a stream up at a gateway until it goes on or the caller's time is over, and
// reports whether it went on.
func (c *caller) takeUpAt(ctx context.Context, gateway int, origin *Attempt) bool {
	for ctx.Err() == nil && time.Since(origin.Sent) < callerTimeout {
		c.disconnect()
		c.gateway = gateway
		next := c.newAttempt()
		next.Kind, next.Key, next.Events, next.Origin, next.After = Chat, origin.Key, origin.Events, origin, lastEvent(origin)
		c.send(next)
		if next.Status == http.StatusOK {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}
