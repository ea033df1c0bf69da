package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Times of faults that no process ends by.
const (
	minFull    = 2 * time.Second
	maxFull    = 4 * time.Second
	minFullGap = 200 * time.Millisecond
	maxFullGap = 5 * time.Second
	// In half the cases the last disk has room again at most maxRoomAge before the final
	// loss of power; in the others it is still full.
	maxRoomAge = 500 * time.Millisecond
	// hangupGap is the longest time between two hangup signals of a series.
	hangupGap = 400 * time.Millisecond
	// All controllers must answer reads and accept a change within survivedTimeout of the
	// end of the last fault. It is the time in which the platform expects a recovery.
	survivedTimeout = 12 * time.Second
	// fullChangePause is the pause between two changes while disks are filled.
	fullChangePause = 100 * time.Millisecond
	// maxRoomBytes is the room for appends that some full disks have left, so that a record
	// is written in part.
	maxRoomBytes = 300
)

// survivableFaultKinds follow the other kinds in runs with the option SurvivableFaults. They
// are drawn by index.
var survivableFaultKinds = []fault{
	{
		name: "full disks, one after another",
		inject: func(f *faults, ctx context.Context, random *rand.Rand) {
			defer f.lockHosts()()
			f.awaitNoLostData()
			f.fillDisksInTurn(ctx, random)
			f.checkSurvived(ctx, random)
		},
	},
	{
		name: "series of hangup signals",
		inject: func(f *faults, ctx context.Context, random *rand.Rand) {
			defer f.lockHosts()()
			for range 3 + random.IntN(4) {
				f.drawSeeds(random, true)
				time.Sleep(randomDuration(random, hangupGap))
			}
			f.checkSurvived(ctx, random)
		},
	},
}

// awaitNoLostData waits until all earlier losses of data are made good.
func (f *faults) awaitNoLostData() {
	f.mu.Lock()
	calm := f.calmUntil
	f.mu.Unlock()
	time.Sleep(time.Until(calm))
}

// fillDisksInTurn fills the disk of each controller for some seconds, one at a time and that
// of the leader first, while changes are sent. The hosts must be locked.
func (f *faults) fillDisksInTurn(ctx context.Context, random *rand.Rand) {
	withDisk := f.soak.fleet.withDisk()
	first := f.findLeader(random)
	stopChanges := f.sendChanges(ctx, random)
	defer stopChanges()
	for n := range withDisk {
		if n > 0 {
			time.Sleep(minFullGap + randomDuration(random, maxFullGap-minFullGap))
		}
		p := withDisk[(first+n)%len(withDisk)]
		f.fillDisk(p, random)
		time.Sleep(minFull + randomDuration(random, maxFull-minFull))
		f.makeRoom(p)
	}
}

// fillDisksBeforeLoss fills the disk of each controller in turn and checks that all survive,
// then fills that of one until shortly before a loss of power, or beyond it. The hosts must be
// locked.
func (f *faults) fillDisksBeforeLoss(ctx context.Context, random *rand.Rand) {
	f.fillDisksInTurn(ctx, random)
	f.checkSurvived(ctx, random)
	time.Sleep(minFullGap + randomDuration(random, maxFullGap-minFullGap))
	withDisk := f.soak.fleet.withDisk()
	p := withDisk[random.IntN(len(withDisk))]
	f.fillDisk(p, random)
	time.Sleep(minFull + randomDuration(random, maxFull-minFull))
	if random.IntN(2) == 0 {
		f.makeRoom(p)
		time.Sleep(randomDuration(random, maxRoomAge))
	}
}

