package wire

import (
	"math"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/share"
)

// Account is a frame between a sidecar and the accountant, which is the part of the
// leading controller that sums up the service each team received in the fleet. The
// accountant answers each frame with reports by one frame with their totals, in the
// same order.
type Account struct {
	Incarnation string         `cbor:"1,keyasint,omitempty"`
	Reports     []PackedReport `cbor:"2,keyasint,omitempty"`
	Totals      []PackedTotals `cbor:"3,keyasint,omitempty"`
}

// PackedReport is the delta encoding of a share.Report; see ReportPacker.
type PackedReport struct {
	Service share.ServiceID `cbor:"1,keyasint"`
	// Entries has entryNumbers numbers for each entry: the difference of its team's
	// number to that of the previous entry, the growth of its counter since it was
	// last sent on this link, and its flags.
	Entries []int64 `cbor:"2,keyasint"`
	// Epochs has epochNumbers numbers for each entry whose epoch was not sent on this
	// link before: the entry's index and the epoch.
	Epochs []int64 `cbor:"3,keyasint,omitempty"`
	// Known has knownNumbers numbers for each entry with a nonzero KnownVirtual or
	// KnownLocal: the entry's index, KnownVirtual and KnownLocal.
	Known []int64 `cbor:"4,keyasint,omitempty"`
}

// PackedTotals is the delta encoding of a share.Totals. Entries has totalNumbers
// numbers for each waiting entry of the report that it answers: the virtual service
// less VirtualTime, and the number of sidecars at which the team waits.
type PackedTotals struct {
	Service     share.ServiceID `cbor:"1,keyasint"`
	VirtualTime int64           `cbor:"2,keyasint"`
	Entries     []int64         `cbor:"3,keyasint,omitempty"`
}

// Numbers for each element of a packed list.
const (
	entryNumbers = 3
	epochNumbers = 2
	knownNumbers = 3
	totalNumbers = 2
)

// Bits of an entry's flags.
const (
	flagWaiting      = 1
	flagIntermittent = 2
)

// ErrBadPacking is returned for numbers that do not decode to a report or totals.
var ErrBadPacking = merry.Sentinel("malformed packed report or totals")

type packedKey struct {
	service share.ServiceID
	team    share.TeamID
}

// packedCounter is the last value of a team's counter on a link.
type packedCounter struct {
	epoch        uint32
	localService int64
}

// ReportPacker encodes the reports of one link in the order in which they are sent.
// Each counter is encoded as the difference to its previous value on the link, so
// every new link needs a new ReportPacker. The zero value is ready to use.
type ReportPacker struct {
	sent map[packedKey]packedCounter
}

// Pack returns the encoding of a report, whose entries must be sorted by team.
func (p *ReportPacker) Pack(r share.Report) PackedReport {
	if p.sent == nil {
		p.sent = make(map[packedKey]packedCounter)
	}
	out := PackedReport{
		Service: r.Service,
		Entries: make([]int64, 0, entryNumbers*len(r.Entries)),
	}
	last := share.TeamID(0)
	for i, e := range r.Entries {
		key := packedKey{
			service: r.Service,
			team:    e.Team,
		}
		before, known := p.sent[key]
		if !known || before.epoch != e.Epoch {
			before = packedCounter{}
			out.Epochs = append(out.Epochs, int64(i), int64(e.Epoch))
		}
		if e.KnownVirtual != 0 || e.KnownLocal != 0 {
			out.Known = append(out.Known, int64(i), e.KnownVirtual, e.KnownLocal)
		}
		out.Entries = append(out.Entries, int64(e.Team-last), e.LocalService-before.localService, flags(e))
		p.sent[key] = packedCounter{
			epoch:        e.Epoch,
			localService: e.LocalService,
		}
		last = e.Team
	}
	return out
}

func flags(e share.ReportEntry) int64 {
	out := int64(0)
	if e.Waiting {
		out |= flagWaiting
	}
	if e.Intermittent {
		out |= flagIntermittent
	}
	return out
}

// ReportUnpacker decodes the reports of one link in the order in which they arrive.
// Every new link needs a new ReportUnpacker. The zero value is ready to use.
type ReportUnpacker struct {
	received map[packedKey]packedCounter
}

