package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/controller/internal/forward"
	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// Timings of the tests' controllers, which are those of `controller serve`.
const (
	testElectionTimeout = 500 * time.Millisecond
	testStartTimeout    = 150 * time.Millisecond
	testHeartbeat       = 100 * time.Millisecond
	testReplaceAfter    = 2500 * time.Millisecond
	testLinkHeartbeat   = 300 * time.Millisecond
	testDialTimeout     = 400 * time.Millisecond
	testMaxBackoff      = 300 * time.Millisecond
)

// Bounds of the tests.
const (
	// changeBound is within what a change must be accepted while one disk fails.
	changeBound = 4 * time.Second
	// catchUpBound is within what the voter of a disk that works again must serve reads.
	catchUpBound = 4 * time.Second
	// recoveryBound is within what a change must be accepted after the last fault.
	recoveryBound = 12 * time.Second
	// changeTimeout bounds one attempt to have a change accepted.
	changeTimeout = 900 * time.Millisecond
)

// faultyDisk is the disk of a host. Its writes can be made to fail or to take longer.
type faultyDisk struct {
	mu     sync.Mutex
	fault  diskFault
	writes int // that failed
	// slow are the writes for which the machine's own disk took longer than slowOwnWrite.
	slow []string
}

// slowOwnWrite is how long a write to the machine's disk may take without being logged when a test
// fails. Bounds of the tests hold for disks that are faster.
const slowOwnWrite = 50 * time.Millisecond

// diskFault is a fault of one disk, during which the process lives on. The zero value is
// none.
type diskFault struct {
	err        error         // of every write; nil if writes succeed
	delay      time.Duration // of every write
	refuseOpen bool          // opening the data folder fails with err, too
	written    bool          // writes that fail take place all the same
}

// setFault replaces the fault.
func (d *faultyDisk) setFault(fault diskFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.writes = fault, 0
}

// failed returns the number of writes that have failed since setFault.
func (d *faultyDisk) failed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writes
}

// write carries out a write, unless the fault keeps it from taking place.
func (d *faultyDisk) write(carryOut func() error) error {
	d.mu.Lock()
	fault := d.fault
	if fault.err != nil {
		d.writes++
	}
	d.mu.Unlock()
	time.Sleep(fault.delay)
	if fault.err != nil && !fault.written {
		return fault.err
	}
	started := time.Now()
	err := carryOut()
	if took := time.Since(started); took > slowOwnWrite {
		d.mu.Lock()
		d.slow = append(d.slow, fmt.Sprintf("%s: %s", started.Format(time.TimeOnly), took))
		d.mu.Unlock()
	}
	return cmp.Or(err, fault.err)
}

// slowWrites returns the begin and time of the writes that were slow without a fault.
func (d *faultyDisk) slowWrites() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slow
}

// open returns the error of opening the data folder.
func (d *faultyDisk) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault.refuseOpen {
		return d.fault.err
	}
	return nil
}

// faultyStore is a data folder on a faultyDisk.
type faultyStore struct {
	Store
	disk *faultyDisk
}

func (s *faultyStore) Append(hard *raft.HardState, entries []raft.Entry) error {
	return s.disk.write(func() error { return s.Store.Append(hard, entries) })
}

func (s *faultyStore) Rewrite(restored raft.Restored) error {
	return s.disk.write(func() error { return s.Store.Rewrite(restored) })
}

func (s *faultyStore) SaveSnapshot(snapshot raft.Snapshot, hard raft.HardState, after []raft.Entry) error {
	return s.disk.write(func() error { return s.Store.SaveSnapshot(snapshot, hard, after) })
}

// testHost is a host with a controller that runs in the test's process.
type testHost struct {
	address string
	folder  string
	disk    *faultyDisk
	// snapshotEvery is the number of entries after which the log is compacted; zero means the
	// default.
	snapshotEvery uint64
	peers         *Peers
	member        *Member
	forward       *forward.Forwarder
	stop          func() // ends the controller, as the end of its process does
}

// testFleet is three controllers with a disk on loopback.
type testFleet struct {
	t       *testing.T
	hosts   []*testHost
	changes uint64
}

// startFleet starts the controllers for the first time and waits until all of them vote.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t,
	}
	var listeners []net.Listener
	var seeds []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		seeds = append(seeds, listener.Addr().String())
	}
	root := t.TempDir()
	for i, listener := range listeners {
		h := &testHost{
			address: seeds[i],
			folder:  filepath.Join(root, seeds[i]),
			disk:    &faultyDisk{},
		}
		f.hosts = append(f.hosts, h)
		h.start(t, listener, seeds, true)
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.stop()
		}
	})
	f.eventually("three voters", recoveryBound, func() bool {
		return slices.ContainsFunc(f.hosts, func(h *testHost) bool {
			r := h.member.Replica()
			if r == nil || !r.IsLeader() {
				return false
			}
			members := r.Status().CommittedMembers
			return members.Voters() == len(f.hosts)
		})
	})
	return f
}

