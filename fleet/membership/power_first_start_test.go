package membership_test

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// firstStartSeeds is the number of schedules of each first start.
const firstStartSeeds = 40

// runFirstStart runs a script on fleets of three hosts with a disk that are about to start for
// the first time, and some without one. It reports the trace of each that ends with a violation.
func runFirstStart(t *testing.T, script func(*powerRun)) {
	t.Helper()
	scratch := t.TempDir()
	for seed := range uint64(firstStartSeeds) {
		p := &powerRun{
			fleet:      newFleet(seed+1, scratch),
			nextNumber: 60,
		}
		for i := range 3 {
			h := p.addHost("d"+strconv.Itoa(i+1), 10+i, true)
			p.seeds = append(p.seeds, h.address)
		}
		for i := range p.random.IntN(3) {
			p.addHost("n"+strconv.Itoa(i+1), 2+20*p.random.IntN(2)+i, false)
		}
		script(p)
		if p.violation != "" {
			t.Errorf("seed %d: %s\n%s", seed+1, p.violation, strings.Join(p.trace, "\n"))
		}
	}
}

// startAll starts all hosts within 0.3 s, with clients.
func (p *powerRun) startAll() {
	for _, h := range p.hosts {
		p.after(p.draw(0, 300*time.Millisecond), h.start)
	}
	p.clients()
}

// TestLossOfHostAtFirstStart guards against a fleet that never accepts a configuration: one of
// three hosts is lost for good at a drawn time of the first start, and another one takes its
// place.
func TestLossOfHostAtFirstStart(t *testing.T) {
	runFirstStart(t, func(p *powerRun) {
		p.startAll()
		h := p.hosts[p.random.IntN(3)]
		p.run(p.draw(300*time.Millisecond, 3*time.Second))
		p.tracef("%s is gone for good", h.name)
		h.stop()
		h.gone = true
		p.run(p.draw(0, 4*time.Second))
		successor := p.addHost("r"+h.name, p.nextNumber, true)
		successor.firstStart = false
		p.drawSeeds()
		successor.start()
		p.checkRecovery()
	})
}

// TestFirstChangeOutlastsLossOfDisk guards against a first change that is confirmed by a single
// voter, or by two of which one is not enough: one host is cut off from the first start on, and
// another one loses its disk as soon as the change is confirmed.
func TestFirstChangeOutlastsLossOfDisk(t *testing.T) {
	runFirstStart(t, func(p *powerRun) {
		away := p.hosts[p.random.IntN(3)]
		away.cut = true
		p.tracef("%s is cut off", away.name)
		p.startAll()
		p.after(p.draw(5*time.Second, 25*time.Second), func() {
			away.cut = false
			p.tracef("%s is back", away.name)
		})
		if !p.await(time.Minute, func() bool { return p.acked > 0 }) {
			p.failf("no change is accepted in a minute")
			return
		}
		h := p.anyVoter()
		h.stop()
		h.wipe()
		h.firstStart = false
		p.run(p.draw(0, 4*time.Second))
		h.start()
		p.await(time.Minute, func() bool { return !away.cut })
		p.checkRecovery()
	})
}
