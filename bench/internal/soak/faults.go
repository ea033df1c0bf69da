package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// faultSeries is the number of series of faults that run at the same time.
const faultSeries = 3

// replacementTime is the shortest time between two losses of data. The group must replace
// the replica of a controller within it, so that it never lacks two at a time.
const replacementTime = 12 * time.Second

// faults draws series of faults at random and injects them.
type faults struct {
	soak *Soak

	// calm is held for reading while a relay before a controller is disturbed, and for
	// writing while no such fault may act.
	calm sync.RWMutex

	// cutting is held while a gateway is cut off.
	cutting sync.Mutex

	mu     sync.Mutex
	counts map[string]int
	// No data may be lost before calmUntil. Moved is the number of changed addresses.
	calmUntil time.Time
	moved     int
	recovery  map[string]time.Duration
	// gatewayEnds end the fault of each gateway after killAll.
	gatewayEnds []func()
}

// fault is one kind of fault. Its function injects the fault and returns after it is over.
type fault struct {
	name   string
	inject func(f *faults, ctx context.Context, random *rand.Rand)
}

// faultKinds are drawn by index: their number and order are part of what a seed means.
var faultKinds = []fault{
	{"kill a gateway", func(f *faults, _ context.Context, random *rand.Rand) {
		f.restart(f.gateway(random), random, (*process).kill)
	}},
	{"stop a gateway", func(f *faults, _ context.Context, random *rand.Rand) {
		f.restart(f.gateway(random), random, (*process).stop)
	}},
	{"pause a gateway", func(f *faults, _ context.Context, random *rand.Rand) { f.pause(f.gateway(random), random) }},
	{"kill a controller", func(f *faults, _ context.Context, random *rand.Rand) {
		f.restart(f.controller(random), random, (*process).kill)
	}},
	{"stop a controller", func(f *faults, _ context.Context, random *rand.Rand) {
		f.restart(f.controller(random), random, (*process).stop)
	}},
	{"pause a controller", func(f *faults, _ context.Context, random *rand.Rand) { f.pause(f.controller(random), random) }},
	{"kill all controllers", func(f *faults, _ context.Context, random *rand.Rand) { f.killAllControllers(random) }},
	{"lose a controller's data", func(f *faults, _ context.Context, random *rand.Rand) { f.damageData(random, wipeFolder) }},
	{"tear a controller's log", func(f *faults, _ context.Context, random *rand.Rand) { f.damageData(random, appendTornRecord) }},
	{"rewrite settings", func(f *faults, _ context.Context, random *rand.Rand) { f.rewriteSettings(random) }},
	{"relay before a controller", func(f *faults, _ context.Context, random *rand.Rand) {
		f.calm.RLock()
		defer f.calm.RUnlock()
		f.disturbRelay(f.soak.fleet.relays[random.IntN(len(f.soak.fleet.relays))], random)
	}},
	{"relay before an upstream", func(f *faults, _ context.Context, random *rand.Rand) {
		f.disturbRelay(f.upstream(random).relay, random)
	}},
	{"upstream", func(f *faults, _ context.Context, random *rand.Rand) {
		modes := []string{"crash", "hang", "reject", "lose", "fail", "spoil", "slow", "reads slowly", "rest", "endless"}
		f.upstream(random).InjectFault(modes[random.IntN(len(modes))], randomDuration(random, 3*time.Second))
	}},
	{"drain an upstream", func(f *faults, _ context.Context, random *rand.Rand) { f.drain(f.upstream(random), random) }},
	{"storm of changes", func(f *faults, ctx context.Context, random *rand.Rand) {
		for range 5 {
			f.soak.operator.changeConfiguration(ctx, random)
		}
	}},
}

// randomDuration returns a duration in [0, limit).
func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// run injects series of faults until the context ends. A series repeats one kind of fault
// up to three times.
func (f *faults) run(ctx context.Context) {
	kinds := slices.Clone(faultKinds)
	if f.soak.options.PowerLoss {
		kinds = append(kinds, powerFaultKinds...)
	}
	if f.soak.options.SurvivableFaults {
		kinds = append(kinds, survivableFaultKinds...)
	}
	if f.soak.options.CutOffs {
		kinds = append(kinds, cutOffFaultKinds...)
	}
	allSeries := faultSeries
	if f.soak.options.Crowds > 0 {
		allSeries += crowdSeries
	}
	var group sync.WaitGroup
	for series := range allSeries {
		kinds := kinds
		if series >= faultSeries {
			kinds = crowdFaultKinds
		}
		group.Go(func() {
			random := rand.New(rand.NewPCG(f.soak.options.Seed, uint64(series+1)))
			for ctx.Err() == nil {
				kind := kinds[random.IntN(len(kinds))]
				for range 1 + random.IntN(3) {
					if ctx.Err() != nil {
						return
					}
					f.soak.logFault("series %d: %s", series, kind.name)
					f.mu.Lock()
					f.counts[kind.name]++
					f.mu.Unlock()
					kind.inject(f, ctx, random)
					time.Sleep(randomDuration(random, time.Second))
				}
			}
		})
	}
	group.Wait()
}

func (f *faults) gateway(random *rand.Rand) *process {
	return f.soak.fleet.gateways[random.IntN(len(f.soak.fleet.gateways))]
}

