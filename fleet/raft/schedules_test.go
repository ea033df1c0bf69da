package raft

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Environment variables that select the schedules, and the default.
const (
	schedulesVariable = "BAOBABPADDLE_SCHEDULES" // number of schedules
	seedVariable      = "BAOBABPADDLE_SEED"      // run only the schedule of this seed
	defaultSchedules  = 300
)

const (
	stepTime     = 10 * time.Millisecond
	faultyPhase  = 8 * time.Second
	healthyPhase = 12 * time.Second
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// fault disables one mechanism of the protocol or its driver, to show that the
// schedules detect the resulting fault.
type fault uint8

const (
	noFault           fault = iota
	unsyncedHardState       // term and vote are not made durable
	sameIDNewDisk           // a replica with a lost disk restarts under its old identifier
	unconfirmedReads        // a leader answers reads without confirmation by a quorum
)

// node is one simulated replica with its disk.
type node struct {
	id          uint64
	core        *Core
	hard        HardState // durable
	snapshot    Snapshot
	entries     []Entry
	applied     []string // the state machine: applied commands in order
	up          bool
	pausedUntil time.Time      // the process stands still until then
	restartAt   time.Time      // a crashed replica restarts then
	reads       map[uint64]int // commands acknowledged when the read was requested, by context
}

// delivery is a message in the network and its time of arrival.
type delivery struct {
	at      time.Time
	message Message
}

// schedule is one random run of a simulated group.
type schedule struct {
	t            *testing.T
	seed         uint64
	fault        fault
	random       *rand.Rand
	now          time.Time
	nodes        map[uint64]*node
	order        []uint64
	network      []delivery
	blockedLinks map[[2]uint64]bool
	nextID       uint64
	nextCmd      int
	nextRead     uint64
	pending      map[string]uint64 // proposed commands that are not acknowledged, and their proposers
	acked        []string          // acknowledged commands, in order
	healthy      bool              // no more faults are injected
	lostDisks    []uint64          // replicas whose disks were lost, to be removed from the group
	violation    string            // the first violation, or ""
	idleClients  bool              // clients send no requests
	autoReplace  bool              // leaders replace silent voters on their own
}

// newSchedule returns a schedule with a group of three or five voters.
func newSchedule(t *testing.T, seed uint64, f fault) *schedule {
	s := &schedule{
		t:            t,
		seed:         seed,
		fault:        f,
		random:       rand.New(rand.NewPCG(seed, 7)),
		now:          epoch,
		nodes:        make(map[uint64]*node),
		blockedLinks: make(map[[2]uint64]bool),
		pending:      make(map[string]uint64),
	}
	size := 3 + 2*s.random.IntN(2)
	members := Members{}
	for i := range size {
		members.List = append(members.List, Member{
			ID:    uint64(i + 1),
			Voter: true,
		})
	}
	for _, m := range members.List {
		s.add(m.ID, Snapshot{
			Index:   1,
			Term:    1,
			Members: members,
		})
	}
	s.nextID = uint64(size + 1)
	return s
}

func (s *schedule) add(id uint64, snapshot Snapshot) {
	n := &node{
		id:       id,
		snapshot: snapshot,
	}
	s.nodes[id] = n
	s.order = append(s.order, id)
	s.start(n)
}

// start starts a replica from the state on its disk.
func (s *schedule) start(n *node) {
	settings := Settings{
		ID: n.id,
	}
	if s.autoReplace {
		settings.MaxVoters = 5
		settings.ReplaceAfter = 2 * time.Second
	}
	n.core = New(settings, Restored{
		HardState: n.hard,
		Snapshot:  n.snapshot,
		Entries:   n.entries,
	}, rand.New(rand.NewPCG(s.random.Uint64(), n.id)), s.now)
	n.applied = decodeApplied(n.snapshot.Data)
	n.reads = make(map[uint64]int)
	n.up = true
}

// encodeApplied encodes the applied commands as snapshot data, one command a
// line.
func encodeApplied(applied []string) []byte {
	var out []byte
	for _, c := range applied {
		out = append(append(out, c...), '\n')
	}
	return out
}

func decodeApplied(data []byte) []string {
	var out []string
	for len(data) > 0 {
		i := slices.Index(data, '\n')
		out = append(out, string(data[:i]))
		data = data[i+1:]
	}
	return out
}

// fail records the first violation.
func (s *schedule) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// crash stops a replica; what was not synced is lost.
func (s *schedule) crash(n *node) {
	n.up = false
	n.restartAt = s.now.Add(time.Duration(s.random.IntN(1500)) * time.Millisecond)
	for command, proposer := range s.pending {
		if proposer == n.id {
			delete(s.pending, command) // the client's request is lost with its proposer
		}
	}
}

// send delays, duplicates or drops a message at random.
func (s *schedule) send(m Message) {
	if s.blockedLinks[[2]uint64{m.From, m.To}] {
		return
	}
	if !s.healthy && s.random.IntN(100) < 5 {
		return
	}
	copies := 1
	if s.random.IntN(100) < 5 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+s.random.IntN(20)) * time.Millisecond
		if !s.healthy && s.random.IntN(100) < 5 {
			delay *= 30 // arrives late and out of order
		}
		s.network = append(s.network, delivery{
			at:      s.now.Add(delay),
			message: m,
		})
	}
}

