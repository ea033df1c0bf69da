package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/raft"
)

// Timings of the controllers, as in controller/serve_settings.go and
// controller/internal/peer and replica.
const (
	electionTimeout   = 500 * time.Millisecond
	startTimeout      = 150 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	replaceAfter      = 2500 * time.Millisecond
	maxVoters         = 7
	memberInterval    = 200 * time.Millisecond
	callTimeout       = 800 * time.Millisecond
	replaceTimeout    = 900 * time.Millisecond
	readTimeout       = 2 * time.Second
	peerCheckInterval = time.Second
	dialTimeout       = 400 * time.Millisecond
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 300 * time.Millisecond
	linkTimeout       = 900 * time.Millisecond // of a link on which nothing arrives
)

var powerEpoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// event is a call at a point of virtual time.
type event struct {
	at       time.Time
	sequence int
	call     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// fleet is one random run of simulated controllers with their disks.
type fleet struct {
	seed     uint64
	random   *rand.Rand
	scratch  string
	now      time.Time
	queue    eventQueue
	sequence int
	hosts    []*host

	tolerated     int           // hosts that may be lost at once
	snapshotEvery uint64        // applied entries after which a log is compacted
	syncTime      time.Duration // longest time of one sync
	transferTime  time.Duration // of a snapshot from one replica to another
	hangs         bool          // calls of a host that is down time out instead of being refused
	leavesInbound bool          // links that others have opened to a replica outlive it in its process

	seeds     []string
	version   uint64 // of the last change sent
	acked     uint64 // highest version acknowledged
	trace     []string
	violation string
}

// newFleet returns an empty fleet whose random choices follow from the seed.
func newFleet(seed uint64, scratch string) *fleet {
	random := rand.New(rand.NewPCG(seed, 33))
	return &fleet{
		seed:          seed,
		random:        random,
		scratch:       scratch,
		now:           powerEpoch,
		tolerated:     1,
		snapshotEvery: 4096,
		syncTime:      time.Duration(1+random.IntN(20)) * time.Millisecond,
		hangs:         random.IntN(2) == 0,
	}
}

// after has f called after a span of virtual time.
func (w *fleet) after(span time.Duration, f func()) {
	w.sequence++
	heap.Push(&w.queue, event{
		at:       w.now.Add(span),
		sequence: w.sequence,
		call:     f,
	})
}

// runUntil advances the time until done reports true, which it returns, or the span
// has passed. A nil done means the whole span.
func (w *fleet) runUntil(span time.Duration, done func() bool) bool {
	end := w.now.Add(span)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		if done != nil && done() {
			return true
		}
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.call()
	}
	w.now = end
	return done != nil && done()
}

func (w *fleet) run(span time.Duration) { w.runUntil(span, nil) }

// tracef records a line of the run's trace.
func (w *fleet) tracef(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", w.now.Sub(powerEpoch).Seconds()) + fmt.Sprintf(format, args...)
	w.trace = append(w.trace, line)
}

// failf records the first violation.
func (w *fleet) failf(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
		w.tracef("VIOLATION %s", w.violation)
	}
}