func (f *faults) controller(random *rand.Rand) *process {
	return f.soak.fleet.controllers[random.IntN(len(f.soak.fleet.controllers))]
}

func (f *faults) upstream(random *rand.Rand) *Upstream {
	return f.soak.upstreams[random.IntN(len(f.soak.upstreams))]
}

// restart ends a process and starts it again. A process that is asked to stop must lose no
// answers, so the fault counts from the end of the process; that of one that is killed counts from the
// signal, since its connections may end long before the process has.
func (f *faults) restart(p *process, random *rand.Rand, end func(*process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end(p)
	endFault := p.faultTimes.beginAt(p.ended)
	time.Sleep(randomDuration(random, time.Second))
	f.startProcess(p)
	endFault()
}

// startProcess starts a process and reports a violation if it cannot be started.
func (f *faults) startProcess(p *process) {
	if err := p.start(); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
	}
}

// pause suspends a process for up to four seconds.
func (f *faults) pause(p *process, random *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endFault := p.faultTimes.begin()
	p.signal(syscall.SIGSTOP)
	paused := time.Now()
	time.Sleep(randomDuration(random, 4*time.Second))
	p.signal(syscall.SIGCONT)
	p.started = p.started.Add(time.Since(paused)) // it may not handle signals yet
	endFault()
}

// killAllControllers kills all controllers at once and starts them again.
func (f *faults) killAllControllers(random *rand.Rand) {
	for _, p := range f.soak.fleet.controllers {
		p.mu.Lock()
		defer p.mu.Unlock()
	}
	for _, p := range f.soak.fleet.controllers {
		p.kill()
	}
	time.Sleep(randomDuration(random, time.Second))
	for _, p := range f.soak.fleet.controllers {
		f.startProcess(p)
	}
}

// damageData kills one controller, damages its data and starts it again, while no other
// fault acts on a controller. It does nothing within replacementTime of the last loss.
func (f *faults) damageData(random *rand.Rand, damage func(folder string, random *rand.Rand) error) {
	if f.soak.options.PowerLoss {
		f.calm.Lock()
		defer f.calm.Unlock()
	}
	for _, p := range f.soak.fleet.controllers {
		p.mu.Lock()
		defer p.mu.Unlock()
	}
	f.mu.Lock()
	early := time.Now().Before(f.calmUntil)
	if !early {
		f.calmUntil = time.Now().Add(replacementTime)
	}
	f.mu.Unlock()
	if early {
		return
	}
	withDisk := f.soak.fleet.withDisk()
	p := withDisk[random.IntN(len(withDisk))]
	p.kill()
	if err := damage(p.folder, random); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
	}
	f.startProcess(p)
	// The group counts the replica as lost until it is back, and tolerates one loss: other
	// faults of controllers wait.
	if f.soak.options.PowerLoss {
		f.awaitCatchUp(random)
		return
	}
	time.Sleep(3 * time.Second)
}

// wipeFolder removes all files of a data folder.
func wipeFolder(folder string, _ *rand.Rand) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := os.Remove(filepath.Join(folder, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

// appendTornRecord appends a part of a record to the log, as a power failure during a
// write leaves it: zeros or random bytes.
func appendTornRecord(folder string, random *rand.Rand) error {
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer log.Close()
	torn := make([]byte, 1+random.IntN(3000))
	if random.IntN(2) == 0 {
		for i := range torn {
			torn[i] = byte(random.Uint32())
		}
	}
	_, err = log.Write(torn)
	return err
}

// programStart is how long a program may take until it handles signals.
const programStart = 500 * time.Millisecond

// rewriteSettings changes the seeds in a process's settings file and, in half the cases,
// sends SIGHUP so that the process reads them.
func (f *faults) rewriteSettings(random *rand.Rand) {
	all := f.soak.processes()
	p := all[random.IntN(len(all))]
	p.mu.Lock()
	defer p.mu.Unlock()
	first := random.IntN(len(f.soak.fleet.controllers))
	var seeds []string
	for i := range 2 {
		seeds = append(seeds, f.soak.fleet.controllers[(first+i)%len(f.soak.fleet.controllers)].listenAddress())
	}
	p.settings["seeds"] = seeds
	if err := p.writeSettings(); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
	}
	// SIGHUP ends a program that has not installed its signal handler yet.
	if random.IntN(2) == 0 && time.Since(p.started) > programStart {
		p.signal(syscall.SIGHUP)
	}
}

// disturbRelay injects a fault into the connections of a relay.
func (f *faults) disturbRelay(r *Relay, random *rand.Rand) {
	modes := []string{"delay", "reset", "silent", "one_way"}
	r.InjectFault(modes[random.IntN(len(modes))], randomDuration(random, 3*time.Second))
}

// drainTime is the time within which a draining upstream must stop receiving new requests.
const drainTime = 4 * time.Second

// drain lists an upstream as draining for at least drainTime.
func (f *faults) drain(u *Upstream, random *rand.Rand) {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	time.Sleep(drainTime + randomDuration(random, time.Second))
	u.mu.Lock()
	u.draining = false
	u.mu.Unlock()
}

// String returns the number of injected faults of each kind.
func (f *faults) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.counts)
}
