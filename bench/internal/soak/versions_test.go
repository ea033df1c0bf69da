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
	broken, resumed := 0, 0
	for i := range 36 {
		c := &caller{
			soak:    s,
			gateway: i % len(s.fleet.gateways),
			random:  rand.New(rand.NewPCG(6, uint64(i))),
		}
		group.Go(func() {
			defer c.disconnect()
			for calling.Err() == nil {
				a := c.newAttempt()
				a.Kind, a.Key, a.Events = Chat, permanentKeys[i%2], maxEvents
				c.send(a)
				if a.Status != http.StatusOK || a.Complete || lastEvent(a) == 0 {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				wentOn := c.resumePatiently(calling, a)
				mu.Lock()
				broken++
				if wentOn {
					resumed++
				}
				mu.Unlock()
			}
		})
	}
	for range 2 {
		time.Sleep(2 * time.Second)
		s.restartAll()
		time.Sleep(5 * time.Second)
	}
	stopCalling()
	group.Wait()
	s.ledger.Check(s, true)
	t.Logf("%d of %d broken streams went on", resumed, broken)
	is.Equal(s.ledger.Violations(), nil)
	is.True(broken >= 24)
	is.True(10*resumed >= 9*broken)
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