// start starts the controller of a host.
func (h *testHost) start(t *testing.T, listener net.Listener, seeds []string, firstStart bool) {
	t.Helper()
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Controller,
		Name: h.address,
	})
	is.NoErr(err)
	log := slog.New(slog.DiscardHandler)
	dialer := link.Dialer{
		Credential:  cred,
		Heartbeat:   testLinkHeartbeat,
		DialTimeout: testDialTimeout,
		MaxBackoff:  testMaxBackoff,
		Stats:       &link.Stats{},
	}
	h.peers = NewPeers(membership.Controller{
		Address:         h.address,
		OperatorAddress: h.address,
		HasDisk:         true,
		FirstStart:      firstStart,
	}, seeds, 1, cred, log)
	h.member = NewMember(h.folder, replica.Settings{
		Raft: raft.Settings{
			ElectionTimeout:   testElectionTimeout,
			StartTimeout:      testStartTimeout,
			HeartbeatInterval: testHeartbeat,
			ReplaceAfter:      testReplaceAfter,
			MaxVoters:         3,
		},
		SnapshotEvery: h.snapshotEvery,
	}, h.peers, dialer, log)
	h.member.open = func(folder string) (Store, raft.Restored, error) {
		if err := h.disk.open(); err != nil {
			return nil, raft.Restored{}, err
		}
		store, restored, err := disk.Open(folder)
		if err != nil {
			return nil, restored, err
		}
		return &faultyStore{
			Store: store,
			disk:  h.disk,
		}, restored, nil
	}
	h.forward = forward.New(h.member, cred)
	ctx, cancel := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathReplica, h.member.Handler())
	unary := rpc.NewControllerServer(NewUnary(h.member, h.forward, nil))
	mux.Handle(unary.PathPrefix(), unary)
	server := program.NewServer(mux)
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) }) // ends with Close
	running.Go(func() { h.peers.Run(ctx) })
	running.Go(func() { h.member.Run(ctx) })
	h.stop = sync.OnceFunc(func() {
		h.disk.setFault(diskFault{})
		cancel()
		_ = server.Close() // nothing is left to do if that fails
		running.Wait()
	})
}

// restart starts the controller of a host again after stop.
func (f *testFleet) restart(h *testHost) {
	f.t.Helper()
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		f.t.Fatal(err)
	}
	var seeds []string
	for _, other := range f.hosts {
		seeds = append(seeds, other.address)
	}
	h.start(f.t, listener, seeds, false)
}

// eventually waits until ok returns true, at most for the bound.
func (f *testFleet) eventually(what string, bound time.Duration, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for _, h := range f.hosts {
				if r := h.member.Replica(); r != nil {
					f.t.Logf("%s: %+v", h.address, r.Status())
				} else {
					f.t.Logf("%s: no replica", h.address)
				}
				f.t.Logf("%s: slow writes to the machine's disk: %s", h.address, h.disk.slowWrites())
			}
			f.t.Fatalf("%s: not within %s", what, bound)
		}
	}
}

// change has a change accepted, sent to the hosts in turn, and returns how long that took.
func (f *testFleet) change(bound time.Duration) time.Duration {
	f.t.Helper()
	f.changes++
	started := time.Now()
	next := int(f.changes)
	f.eventually("a change is accepted", bound, func() bool {
		next++
		ctx, cancel := context.WithTimeout(f.t.Context(), changeTimeout)
		defer cancel()
		result, err := f.hosts[next%len(f.hosts)].forward.Execute(ctx, state.Command{
			Replace: &state.Configuration{
				Version:  f.changes,
				Document: []byte("{}"),
			},
		}, 0)
		return err == nil && (result.Code == state.CodeOK || f.version(f.hosts[next%len(f.hosts)]) >= f.changes)
	})
	return time.Since(started)
}

// version returns the version of the configuration that a linearizable read returns at a
// host, or zero if it fails.
func (f *testFleet) version(h *testHost) uint64 {
	r := h.member.Replica()
	if r == nil || r.Barrier(f.t.Context()) != nil {
		return 0
	}
	var version uint64
	r.View(func(s *state.State) { version = s.Configuration.Version })
	return version
}

// readBack waits until every host returns the last change.
func (f *testFleet) readBack(bound time.Duration) {
	f.t.Helper()
	for _, h := range f.hosts {
		f.eventually("the last change is read at "+h.address, bound, func() bool { return f.version(h) == f.changes })
	}
}

// leader returns the index of the host that leads.
func (f *testFleet) leader() int {
	f.t.Helper()
	leader := -1
	f.eventually("a leader", recoveryBound, func() bool {
		leader = slices.IndexFunc(f.hosts, func(h *testHost) bool { return h.member.IsLeader() })
		return leader >= 0
	})
	return leader
}

// errDiskFull is the error of a write to a full disk.
var errDiskFull = error(syscall.ENOSPC)

// errDiskFault is the error of a write to a disk that fails.
var errDiskFault = errors.Join(syscall.EIO)
