package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// lanes is how many series of faults go on at the same time.
const lanes = 3

// settle is how long after a controller has lost its data another one may lose its
// own: the group must have replaced the replica by then.
const settle = 12 * time.Second

// faults draws and carries out series of faults.
type faults struct {
	soak *Soak

	mu     sync.Mutex
	counts map[string]int
	wiped  time.Time // when data was last lost
}

// fault is one kind of fault. It returns once all is as it was.
type fault struct {
	name string
	act  func(f *faults, ctx context.Context, random *rand.Rand)
}

var kinds = []fault{
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
	{"kill all controllers", func(f *faults, _ context.Context, random *rand.Rand) { f.herd(random) }},
	{"lose a controller's data", func(f *faults, _ context.Context, random *rand.Rand) { f.lose(random, wipe) }},
	{"tear a controller's log", func(f *faults, _ context.Context, random *rand.Rand) { f.lose(random, tear) }},
	{"rewrite settings", func(f *faults, _ context.Context, random *rand.Rand) { f.rewrite(random) }},
	{"relay before a controller", func(f *faults, _ context.Context, random *rand.Rand) {
		f.relay(f.soak.fleet.relays[random.IntN(len(f.soak.fleet.relays))], random)
	}},
	{"relay before an upstream", func(f *faults, _ context.Context, random *rand.Rand) { f.relay(f.upstream(random).relay, random) }},
	{"upstream", func(f *faults, _ context.Context, random *rand.Rand) {
		modes := []string{"crash", "hang", "reject", "lose", "fail", "spoil", "slow", "reads slowly", "rest", "endless"}
		f.upstream(random).InjectFault(modes[random.IntN(len(modes))], some(random, 3*time.Second))
	}},
	{"drain an upstream", func(f *faults, _ context.Context, random *rand.Rand) { f.drain(f.upstream(random), random) }},
	{"storm of changes", func(f *faults, ctx context.Context, random *rand.Rand) {
		for range 5 {
			f.soak.operator.change(ctx, random)
		}
	}},
}

func some(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}

// run draws series until the context ends. A series repeats one kind.
func (f *faults) run(ctx context.Context) {
	var group sync.WaitGroup
	for lane := range lanes {
		group.Go(func() {
			random := rand.New(rand.NewPCG(f.soak.options.Seed, uint64(lane+1)))
			for ctx.Err() == nil {
				kind := kinds[random.IntN(len(kinds))]
				for range 1 + random.IntN(3) {
					if ctx.Err() != nil {
						return
					}
					f.soak.note("lane %d: %s", lane, kind.name)
					f.mu.Lock()
					f.counts[kind.name]++
					f.mu.Unlock()
					kind.act(f, ctx, random)
					time.Sleep(some(random, time.Second))
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

// restart ends a process and starts it again. One that is asked to stop must lose
// nothing, so only what follows its end counts as harm.
func (f *faults) restart(p *process, random *rand.Rand, end func(*process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end(p)
	undo := p.harms.begin()
	time.Sleep(some(random, time.Second))
	f.again(p)
	undo()
}

// again starts a process; it must come up.
func (f *faults) again(p *process) {
	if err := p.start(); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
	}
}

// pause has a process stand still.
func (f *faults) pause(p *process, random *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	undo := p.harms.begin()
	p.signal(syscall.SIGSTOP)
	time.Sleep(some(random, 4*time.Second))
	p.signal(syscall.SIGCONT)
	undo()
}

// herd kills all controllers at once.
func (f *faults) herd(random *rand.Rand) {
	for _, p := range f.soak.fleet.controllers {
		p.mu.Lock()
		defer p.mu.Unlock()
	}
	for _, p := range f.soak.fleet.controllers {
		p.kill()
	}
	time.Sleep(some(random, time.Second))
	for _, p := range f.soak.fleet.controllers {
		f.again(p)
	}
}

// lose harms the data of one controller while it is down, and no other one is.
func (f *faults) lose(random *rand.Rand, harm func(folder string, random *rand.Rand) error) {
	for _, p := range f.soak.fleet.controllers {
		p.mu.Lock()
		defer p.mu.Unlock()
	}
	f.mu.Lock()
	early := time.Since(f.wiped) < settle
	if !early {
		f.wiped = time.Now()
	}
	f.mu.Unlock()
	if early {
		return
	}
	p := f.controller(random)
	p.kill()
	if err := harm(p.folder, random); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
	}
	f.again(p)
	// The others take it for lost until it is back, so nothing else happens to them.
	time.Sleep(3 * time.Second)
}

// wipe empties a data folder.
func wipe(folder string, _ *rand.Rand) error {
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

// tear appends part of a record to the log, as a loss of power during a write does.
func tear(folder string, random *rand.Rand) error {
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

// programStart is how long a program may take to its first instruction.
const programStart = 500 * time.Millisecond

// rewrite changes the seeds in a process's settings, with or without a signal.
func (f *faults) rewrite(random *rand.Rand) {
	all := f.soak.processes()
	p := all[random.IntN(len(all))]
	p.mu.Lock()
	defer p.mu.Unlock()
	first := random.IntN(len(f.soak.fleet.controllers))
	var seeds []string
	for i := range 2 {
		seeds = append(seeds, f.soak.fleet.controllers[(first+i)%len(f.soak.fleet.controllers)].listen)
	}
	p.settings["seeds"] = seeds
	if err := p.write(); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
	}
	// A program that was started a moment ago has no say yet in what the signal does.
	if random.IntN(2) == 0 && time.Since(p.started) > programStart {
		p.signal(syscall.SIGHUP)
	}
}

// relay harms the connections through a relay.
func (f *faults) relay(r *Relay, random *rand.Rand) {
	modes := []string{"delay", "reset", "silent", "one_way"}
	r.InjectFault(modes[random.IntN(len(modes))], some(random, 3*time.Second))
}

// drainTime is within which a leaving upstream must get no more new requests.
const drainTime = 4 * time.Second

// drain lists an upstream as leaving; it must get nothing more after some seconds.
func (f *faults) drain(u *Upstream, random *rand.Rand) {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	time.Sleep(drainTime + some(random, time.Second))
	u.mu.Lock()
	u.draining = false
	u.mu.Unlock()
}

// String tells how many faults of each kind there were.
func (f *faults) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.counts)
}
