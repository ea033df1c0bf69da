package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Times of a loss of power and of the replacement of a host.
const (
	// The power is lost minChangeAge to maxChangeAge after a change was sent, or right after
	// its acknowledgement.
	minChangeAge = 5 * time.Millisecond
	maxChangeAge = 400 * time.Millisecond
	// The hosts come back within shortSpread or, in a few losses, longSpread.
	minDown     = 100 * time.Millisecond
	shortSpread = 3 * time.Second
	longSpread  = 10 * time.Second
	// A host counts as lost until catchUpTime after it is back.
	catchUpTime  = 4 * time.Second
	maxExtraCalm = 500 * time.Millisecond
	// An empty host with a new address starts replacementDelay after one was lost for good.
	replacementDelay = time.Second
	// All gateways must serve within servingTimeout, and all controllers answer reads and
	// accept changes within readingTimeout, of the return of the last host.
	servingTimeout = 12 * time.Second
	readingTimeout = 15 * time.Second
	readInterval   = 50 * time.Millisecond
)

// powerFaultKinds follow faultKinds in runs with the option PowerLoss. They are drawn by index.
var powerFaultKinds = []fault{
	{"power loss of all hosts", func(f *faults, ctx context.Context, random *rand.Rand) { f.losePowerRepeatedly(ctx, random) }},
	{"replace a controller", func(f *faults, _ context.Context, random *rand.Rand) {
		defer f.lockHosts()()
		if f.replaceController(random) {
			f.awaitCatchUp(random)
		}
	}},
}

// lockHosts keeps all other faults from acting on controllers and gateways until the returned
// function is called.
func (f *faults) lockHosts() (unlock func()) {
	f.calm.Lock()
	all := f.soak.processes()
	for _, p := range all {
		p.mu.Lock()
	}
	return func() {
		for _, p := range all {
			p.mu.Unlock()
		}
		f.calm.Unlock()
	}
}

// mayLoseData reports whether all earlier losses of data are made good.
func (f *faults) mayLoseData() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.calmUntil)
}

// awaitCatchUp waits until a host that is back now no longer counts as lost.
func (f *faults) awaitCatchUp(random *rand.Rand) {
	time.Sleep(catchUpTime + randomDuration(random, maxExtraCalm))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calmUntil = time.Now()
}

// replaceController ends a controller with a disk for good and starts an empty one at a new
// address, unless an earlier loss of data is not made good yet. The hosts must be locked.
func (f *faults) replaceController(random *rand.Rand) bool {
	if !f.mayLoseData() {
		return false
	}
	withDisk := f.soak.fleet.withDisk()
	i := random.IntN(len(withDisk))
	p := withDisk[i]
	p.kill()
	f.soak.logFault("%s is lost for good", p.name)
	if err := f.moveController(i, random); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
		return false
	}
	f.drawSeeds(random, true)
	time.Sleep(replacementDelay)
	f.startProcess(p)
	f.soak.logFault("%s is replaced at %s", p.name, p.listenAddress())
	return true
}

// moveController gives a controller that does not run an empty folder and a new address. Dials
// of the old address are refused or, in half the cases, not answered.
func (f *faults) moveController(i int, random *rand.Rand) error {
	const firstReplacement = 100
	p, relay := f.soak.fleet.controllers[i], f.soak.fleet.relays[i]
	if err := wipeFolder(p.folder, random); err != nil {
		return err
	}
	old := relay.Address()
	f.replaced++
	host := f.soak.address(groupController, firstReplacement+f.replaced)
	if err := relay.Move(fmt.Sprintf("%s:%d", host, peerPort)); err != nil {
		return err
	}
	operator := fmt.Sprintf("%s:%d", host, operatorPort)
	p.settings["address"] = host
	p.settings["operator_listen"] = operator
	p.listenMu.Lock()
	p.listen = operator
	p.listenMu.Unlock()
	if random.IntN(2) == 0 {
		return nil
	}
	gone, err := NewRelay(old, relay.target)
	if err != nil {
		return err
	}
	gone.PowerOff()
	f.soak.fleet.gone = append(f.soak.fleet.gone, gone)
	return nil
}

// drawSeeds gives all processes the same seeds, up to three present controllers. If signal is
// true, the processes that run read them.
func (f *faults) drawSeeds(random *rand.Rand, signal bool) {
	controllers := f.soak.fleet.controllers
	var seeds []string
	for _, i := range random.Perm(len(controllers))[:min(3, len(controllers))] {
		seeds = append(seeds, controllers[i].listenAddress())
	}
	for _, p := range f.soak.processes() {
		p.settings["seeds"] = seeds
		if err := p.writeSettings(); err != nil {
			f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
		}
		if signal && !p.stopping && time.Since(p.started) > programStart {
			p.signal(syscall.SIGHUP)
		}
	}
	f.soak.logFault("seeds %v", seeds)
}

