package membership_test

import (
	"slices"
	"time"

	"baobabpaddle/fleet/raft"
)

// link is a connection that one replica has opened to another.
type link struct {
	from, to  *replica
	dial      *dial
	openedAt  time.Time
	closed    bool
	waiting   []raft.Message
	lastAt    map[*replica]time.Time // arrival of the last message at each end
	cutNumber int
}

// dial maintains a link to a member, as link.Maintain does.
type dial struct {
	replica   *replica
	member    raft.Member
	backoff   time.Duration
	cancelled bool
}

// reconcileLinks does what network.start does, each peerCheckInterval.
func (r *replica) reconcileLinks() {
	if r.stopped {
		return
	}
	for _, m := range r.status.members.List {
		if m.ID == r.id || r.dials[m.ID] != nil {
			continue
		}
		d := &dial{
			replica: r,
			member:  m,
			backoff: minBackoff,
		}
		r.dials[m.ID] = d
		d.attempt()
	}
	for id, d := range r.dials {
		if _, ok := r.status.members.Find(id); !ok {
			d.cancelled = true
			delete(r.dials, id)
			if l := r.outbound[id]; l != nil {
				l.close()
			}
		}
	}
	r.bindPeerDisks()
	r.host.fleet.after(peerCheckInterval, r.reconcileLinks)
}

// bindPeerDisks does what network.bindPeerDisks does.
func (r *replica) bindPeerDisks() {
	var unbound []uint64
	for id := range r.peerDisks {
		if r.state.Disks[id] == "" {
			unbound = append(unbound, id)
		}
	}
	slices.Sort(unbound)
	for _, id := range unbound {
		if r.status.role == raft.Leader {
			r.do(func() { r.bind(id, r.peerDisks[id]) })
		}
	}
}

// memberAddress does what Replica.memberAddress does.
func (r *replica) memberAddress(id uint64) string {
	m, ok := r.status.members.Find(id)
	if address := r.host.gossip.ReplicaAddress(id); ok && address != "" {
		return address
	}
	return m.Address
}

// attempt dials the member's address once and again after a pause.
func (d *dial) attempt() {
	r := d.replica
	w := r.host.fleet
	if r.stopped || d.cancelled {
		return
	}
	target := r.host.reachable(r.memberAddress(d.member.ID))
	if target == nil {
		w.after(r.host.waitOfCall(dialTimeout), d.retry)
		return
	}
	w.after(2*w.latency(), func() {
		target := r.host.reachable(r.memberAddress(d.member.ID))
		if r.stopped || d.cancelled || target == nil || target.replica == nil || target.replica.id != d.member.ID {
			d.retry()
			return
		}
		l := &link{
			from:     r,
			to:       target.replica,
			dial:     d,
			openedAt: w.now,
			lastAt:   make(map[*replica]time.Time),
		}
		r.outbound[l.to.id] = l
		l.to.inbound[r.id] = l
		r.peerDisks[l.to.id] = l.to.diskID
		l.to.peerDisks[r.id] = r.diskID
	})
}

// retry dials again after the backoff.
func (d *dial) retry() {
	d.replica.host.fleet.after(d.backoff, d.attempt)
	d.backoff = min(2*d.backoff, maxBackoff)
}

// close closes the link; the replica that opened it dials again.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	if l.from.outbound[l.to.id] == l {
		delete(l.from.outbound, l.to.id)
	}
	if l.to.inbound[l.from.id] == l {
		delete(l.to.inbound, l.from.id)
	}
	if l.dial.replica.host.fleet.now.Sub(l.openedAt) > maxBackoff {
		l.dial.backoff = minBackoff
	}
	l.dial.retry()
}

func sortedKeys(links map[uint64]*link) []uint64 {
	var out []uint64
	for id := range links {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// send does what network.send does.
func (r *replica) send(m raft.Message) {
	l := r.outbound[m.To]
	if l == nil {
		l = r.inbound[m.To]
	}
	if l == nil || l.closed {
		return
	}
	l.pass(m)
}

// pass delivers a message in order, or keeps it while one of the hosts is cut off. A
// link that is cut off for linkTimeout is closed.
func (l *link) pass(m raft.Message) {
	w := l.from.host.fleet
	if l.from.host.cut || l.to.host.cut {
		if len(l.waiting) == 0 {
			number := l.cutNumber
			w.after(linkTimeout, func() {
				if l.cutNumber == number {
					l.close()
				}
			})
		}
		l.waiting = append(l.waiting, m)
		return
	}
	if waiting := l.waiting; len(waiting) > 0 {
		l.waiting = nil
		l.cutNumber++
		for _, kept := range waiting {
			l.pass(kept)
		}
	}
	receiver := l.to
	if m.To == l.from.id {
		receiver = l.from
	}
	at := w.now.Add(w.latency())
	if m.Type == raft.MsgSnapshot {
		at = at.Add(w.transferTime)
	}
	if last := l.lastAt[receiver]; at.Before(last) {
		at = last
	}
	l.lastAt[receiver] = at
	w.after(at.Sub(w.now), func() {
		if !l.closed && !receiver.stopped {
			receiver.inbox = append(receiver.inbox, m)
			receiver.wake()
		}
	})
}