// Unpack returns the decoded report. The error is ErrBadPacking if the lengths or
// indexes of p are invalid or if the epoch of an entry was never sent on the link.
func (u *ReportUnpacker) Unpack(p PackedReport) (share.Report, error) {
	if u.received == nil {
		u.received = make(map[packedKey]packedCounter)
	}
	count := int64(len(p.Entries) / entryNumbers)
	if len(p.Entries)%entryNumbers != 0 || !validIndexes(p.Epochs, epochNumbers, count) || !validIndexes(p.Known, knownNumbers, count) {
		return share.Report{}, ErrBadPacking
	}
	out := share.Report{
		Service: p.Service,
		Entries: make([]share.ReportEntry, count),
	}
	last := share.TeamID(0)
	for i := range out.Entries {
		last += share.TeamID(p.Entries[entryNumbers*i])
		out.Entries[i].Team = last
	}
	for i := 0; i < len(p.Epochs); i += epochNumbers {
		epoch := p.Epochs[i+1]
		if epoch < 0 || epoch > math.MaxUint32 {
			return share.Report{}, ErrBadPacking
		}
		u.received[u.key(p, out.Entries[p.Epochs[i]].Team)] = packedCounter{
			epoch: uint32(epoch),
		}
	}
	for i := 0; i < len(p.Known); i += knownNumbers {
		out.Entries[p.Known[i]].KnownVirtual = p.Known[i+1]
		out.Entries[p.Known[i]].KnownLocal = p.Known[i+2]
	}
	for i := range out.Entries {
		if !u.addCounter(p, i, &out.Entries[i]) {
			return share.Report{}, ErrBadPacking
		}
	}
	return out, nil
}

func (u *ReportUnpacker) key(p PackedReport, team share.TeamID) packedKey {
	return packedKey{
		service: p.Service,
		team:    team,
	}
}

// addCounter sets the counter and flags of the entry at index i. It returns false if
// the entry's epoch was never received.
func (u *ReportUnpacker) addCounter(p PackedReport, i int, e *share.ReportEntry) bool {
	key := u.key(p, e.Team)
	c, known := u.received[key]
	if !known {
		return false
	}
	c.localService += p.Entries[entryNumbers*i+1]
	u.received[key] = c
	bits := p.Entries[entryNumbers*i+2]
	e.Epoch = c.epoch
	e.LocalService = c.localService
	e.Waiting = bits&flagWaiting != 0
	e.Intermittent = bits&flagIntermittent != 0
	return true
}

// validIndexes reports whether numbers consists of groups of the given length that
// each begin with an index from 0 to count-1.
func validIndexes(numbers []int64, group int, count int64) bool {
	if len(numbers)%group != 0 {
		return false
	}
	for i := 0; i < len(numbers); i += group {
		if numbers[i] < 0 || numbers[i] >= count {
			return false
		}
	}
	return true
}

// PackTotals returns the encoding of totals.
func PackTotals(t share.Totals) PackedTotals {
	out := PackedTotals{
		Service:     t.Service,
		VirtualTime: t.VirtualTime,
		Entries:     make([]int64, 0, totalNumbers*len(t.Entries)),
	}
	for _, e := range t.Entries {
		out.Entries = append(out.Entries, e.Virtual-t.VirtualTime, int64(e.Sidecars))
	}
	return out
}

// Unpack returns the decoded totals that answer report. The error is ErrBadPacking if
// their service or number of entries does not match the report.
func (p PackedTotals) Unpack(report share.Report) (share.Totals, error) {
	out := share.Totals{
		Service:     p.Service,
		VirtualTime: p.VirtualTime,
	}
	rest := p.Entries
	for _, e := range report.Entries {
		if !e.Waiting {
			continue
		}
		if len(rest) < totalNumbers {
			return share.Totals{}, ErrBadPacking
		}
		out.Entries = append(out.Entries, share.TotalEntry{
			Team:         e.Team,
			Virtual:      p.VirtualTime + rest[0],
			Epoch:        e.Epoch,
			LocalService: e.LocalService,
			Sidecars:     int(rest[1]),
		})
		rest = rest[totalNumbers:]
	}
	if len(rest) > 0 || p.Service != report.Service {
		return share.Totals{}, ErrBadPacking
	}
	return out, nil
}
