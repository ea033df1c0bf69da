package connlimit

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Phase is how far what a connection holds has come. A lower phase is given up first.
type Phase uint8

const (
	// Idle is that nothing has arrived since the last answer.
	Idle Phase = iota
	// ReadingHead is that the head of a request arrives.
	ReadingHead
	// ReadingBody is that the body of a request arrives.
	ReadingBody
	// Stalled is that the peer does not read what is written to it.
	Stalled
	// Answering is that a complete request is being answered. It is never given up.
	Answering
)

var phaseNames = [...]string{
	Idle:        "idle",
	ReadingHead: "reading_head",
	ReadingBody: "reading_body",
	Stalled:     "stalled",
	Answering:   "answering",
}

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string { return phaseNames[p] }

// Holder is one connection and what it holds.
type Holder struct {
	// Peer is the host that the connection comes from.
	Peer netip.Addr
	// Held is what the connection holds of a bounded resource: 1 of connections, or bytes.
	Held int64
	// Phase is how far it has come, and Since when that began.
	Phase Phase
	Since time.Time
}

// Order returns the indices of the holders that may be given up, in the order in which to do
// so: those of the peers that hold most first, and of these the least complete, the largest and
// the oldest. Holders that hold nothing or are being answered are left out.
func Order(holders []Holder) []int {
	total := make(map[netip.Addr]int64)
	for _, h := range holders {
		total[h.Peer] += h.Held
	}
	var out []int
	for i, h := range holders {
		if h.Held > 0 && h.Phase < Answering {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(i, j int) int {
		a, b := holders[i], holders[j]
		return cmp.Or(
			cmp.Compare(total[b.Peer], total[a.Peer]),
			cmp.Compare(a.Phase, b.Phase),
			cmp.Compare(b.Held, a.Held),
			a.Since.Compare(b.Since),
			cmp.Compare(i, j),
		)
	})
	return out
}

// Peer returns the host that a connection comes from, or the zero address if it has none.
func Peer(c net.Conn) netip.Addr {
	address, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return address.AddrPort().Addr().Unmap()
}
