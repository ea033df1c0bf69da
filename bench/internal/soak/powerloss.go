package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	{
		name:   "power loss of all hosts",
		inject: func(f *faults, ctx context.Context, random *rand.Rand) { f.losePowerRepeatedly(ctx, random) },
	},
	{
		name: "replace a controller",
		inject: func(f *faults, _ context.Context, random *rand.Rand) {
			defer f.lockHosts()()
			i := random.IntN(len(f.soak.fleet.withDisk()))
			if !f.mayLoseData() {
				return
			}
			f.soak.fleet.controllers[i].kill()
			f.replaceController(i, random)
			f.awaitCatchUp(random)
		},
	},
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

// awaitCalm waits until all earlier losses of data are made good.
func (f *faults) awaitCalm() {
	f.mu.Lock()
	calm := f.calmUntil
	f.mu.Unlock()
	time.Sleep(time.Until(calm))
}

// awaitCatchUp waits until a host that is back now no longer counts as lost.
func (f *faults) awaitCatchUp(random *rand.Rand) {
	time.Sleep(catchUpTime + randomDuration(random, maxExtraCalm))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calmUntil = time.Now()
}

// replaceController starts an empty controller at a new address in place of one that was lost
// for good. The hosts must be locked.
func (f *faults) replaceController(i int, random *rand.Rand) {
	p := f.soak.fleet.controllers[i]
	f.soak.logFault("%s is lost for good", p.name)
	if err := f.moveController(i, random); err != nil {
		f.soak.ledger.RecordViolation("start", "%s: %v", p.name, err)
		return
	}
	f.drawSeeds(random, true)
	time.Sleep(replacementDelay)
	f.soak.fleet.relays[i].PowerOn() // the loss of power may have lasted until now
	f.startProcess(p)
	f.soak.logFault("%s is replaced at %s", p.name, p.listenAddress())
}

// moveController gives a controller that does not run an empty folder and a new address. Dials
// of the old address are refused or, in half the cases, not answered.
func (f *faults) moveController(i int, random *rand.Rand) error {
	if err := wipeFolder(f.soak.fleet.controllers[i].folder, random); err != nil {
		return err
	}
	relay := f.soak.fleet.relays[i]
	old := relay.Address()
	if err := f.changeAddress(i); err != nil {
		return err
	}
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

// changeAddress gives a controller that does not run a new address.
func (f *faults) changeAddress(i int) error {
	const firstNewHost = 101
	host := f.soak.address(groupController, firstNewHost+f.moved)
	f.moved++
	if err := f.soak.fleet.relays[i].Move(fmt.Sprintf("%s:%d", host, peerPort)); err != nil {
		return err
	}
	operator := fmt.Sprintf("%s:%d", host, operatorPort)
	p := f.soak.fleet.controllers[i]
	p.settings["address"] = host
	p.settings["operator_listen"] = operator
	p.listenMu.Lock()
	defer p.listenMu.Unlock()
	p.listen = operator
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
		replaced := random.IntN(len(f.soak.fleet.withDisk()))
		if random.IntN(4) == 0 && f.mayLoseData() {
			f.soak.fleet.controllers[replaced].kill()
			f.replaceController(replaced, random)
			f.mu.Lock()
			f.calmUntil = time.Now().Add(catchUpTime)
			f.mu.Unlock()
			time.Sleep(randomDuration(random, catchUpTime))
		}
		gone := f.losePower(ctx, random)
		back := time.Now()
		if n == losses-1 || gone >= 0 {
			f.awaitReads(ctx, back, gone)
		}
		if gone >= 0 {
			f.replaceController(gone, random)
			f.startGateway(gone)
			back = time.Now()
		}
		time.Sleep(time.Until(back.Add(catchUpTime + randomDuration(random, maxExtraCalm))))
		f.mu.Lock()
		f.calmUntil = time.Now()
		f.mu.Unlock()
	}
}

