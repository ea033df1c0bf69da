package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// versionsNetwork is the second byte of the test's loopback addresses.
const versionsNetwork = 13

// TestStreamsKeepTheirSoftwareVersion guards against streams that are joined from upstreams of
// two software versions after all processes of the fleet were killed at once, and against a
// fleet that refuses to resume streams since it has forgotten which version began them.
func TestStreamsKeepTheirSoftwareVersion(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        6,
		Controllers: 3,
		Gateways:    3,
		Upstreams:   6,
		Network:     versionsNetwork,
	})
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var group sync.WaitGroup
	var mu sync.Mutex
	var broken []brokenStream
	for i := range 72 {
		c := &caller{
			soak:    s,
			gateway: i % len(s.fleet.gateways),
			random:  rand.New(rand.NewPCG(6, uint64(i))),
		}
		group.Go(func() {
			defer c.disconnect()
			for calling.Err() == nil {
				// Streams begin at all times before a kill.
				time.Sleep(time.Duration(20+c.random.IntN(500)) * time.Millisecond)
				a := c.newAttempt()
				a.Kind, a.Key, a.Events = Chat, permanentKeys[i%2], maxEvents
				c.send(a)
				if a.Status != http.StatusOK || a.Complete || lastEvent(a) == 0 {
					continue
				}
				wentOn := c.resumePatiently(calling, a)
				mu.Lock()
				broken = append(broken, brokenStream{
					began:  a.Began,
					wentOn: wentOn,
				})
				mu.Unlock()
			}
		})
	}
	var commits commitTimes
	group.Go(func() { commits.measure(calling, s) })
	var kills []time.Time
	for range 2 {
		time.Sleep(2 * time.Second)
		kills = append(kills, time.Now())
		s.restartAll()
		time.Sleep(5 * time.Second)
	}
	stopCalling()
	group.Wait()
	s.ledger.Check(s, true)
	is.Equal(s.ledger.Violations(), nil)
	recorded, forgotten := 0, 0
	for _, kill := range kills {
		old, lost := goneOn(broken, kill, originDelay+2*commits.longest(kill), t.Logf)
		recorded, forgotten = recorded+old, forgotten+lost
	}
	t.Logf("%d broken streams, %d of them must go on", len(broken), recorded)
	is.True(recorded >= 24)
	is.Equal(forgotten, 0)
}

// resumePatiently resumes a stream until it goes on or the caller's time is over, and reports
// whether it went on.
func (c *caller) resumePatiently(ctx context.Context, origin *Attempt) bool {
	for ctx.Err() == nil && time.Since(origin.Sent) < callerTimeout {
		if last := c.resume(ctx, origin); last == nil || last.Status == http.StatusOK {
			return last != nil
		}
	}
	return false
}