// draw returns a random span from low to high.
func (w *fleet) draw(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// latency returns the time that a message takes.
func (w *fleet) latency() time.Duration { return w.draw(200*time.Microsecond, 3*time.Millisecond) }

// host is one host with a controller.
type host struct {
	fleet      *fleet
	name       string
	address    string
	hasDisk    bool
	firstStart bool
	up         bool
	cut        bool // no message reaches or leaves it
	startedAt  time.Time
	lost       bool  // its disk counts as lost
	gone       bool  // it never starts again
	successor  *host // takes the place of a host that is gone

	incarnation int
	gossip      *membership.Core
	calling     map[string]bool
	folder      *folder
	replica     *replica
	damaged     bool
	stops       int // replicas that have stopped since the start
	faults      survivable
	measurement int     // the number of the last measurement of powerRun.measureServing
	outlived    []*link // links to replicas that have stopped, with fleet.leavesInbound
}

// addHost adds a host that is not started yet.
func (w *fleet) addHost(name string, number int, hasDisk bool) *host {
	h := &host{
		fleet:      w,
		name:       name,
		address:    fmt.Sprintf("10.0.0.%d:7400", number),
		hasDisk:    hasDisk,
		firstStart: true,
		folder:     newFolder(),
	}
	w.hosts = append(w.hosts, h)
	return h
}

// after has f called after a span unless the host has stopped by then.
func (h *host) after(span time.Duration, f func()) {
	incarnation := h.incarnation
	h.fleet.after(span, func() {
		if h.incarnation == incarnation {
			f()
		}
	})
}

// start starts the host's controller.
func (h *host) start() {
	w := h.fleet
	h.up = true
	h.startedAt = w.now
	h.damaged = false
	h.stops = 0
	h.faults = survivable{}
	h.calling = make(map[string]bool)
	h.gossip = membership.New(membership.Controller{
		Address:         h.address,
		OperatorAddress: h.address,
		HasDisk:         h.hasDisk,
		FirstStart:      h.firstStart,
	}, w.seeds, 2*w.tolerated+1, w.random, h.clock())
	w.tracef("%s starts at %s", h.name, h.address)
	h.gossipRound()
	if h.hasDisk {
		h.runMember()
	}
}

// stop stops the host at once, as a power loss does.
func (h *host) stop() {
	if !h.up {
		return
	}
	h.up = false
	h.incarnation++
	if h.replica != nil {
		h.replica.stop()
	}
	h.closeOutlived()
	h.folder.losePower(h.fleet.random)
}

// wipe empties the disk of a host that is stopped.
func (h *host) wipe() {
	h.fleet.tracef("%s loses its disk", h.name)
	h.folder = newFolder()
	h.lost = true
}

// reachable returns the host that has the address, or nil if it is down or cut off from
// h.
func (h *host) reachable(address string) *host {
	for _, other := range h.fleet.hosts {
		if other.address == address && other.up && (other == h || (!other.cut && !h.cut)) {
			return other
		}
	}
	return nil
}

// waitOfCall returns how long a call of a host that isn't reached takes to fail.
func (h *host) waitOfCall(timeout time.Duration) time.Duration {
	if h.cut || h.fleet.hangs {
		return timeout
	}
	return time.Millisecond
}

// gossipRound does what Peers.Run does.
func (h *host) gossipRound() {
	for _, address := range h.gossip.GossipTargets(h.clock()) {
		if !h.calling[address] {
			h.calling[address] = true
			h.exchangeGossip(address)
		}
	}
	h.after(h.gossip.Deadline().Sub(h.clock()), h.gossipRound)
}

// exchangeGossip does what Peers.exchangeGossip and Unary.Hello do: the group is taken from
// replies only.
func (h *host) exchangeGossip(address string) {
	failed := func() { delete(h.calling, address) }
	if h.reachable(address) == nil {
		h.after(h.waitOfCall(callTimeout), failed)
		return
	}
	request := h.gossip.Gossip()
	request.Group = membership.Group{}
	incarnation := h.incarnation
	h.fleet.after(h.fleet.latency(), func() {
		other := h.reachable(address)
		if other == nil || h.incarnation != incarnation {
			h.after(callTimeout, failed)
			return
		}
		other.gossip.Merge(other.clock(), request)
		reply := other.gossip.Gossip()
		h.after(h.fleet.latency(), func() {
			failed()
			h.gossip.Merge(h.clock(), reply)
		})
	})
}

// leaderAddress returns what Member.LeaderAddress returns.
func (h *host) leaderAddress() string {
	if h.replica != nil {
		if address := h.replica.leaderAddress(); address != "" {
			return address
		}
	}
	return h.gossip.Group().Leader
}

// leader returns the replica that leads in the highest term, or nil.
func (w *fleet) leader() *replica {
	var leader *replica
	for _, h := range w.hosts {
		if r := h.replica; r != nil && r.core.Role() == raft.Leader && (leader == nil || r.core.Term() > leader.core.Term()) {
			leader = r
		}
	}
	return leader
}
