package membership_test

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/raft"
)

// slowestOpen is the longest time that reading a data folder takes.
const slowestOpen = 50 * time.Millisecond

// maxHops bounds how often a change is forwarded, as in Unary.Execute.
const maxHops = 2

// runMember does what Member.Run does: it starts the replica of the data folder, or
// prepares the folder if that is empty.
func (h *host) runMember() {
	w := h.fleet
	h.after(w.draw(0, slowestOpen), func() {
		identity, restored, err := h.openFolder()
		switch {
		case errors.Is(err, disk.ErrNoIdentity):
			h.prepareFolder()
		case err != nil:
			if !h.damaged {
				h.damaged = true
				w.tracef("%s can't open its folder: %v", h.name, err)
			}
			h.after(memberInterval, h.runMember)
		case h.stops > 0:
			h.checkFolder(restored.HardState, func() { h.startReplica(identity, restored) })
		default:
			h.startReplica(identity, restored)
		}
	})
}

// checkFolder writes the hard state once more after a replica has stopped in this process, and
// calls start if that succeeds.
func (h *host) checkFolder(hard raft.HardState, start func()) {
	h.folder.inFlight = []write{appendWrite(hard, nil)}
	h.after(h.syncDelay(0), func() {
		if h.writeFails() {
			h.folder.losePower(h.fleet.random)
			h.after(memberInterval, h.runMember)
			return
		}
		h.folder.sync()
		start()
	})
}

// startReplica starts the replica of the folder.
func (h *host) startReplica(identity disk.Identity, restored raft.Restored) {
	w := h.fleet
	h.replica = newReplica(h, identity.ReplicaID, identity.DiskID, restored)
	last := restored.Snapshot.Index + uint64(len(restored.Entries))
	w.tracef("%s starts replica %d, snapshot %d, last entry %d, term %d, members %s", h.name, identity.ReplicaID,
		restored.Snapshot.Index, last, restored.HardState.Term, w.describe(h.replica.core.Members()))
	h.gossip.SetReplica(identity.ReplicaID)
	h.replica.reconcileLinks()
	h.replica.wake()
	h.replica.maintainMembership()
}

// prepareFolder does what Member.prepareFolder does.
func (h *host) prepareFolder() {
	w := h.fleet
	h.gossip.SetReplica(0)
	step := h.gossip.Next()
	if step == membership.Wait {
		h.after(memberInterval, h.runMember)
		return
	}
	id := 1 + w.random.Uint64N(1<<20)
	identity := disk.Identity{
		ReplicaID: id,
		DiskID:    fmt.Sprintf("disk-%d", id),
	}
	if step == membership.Bootstrap {
		var members raft.Members
		members, id = h.gossip.Founding()
		identity.ReplicaID, identity.DiskID = id, fmt.Sprintf("disk-%d", id)
		identity.Members = &members
	}
	w.tracef("%s prepares its folder for replica %d, founds=%v", h.name, id, step == membership.Bootstrap)
	h.writeFolder(initWrites(identity))
}

// writeFolder makes writes durable one after the other while no replica runs, then
// goes on with runMember.
func (h *host) writeFolder(writes []write) {
	if len(writes) == 0 {
		h.after(memberInterval, h.runMember)
		return
	}
	h.folder.inFlight = writes[:1]
	h.after(h.syncDelay(0), func() {
		if h.writeFails() {
			h.folder.losePower(h.fleet.random)
			h.after(memberInterval, h.runMember)
			return
		}
		h.folder.sync()
		h.writeFolder(writes[1:])
	})
}

