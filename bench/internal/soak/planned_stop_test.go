package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// stopNetwork is the second byte of the test's loopback addresses.
	stopNetwork = 14
	// slowPause makes streams take several times as long as those before.
	slowPause = 120 * time.Millisecond
	// Requests that are sent later than lateRequest after SIGTERM must not be cut.
	lateRequest = 3 * time.Second
)

// TestPlannedStopCutsNoLateRequest guards against requests that a gateway takes late in the grace
// period of a planned stop and cuts at its end, since their streams take longer than estimated.
func TestPlannedStopCutsNoLateRequest(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        7,
		Controllers: 3,
		Gateways:    2,
		Upstreams:   3,
		Network:     stopNetwork,
	})
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var group sync.WaitGroup
	for i := range 16 {
		c := &caller{
			soak:   s,
			random: rand.New(rand.NewPCG(7, uint64(i))),
		}
		group.Go(func() {
			defer c.disconnect()
			for calling.Err() == nil {
				a := c.newAttempt()
				a.Kind, a.Key = []Kind{Chat, Draft, Book, Draft}[i%4], permanentKeys[i%2]
				a.Events = min(a.Events, 40)
				c.send(a)
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	p := s.fleet.gateways[0]
	p.stopping = true
	stopped := time.Now()
	p.signal(syscall.SIGTERM)
	time.Sleep(lateRequest - 200*time.Millisecond) // no slow stream has ended when late ones arrive
	for _, u := range s.upstreams {
		u.mu.Lock()
		u.eventPause = slowPause
		u.mu.Unlock()
	}
	select {
	case <-p.done:
	case <-time.After(time.Until(stopped.Add(graceSeconds * time.Second))):
		p.kill()
	}
	stopCalling()
	group.Wait()
	late, cut := 0, 0
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	for _, a := range s.ledger.attempts {
		if a.Sent.Before(stopped.Add(lateRequest)) || len(a.Executions) == 0 {
			continue
		}
		late++
		if a.Status == 0 || !a.Complete {
			cut++
			t.Logf("%s %s, sent %s after SIGTERM, ran and got status %d, complete %t", a.Kind, a.ID, a.Sent.Sub(stopped), a.Status, a.Complete)
		}
	}
	t.Logf("%d late requests ran, %d of them were cut", late, cut)
	is.Equal(cut, 0)
}