// sendChanges sends changes until the returned function is called.
func (f *faults) sendChanges(ctx context.Context, random *rand.Rand) (stop func()) {
	changing, cancel := context.WithCancel(ctx)
	changes := rand.New(rand.NewPCG(random.Uint64(), 1))
	var group sync.WaitGroup
	group.Go(func() {
		for changing.Err() == nil {
			f.soak.operator.changeConfiguration(changing, changes)
			time.Sleep(fullChangePause)
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

// fillDisk has all writes of a process to files fail from now on, as on a full disk; truncating
// and removing files still work. In half the cases a few bytes can still be appended to the log.
func (f *faults) fillDisk(p *process, random *rand.Rand) {
	room := uint64(0)
	if log, err := os.Stat(filepath.Join(p.folder, "log")); err == nil && random.IntN(2) == 0 {
		room = uint64(log.Size()) + random.Uint64N(maxRoomBytes)
	}
	f.soak.logFault("the disk of %s is full, files have up to %d bytes", p.name, room)
	f.limitFileSize(p, room)
}

// makeRoom ends a fillDisk.
func (f *faults) makeRoom(p *process) {
	f.soak.logFault("the disk of %s has room again", p.name)
	f.limitFileSize(p, unix.RLIM_INFINITY)
}

// limitFileSize sets the file size limit of a running process, up to the one that it was
// started with. The limit also acts on files that are open.
func (f *faults) limitFileSize(p *process, bytes uint64) {
	var limit unix.Rlimit
	pid := p.command.Process.Pid
	err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit)
	if err == nil {
		limit.Cur = min(bytes, limit.Max)
		err = unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
	}
	if err != nil {
		f.soak.ledger.RecordViolation("fault", "file size limit of %s: %v", p.name, err)
	}
}

// findLeader returns the index of the controller that leads, or of any if none is found.
func (f *faults) findLeader(random *rand.Rand) int {
	withDisk := f.soak.fleet.withDisk()
	drawn := random.IntN(len(withDisk))
	replicas := make([]replicaOnDisk, len(withDisk))
	for i, p := range withDisk {
		var err error
		if replicas[i], err = readRunningReplica(p.folder); err != nil {
			f.soak.logFault("%s: %v", p.name, err) // its files may change while they are copied
		}
	}
	if leader := leaderOf(replicas); leader >= 0 {
		return leader
	}
	return drawn
}

// readRunningReplica is readReplica for a controller that runs. It reads a copy, since the
// controller has locked the folder.
func readRunningReplica(folder string) (replicaOnDisk, error) {
	copied := folder + ".copy"
	if err := os.RemoveAll(copied); err != nil {
		return replicaOnDisk{}, err
	}
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		return replicaOnDisk{}, err
	}
	return readReplica(copied)
}

// checkSurvived checks that no process has ended since the hosts were locked, and that all
// of them answer reads, those with a disk from a replica of their own, and accept a change
// within survivedTimeout. The hosts must be locked.
func (f *faults) checkSurvived(ctx context.Context, random *rand.Rand) {
	over := time.Now()
	checking, cancel := context.WithDeadline(ctx, over.Add(survivedTimeout))
	defer cancel()
	var group sync.WaitGroup
	for _, p := range f.soak.fleet.controllers {
		group.Go(func() {
			for !f.answersRead(checking, p) {
				if checking.Err() != nil {
					f.recordNotSurvived(ctx, "%s answers no read", p.name)
					return
				}
				time.Sleep(readInterval)
			}
			f.recordRecovery("read after "+survivedName, time.Since(over))
		})
	}
	changes := rand.New(rand.NewPCG(random.Uint64(), 1))
	group.Go(func() {
		f.soak.operator.changeConfiguration(checking, changes)
		if checking.Err() != nil {
			f.recordNotSurvived(ctx, "no change is accepted")
			return
		}
		f.recordRecovery("change after "+survivedName, time.Since(over))
	})
	group.Wait()
	for _, p := range f.soak.processes() {
		if p.exitedUnexpectedly() {
			f.soak.ledger.RecordViolation("recovery", "%s ended in a fault that it should survive", p.name)
		}
	}
}

// survivedName names the faults of survivableFaultKinds in reports.
const survivedName = "faults that processes survive"

// recordNotSurvived records that something failed throughout survivedTimeout, unless the run
// has ended.
func (f *faults) recordNotSurvived(ctx context.Context, format string, args ...any) {
	if ctx.Err() == nil {
		f.soak.ledger.RecordViolation("recovery", format+" within %s after %s", append(args, survivedTimeout, survivedName)...)
	}
}

// answersRead reports whether a controller answers a read with a configuration that is not too
// old. One with a disk must answer itself; the others redirect.
func (f *faults) answersRead(ctx context.Context, p *process) bool {
	if ok, _ := f.soak.operator.readConfiguration(ctx, p); !ok || p.folder == "" {
		return ok
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listenAddress()+"/v1/configuration", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultTransport.RoundTrip(request) // follows no redirect
	if err != nil {
		return false // asked again until the deadline
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