// losePower sends a change, kills all processes at once shortly afterwards, damages the folders
// of controllers and starts the processes again. It returns when all have been started but those
// of a host that does not come back, whose index it returns, or -1. The hosts must be locked.
func (f *faults) losePower(ctx context.Context, random *rand.Rand) (gone int) {
	changing, giveUp := context.WithCancel(ctx)
	f.sendChange(changing, random)
	silent := random.IntN(2) == 0
	f.killAll(silent)
	f.soak.logFault("all hosts are without power; connections hang: %t", silent)
	if random.IntN(2) == 0 {
		giveUp() // the change is not sent again
	} else {
		time.AfterFunc(readingTimeout, giveUp)
	}
	drawn := f.drawOutage(random)
	for i, p := range f.soak.fleet.withDisk() {
		if i != drawn.victim && random.IntN(2) == 0 {
			// The log is absent if the controller had just been emptied.
			_ = appendTornRecord(p.folder, random)
		}
	}
	if random.IntN(4) == 0 {
		f.drawSeeds(random, false)
	}
	f.startHosts(random, drawn)
	return drawn.gone
}

// sendChange sends a change until the context ends. It returns a short time after the change
// was sent or right after the acknowledgement.
func (f *faults) sendChange(ctx context.Context, random *rand.Rand) {
	age := time.After(minChangeAge + randomDuration(random, maxChangeAge-minChangeAge))
	afterAnswer := random.IntN(3) == 0
	answered := make(chan struct{})
	changes := rand.New(rand.NewPCG(random.Uint64(), 1))
	go func() {
		f.soak.operator.changeConfiguration(ctx, changes)
		close(answered)
	}()
	if !afterAnswer {
		<-age
		return
	}
	select {
	case <-answered:
	case <-time.After(servingTimeout):
	}
}

// killAll kills all processes at the same moment. If silent is true, the connections to
// controllers hang until PowerOn.
func (f *faults) killAll(silent bool) {
	if silent {
		for _, r := range f.soak.fleet.relays {
			r.PowerOff()
		}
	}
	f.gatewayEnds = nil
	for _, p := range f.soak.fleet.gateways {
		f.gatewayEnds = append(f.gatewayEnds, p.faultTimes.begin())
	}
	for _, p := range f.soak.processes() {
		p.stopping = true
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.soak.processes() {
		<-p.done
	}
}

// startGateway starts the gateway of a host after killAll, if the host has one.
func (f *faults) startGateway(host int) {
	if host < len(f.soak.fleet.gateways) {
		f.startProcess(f.soak.fleet.gateways[host])
		f.gatewayEnds[host]()
	}
}

// startHosts starts the processes of all hosts in random order; that of the victim comes first
// or last in some cases. A host has a controller and the gateway of the same index.
func (f *faults) startHosts(random *rand.Rand, drawn outage) {
	fleet := &f.soak.fleet
	spread := randomDuration(random, shortSpread) + 1
	if random.IntN(5) == 0 {
		spread = randomDuration(random, longSpread) + 1
	}
	delays := make([]time.Duration, max(len(fleet.controllers), len(fleet.gateways)))
	for i := range delays {
		delays[i] = minDown + randomDuration(random, spread)
	}
	if drawn.victim >= 0 {
		switch random.IntN(4) {
		case 0:
			delays[drawn.victim] = 0
		case 1:
			delays[drawn.victim] = minDown + spread
		}
	}
	f.soak.logFault("hosts start after %v", delays)
	var group sync.WaitGroup
	for i, delay := range delays {
		if i == drawn.gone {
			continue
		}
		group.Go(func() {
			time.Sleep(delay)
			if i < len(fleet.controllers) {
				fleet.relays[i].PowerOn()
				f.startProcess(fleet.controllers[i])
			}
			f.startGateway(i)
		})
	}
	group.Wait()
	f.soak.logFault("all hosts are back")
}

// awaitReads waits until every controller has answered a read, at most readingTimeout from the
// return of all hosts. It leaves out the controller with the index gone.
func (f *faults) awaitReads(ctx context.Context, back time.Time, gone int) {
	reading, cancel := context.WithDeadline(ctx, back.Add(readingTimeout))
	defer cancel()
	var group sync.WaitGroup
	for i, p := range f.soak.fleet.controllers {
		if i == gone {
			continue
		}
		group.Go(func() {
			for cause := ""; ; time.Sleep(readInterval) {
				ok, last := f.soak.operator.readConfiguration(reading, p)
				if ok {
					f.recordRecovery("read", time.Since(back))
					return
				}
				if reading.Err() != nil {
					if ctx.Err() == nil {
						f.soak.ledger.RecordViolation("recovery", "%s answered no read within %s of the last fault; the last answer was %s", p.name, readingTimeout, cause)
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