// maintainMembership does what Member.maintainMembership does.
func (r *replica) maintainMembership() {
	h := r.host
	if r.stopped {
		return
	}
	if len(r.status.committed.List) > 0 {
		h.gossip.SetGroup(membership.Group{
			Members:    r.status.committed,
			Index:      r.status.committedIndex,
			Leader:     r.leaderAddress(),
			LeaderTerm: r.status.term,
		})
	}
	group := h.gossip.Group()
	if h.gossip.Removed() {
		h.folder.sync()
		r.stop()
		if !h.gossip.Leave(r.core.Term()) {
			h.after(memberInterval, h.runMember)
			return
		}
		h.fleet.tracef("%s was removed as replica %d and erases its folder", h.name, r.id)
		h.writeFolder(eraseWrites())
		return
	}
	if len(group.Members.List) > 0 && !h.gossip.IsMember() {
		r.join(h.gossip.JoinTargets())
		return
	}
	h.after(memberInterval, r.maintainMembership)
}

// join does what Member.join does, then goes on with maintainMembership.
func (r *replica) join(targets []string) {
	h := r.host
	waiting, done := len(targets), false
	answer := func(joined bool) {
		waiting--
		if !done && (joined || waiting == 0) {
			done = true
			h.after(memberInterval, r.maintainMembership)
		}
	}
	for _, address := range targets {
		if h.reachable(address) == nil {
			h.after(h.waitOfCall(callTimeout), func() { answer(false) })
			continue
		}
		h.after(h.fleet.latency(), func() {
			joined := false
			if target := h.reachable(address); target != nil && !r.stopped {
				joined = target.answerJoin(r.id, h.address)
			}
			h.after(h.fleet.latency(), func() { answer(joined) })
		})
	}
}

// answerJoin does what Unary.Join does.
func (h *host) answerJoin(id uint64, address string) bool {
	r := h.replica
	if r == nil || r.status.role != raft.Leader {
		return false
	}
	if m, ok := r.status.members.Find(id); ok && m.Address == address {
		return true
	}
	r.do(func() {
		members := r.core.Members()
		if next, err := members.Admit(id, address); err == nil {
			// Refused while another change is under way; the replica asks again.
			_, _ = r.core.ProposeMembers(h.clock(), next)
		}
	})
	return false
}

// put sends a change to a host as an operator does. It is acknowledged when done is
// called.
func (h *host) put(version uint64, done func()) {
	r := h.replica
	if !h.up || r == nil || !h.enoughVoters() {
		return
	}
	deadline := h.fleet.now.Add(replaceTimeout)
	h.execute(version, 0, func() {
		if h.up && !h.fleet.now.After(deadline) {
			done()
		}
	})
}

// execute does what Forwarder.Execute does.
func (h *host) execute(version uint64, hops int, done func()) {
	r := h.replica
	forward := func() {
		target := h.reachable(h.leaderAddress())
		if target == nil || target == h || hops >= maxHops {
			return
		}
		h.after(h.fleet.latency(), func() {
			target.execute(version, hops+1, func() {
				if target.up {
					h.after(h.fleet.latency(), done)
				}
			})
		})
	}
	if r == nil {
		forward()
		return
	}
	r.do(func() {
		r.propose(command{
			Version: version,
		}, func(applied bool) {
			if applied {
				done()
			} else {
				forward()
			}
		})
	})
}

// enoughVoters does what ConfigurationAPI.enoughVoters does.
func (h *host) enoughVoters() bool {
	committed := h.replica.status.committed
	disks := h.gossip.DiskControllers(h.clock())
	if disks > 0 && disks%2 == 0 {
		disks--
	}
	return h.replica.state.Version > 0 || committed.Voters() >= min(2*h.fleet.tolerated+1, disks)
}

// change sends the next change to a host and records its acknowledgement.
func (w *fleet) change(h *host) {
	w.version++
	version := w.version
	h.put(version, func() {
		w.acked = max(w.acked, version)
	})
}

// describe returns the members with the names of their hosts, learners in brackets.
func (w *fleet) describe(m raft.Members) string {
	var out []string
	for _, member := range m.List {
		name := member.Address
		for _, h := range w.hosts {
			if h.address == member.Address {
				name = h.name
			}
		}
		name = fmt.Sprintf("%s:%d", name, member.ID)
		if !member.Voter {
			name = "(" + name + ")"
		}
		out = append(out, name)
	}
	return "{" + strings.Join(out, " ") + "}"
}
