package membership_test

import (
	"bytes"
	"errors"
	"time"

	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/raft"
)

// survivable holds the faults of a host that its process survives. The zero value has none.
type survivable struct {
	full         bool          // every write fails
	failing      int           // how many of the next syncs fail
	slow         time.Duration // longest additional time of a sync
	stalledUntil time.Time     // no sync ends before
	clockAhead   time.Duration // how far the host's clock has stepped forward
}

// errFull reports that opening a folder failed on a full disk.
var errFull = errors.New("no space left on device")

// clock returns the time that the cores of the host are given. They compare readings of a
// clock that never steps back.
func (h *host) clock() time.Time { return h.fleet.now.Add(h.faults.clockAhead) }

// syncDelay returns how long a write with its sync takes, at least a minimum.
func (h *host) syncDelay(minimum time.Duration) time.Duration {
	w := h.fleet
	took := w.draw(minimum, w.syncTime)
	if h.faults.slow > 0 {
		took += w.draw(h.faults.slow/2, h.faults.slow)
	}
	return max(took, h.faults.stalledUntil.Sub(w.now))
}

// writeFails reports whether a write fails.
func (h *host) writeFails() bool {
	if h.faults.full {
		return true
	}
	if h.faults.failing > 0 {
		h.faults.failing--
		return true
	}
	return false
}

// openFolder opens the folder of the host. On a full disk the log can't be replaced and, in
// half the cases, not truncated either; nothing on disk changes then.
func (h *host) openFolder() (disk.Identity, raft.Restored, error) {
	before, ok := h.folder.files[logFile]
	before = bytes.Clone(before)
	identity, restored, err := h.folder.open(h.fleet.scratch)
	after := h.folder.files[logFile]
	if err != nil || !h.faults.full || bytes.Equal(before, after) {
		return identity, restored, err
	}
	if bytes.HasPrefix(before, after) && h.fleet.random.IntN(2) == 0 {
		return identity, restored, nil
	}
	if ok {
		h.folder.files[logFile] = before
	}
	return disk.Identity{}, raft.Restored{}, errFull
}

// write makes writes durable one after the other, then calls done. The replica stops when one
// fails.
func (r *replica) write(writes []write, done func()) {
	if len(writes) == 0 {
		return
	}
	w := r.host.fleet
	r.syncing = true
	r.host.folder.inFlight = append(r.host.folder.inFlight, writes[0])
	w.after(r.host.syncDelay(100*time.Microsecond), func() {
		if r.stopped {
			return
		}
		if r.host.writeFails() {
			r.fail()
			return
		}
		r.host.folder.sync()
		if len(writes) > 1 {
			r.write(writes[1:], done)
			return
		}
		r.syncing = false
		done()
	})
}

// fail ends the replica after a failed write, of which any part may be on the disk. Its
// process opens the folder again, as Member.Run does.
func (r *replica) fail() {
	h := r.host
	h.fleet.tracef("%s: a write fails, replica %d stops", h.name, r.id)
	h.folder.losePower(h.fleet.random)
	r.stop()
	h.after(memberInterval, h.runMember)
}

// stop ends the replica. Clients that wait for it learn no outcome.
func (r *replica) stop() {
	r.stopped = true
	r.host.replica = nil
	r.host.stops++
	r.closeLinks()
}

// closeLinks closes all links of a replica that has stopped: those that it has opened, and
// those that others have opened to it unless they outlive it. If its host is not reached, the
// other end notices after linkTimeout.
func (r *replica) closeLinks() {
	h := r.host
	h.closeAll(r.outbound)
	if h.up && h.fleet.leavesInbound {
		for _, id := range sortedKeys(r.inbound) {
			h.outlived = append(h.outlived, r.inbound[id])
		}
		return
	}
	h.closeAll(r.inbound)
}

// closeAll closes links of a replica of the host.
func (h *host) closeAll(links map[uint64]*link) {
	for _, id := range sortedKeys(links) {
		h.closeLink(links[id])
	}
}

// closeLink closes a link at this host's end.
func (h *host) closeLink(l *link) {
	if (!h.up && h.fleet.hangs) || (h.up && h.cut) {
		h.fleet.after(linkTimeout, l.close)
		return
	}
	l.close()
}

// closeOutlived closes the links that have outlived replicas, at the end of the process.
func (h *host) closeOutlived() {
	for _, l := range h.outlived {
		h.closeLink(l)
	}
	h.outlived = nil
}