// step advances the simulation by stepTime.
func (s *schedule) step() {
	s.now = s.now.Add(stepTime)
	due := s.network
	s.network = nil
	for _, d := range due {
		n := s.nodes[d.message.To]
		switch {
		case d.at.After(s.now) || (n != nil && s.now.Before(n.pausedUntil)):
			s.network = append(s.network, d)
		case n != nil && n.up:
			n.core.Step(s.now, d.message)
			s.processOutput(n)
		}
	}
	for _, id := range slices.Clone(s.order) {
		n := s.nodes[id]
		if !n.up && s.now.After(n.restartAt) {
			s.start(n)
		}
		if n.up && !s.now.Before(n.pausedUntil) {
			n.core.Tick(s.now)
			s.processOutput(n)
		}
	}
	if s.random.IntN(3) == 0 && !s.idleClients {
		s.client()
	}
	s.checkPrefixes()
}

// run executes the schedule, a phase with faults and a phase without, and
// returns the first violation, or "".
func (s *schedule) run() string {
	for s.now.Before(epoch.Add(faultyPhase)) && s.violation == "" {
		if s.random.IntN(40) == 0 {
			s.nemesis()
		}
		if s.random.IntN(20) == 0 {
			s.operator()
		}
		s.step()
	}
	s.healthy = true
	clear(s.blockedLinks)
	for _, id := range s.order {
		s.nodes[id].pausedUntil = time.Time{}
	}
	for s.now.Before(epoch.Add(faultyPhase+healthyPhase)) && s.violation == "" {
		if s.random.IntN(20) == 0 {
			s.operator()
		}
		s.step()
	}
	s.checkFinalState()
	return s.violation
}

func scheduleCount() int {
	if n, err := strconv.Atoi(os.Getenv(schedulesVariable)); err == nil {
		return n
	}
	return defaultSchedules
}

// TestSchedules runs random schedules of message loss, delay, reordering and
// duplication, crashes that lose unsynced writes, lost disks whose replicas are
// replaced, partitions and pauses.
func TestSchedules(t *testing.T) {
	if seed, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		if violation := newSchedule(t, seed, noFault).run(); violation != "" {
			t.Fatal(violation)
		}
		return
	}
	acked, lost := 0, 0
	for seed := range uint64(scheduleCount()) {
		s := newSchedule(t, seed+1, noFault)
		if violation := s.run(); violation != "" {
			t.Errorf("seed %d: %s\nreplay: %s=%d go test -run TestSchedules ./fleet/raft", s.seed, violation, seedVariable, s.seed)
		}
		acked += len(s.acked)
		lost += int(s.nextID) - len(s.order) - 1
	}
	t.Logf("schedules=%d acknowledged=%d disks_lost=%d", scheduleCount(), acked, lost)
}

// TestSchedulesFindFaults disables one mechanism at a time and checks that some
// schedule detects the violation that the mechanism prevents.
func TestSchedulesFindFaults(t *testing.T) {
	for name, f := range map[string]fault{
		"term and vote not synced":           unsyncedHardState,
		"lost disk under its old identifier": sameIDNewDisk,
		"reads not confirmed":                unconfirmedReads,
	} {
		t.Run(name, func(t *testing.T) {
			const most = 3000
			for seed := range uint64(most) {
				if violation := newSchedule(t, seed+1, f).run(); violation != "" {
					t.Logf("seed %d: %s", seed+1, violation)
					return
				}
			}
			t.Errorf("no violation found in %d schedules", most)
		})
	}
}