// losePowerRepeatedly has all hosts lose power once or twice, with or without a lost disk, in
// some cases amid the replacement of a host.
func (f *faults) losePowerRepeatedly(ctx context.Context, random *rand.Rand) {
	defer f.lockHosts()()
	losses := 1 + random.IntN(3)/2
	for n := range losses {
		if random.IntN(4) == 0 && f.replaceController(random) {
			f.mu.Lock()
			f.calmUntil = time.Now().Add(catchUpTime)
			f.mu.Unlock()
			time.Sleep(randomDuration(random, catchUpTime))
		}
		f.losePower(ctx, random)
		back := time.Now()
		if n == losses-1 {
			f.awaitReads(ctx, back)
		}
		time.Sleep(time.Until(back.Add(catchUpTime + randomDuration(random, maxExtraCalm))))
		f.mu.Lock()
		f.calmUntil = time.Now()
		f.mu.Unlock()
	}
}

// losePower sends a change, kills all processes at once shortly afterwards, empties the folder
// of at most one controller and starts the processes again. It returns when all have been
// started. The hosts must be locked.
func (f *faults) losePower(ctx context.Context, random *rand.Rand) {
	fleet := &f.soak.fleet
	retry := random.IntN(2) == 0
	afterAnswer := random.IntN(3) == 0
	age := minChangeAge + randomDuration(random, maxChangeAge-minChangeAge)
	changing, giveUp := context.WithTimeout(ctx, readingTimeout)
	answered := make(chan struct{})
	changes := rand.New(rand.NewPCG(random.Uint64(), 1))
	go func() {
		f.soak.operator.changeConfiguration(changing, changes)
		close(answered)
		giveUp()
	}()
	timer := time.After(age)
	if afterAnswer {
		timer = time.After(servingTimeout)
	}
	select {
	case <-timer:
	case <-answered:
		if !afterAnswer {
			<-timer
		}
	}
	silent := random.IntN(2) == 0
	ends := f.killAll(silent)
	if !retry {
		giveUp()
	}
	f.soak.logFault("all hosts are without power; connections hang %t", silent)
	victim := -1
	if f.mayLoseData() {
		victim = f.loseDisk(random)
	} else {
		f.soak.logFault("no disk is lost, since an earlier loss is not made good")
	}
	for i, p := range fleet.withDisk() {
		if i != victim && random.IntN(2) == 0 {
			// The log is absent if the controller had just been emptied.
			_ = appendTornRecord(p.folder, random)
		}
	}
	if random.IntN(4) == 0 {
		f.drawSeeds(random, false)
	}
	f.startHosts(random, victim, ends)
}

// killAll kills all processes at the same moment. If silent is true, the connections to
// controllers hang until PowerOn. It returns the functions that end the fault for each gateway.
func (f *faults) killAll(silent bool) []func() {
	if silent {
		for _, r := range f.soak.fleet.relays {
			r.PowerOff()
		}
	}
	var ends []func()
	for _, p := range f.soak.fleet.gateways {
		ends = append(ends, p.faultTimes.begin())
	}
	for _, p := range f.soak.processes() {
		p.stopping = true
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.soak.processes() {
		<-p.done
	}
	return ends
}

// startHosts starts the processes of all hosts in random order; that of the victim, unless it
// is -1, comes first or last in some cases. A host has a controller and the gateway of the same
// index.
func (f *faults) startHosts(random *rand.Rand, victim int, ends []func()) {
	fleet := &f.soak.fleet
	hosts := max(len(fleet.controllers), len(fleet.gateways))
	spread := randomDuration(random, shortSpread) + 1
	if random.IntN(5) == 0 {
		spread = randomDuration(random, longSpread) + 1
	}
	delays := make([]time.Duration, hosts)
	for i := range delays {
		delays[i] = minDown + randomDuration(random, spread)
	}
	if victim >= 0 {
		switch random.IntN(4) {
		case 0:
			delays[victim] = 0
		case 1:
			delays[victim] = minDown + spread
		}
	}
	f.soak.logFault("hosts start after %v", delays)
	var group sync.WaitGroup
	for i, delay := range delays {
		group.Go(func() {
			time.Sleep(delay)
			if i < len(fleet.controllers) {
				fleet.relays[i].PowerOn()
				f.startProcess(fleet.controllers[i])
			}
			if i < len(fleet.gateways) {
				f.startProcess(fleet.gateways[i])
				ends[i]()
			}
		})
	}
	group.Wait()
	f.soak.logFault("all hosts are back after %s", slices.Max(delays))
}

// awaitReads waits until every controller has answered a read, at most readingTimeout from the
// return of all hosts.
func (f *faults) awaitReads(ctx context.Context, back time.Time) {
	reading, cancel := context.WithDeadline(ctx, back.Add(readingTimeout))
	defer cancel()
	var group sync.WaitGroup
	for _, p := range f.soak.fleet.controllers {
		group.Go(func() {
			for cause := ""; ; time.Sleep(readInterval) {
				ok, last := f.soak.operator.readConfiguration(reading, p)
				if ok {
					f.recordRecovery("read", time.Since(back))
					return
				}
				if reading.Err() != nil {
					if ctx.Err() == nil {
						f.soak.ledger.RecordViolation("recovery", "%s answered no read within %s of a loss of power; the last answer was %s", p.name, readingTimeout, cause)
					}
					return
				}
				cause = last
			}
		})
	}
	group.Wait()
}

// recordRecovery records a time from the return of all hosts until one of them answered.
func (f *faults) recordRecovery(what string, took time.Duration) {
	f.soak.logFault("%s after %s", what, took)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recovery[what] = max(f.recovery[what], took.Round(time.Millisecond))
}
