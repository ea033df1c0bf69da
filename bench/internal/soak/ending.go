package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// endWithPowerLoss has all hosts lose power shortly after a change that adds a route, while
// callers go on. All gateways must serve again, every controller must return what was
// acknowledged, and another change must be accepted. A host that does not come back is left
// out.
func (s *Soak) endWithPowerLoss(ctx context.Context) {
	f := s.faults
	defer f.lockHosts()()
	random := rand.New(rand.NewPCG(s.options.Seed, 2))
	f.awaitCalm()
	s.operator.mu.Lock()
	s.operator.addRoute = true
	before := s.operator.version
	s.operator.mu.Unlock()
	if s.options.SurvivableFaults {
		f.fillDisksBeforeLoss(ctx, random)
	}
	s.logFault("the run ends with a loss of power")
	gone := f.losePower(ctx, random)
	back := time.Now()
	s.operator.mu.Lock()
	acknowledged := s.operator.acknowledged > before
	s.operator.mu.Unlock()
	s.logFault("the last change was acknowledged: %t", acknowledged)
	kinds := servedKinds
	if acknowledged {
		kinds = append([]Kind{Added}, kinds...)
	}
	var group sync.WaitGroup
	group.Go(func() {
		serving, cancel := context.WithDeadline(ctx, back.Add(servingTimeout))
		defer cancel()
		if missing := s.awaitServing(serving, kinds, gone); missing != "" && ctx.Err() == nil {
			s.ledger.RecordViolation("recovery", "not served within %s of the last loss of power: %s", servingTimeout, missing)
			return
		}
		f.recordRecovery("serving", time.Since(back))
	})
	group.Go(func() { f.awaitReads(ctx, back, gone) })
	group.Wait()
	changing, cancel := context.WithTimeout(ctx, readingTimeout)
	defer cancel()
	s.operator.changeConfiguration(changing, random)
	if changing.Err() != nil && ctx.Err() == nil {
		s.ledger.RecordViolation("recovery", "no change was accepted within %s after the last loss of power", readingTimeout)
		return
	}
	f.awaitReads(ctx, time.Now(), gone)
}
