package soak

import (
	"math/rand/v2"
	"os"
	"time"
)

// Times of a fault at the first start.
const (
	maxFaultAtStart = 3 * time.Second // from the start of all processes to the fault
	maxStartOutage  = 3 * time.Second
)

// disturbStart kills one controller with a disk at a drawn time of the first start, and starts
// it again with its disk or with an empty one.
func (s *Soak) disturbStart() {
	random := rand.New(rand.NewPCG(s.options.Seed, 1))
	withDisk := s.fleet.withDisk()
	p := withDisk[random.IntN(len(withDisk))]
	time.Sleep(time.Duration(random.Int64N(int64(maxFaultAtStart))))
	outage := time.Duration(random.Int64N(int64(maxStartOutage)))
	emptied := random.IntN(2) == 0
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.faultTimes.begin()()
	p.kill()
	s.logFault("%s is killed at the first start, back after %s, disk emptied: %v", p.name, outage, emptied)
	if emptied {
		if err := os.RemoveAll(p.folder); err != nil {
			s.logFault("%s keeps its disk: %v", p.name, err)
		}
		if err := os.MkdirAll(p.folder, 0o700); err != nil {
			s.logFault("%s gets no folder: %v", p.name, err)
		}
	}
	time.Sleep(outage)
	if err := p.start(); err != nil {
		s.logFault("%s does not start: %v", p.name, err)
	}
}
