package wire

import (
	"math"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/share"
)

// Account is a frame between a sidecar and the accountant. The accountant
// answers each frame that has reports with one that has their totals, in the
// same order.
type Account struct {
	Incarnation string         `cbor:"1,keyasint,omitempty"`
	Reports     []PackedReport `cbor:"2,keyasint,omitempty"`
	Totals      []PackedTotals `cbor:"3,keyasint,omitempty"`
}

// PackedReport is a share.Report as a ReportPacker writes it.
type PackedReport struct {
	Service share.ServiceID `cbor:"1,keyasint"`
	// Entries has entryNumbers numbers for each entry: how far its team's number
	// is beyond that of the entry before, what its counter grew by since it was
	// last told on this link, and its flags.
	Entries []int64 `cbor:"2,keyasint"`
	// Epochs has two numbers for each entry whose epoch is new on this link: its
	// position and the epoch.
	Epochs []int64 `cbor:"3,keyasint,omitempty"`
	// Known has three numbers for each entry with Known: its position, Known and
	// KnownOwn.
	Known []int64 `cbor:"4,keyasint,omitempty"`
}

// PackedTotals is a share.Totals. Entries has totalNumbers numbers for each
// waiting entry of the report it answers: the virtual service beyond the clock,
// and the places.
type PackedTotals struct {
	Service share.ServiceID `cbor:"1,keyasint"`
	Clock   int64           `cbor:"2,keyasint"`
	Entries []int64         `cbor:"3,keyasint,omitempty"`
}

const (
	entryNumbers = 3
	epochNumbers = 2
	knownNumbers = 3
	totalNumbers = 2

	flagWaiting = 1
	flagAtTimes = 2
)

// ErrBadPacking tells that numbers do not make a report or totals.
var ErrBadPacking = merry.Sentinel("the numbers make no report")

type packedKey struct {
	service share.ServiceID
	team    share.TeamID
}

type packedCounter struct {
	epoch uint32
	own   int64
}

// ReportPacker packs the reports of one link, in the order in which they are
// sent. Each link has a new one. The zero value is ready.
type ReportPacker struct {
	told map[packedKey]packedCounter
}

// Pack returns the report's numbers. Entries are in the order of their teams.
func (p *ReportPacker) Pack(r share.Report) PackedReport {
	if p.told == nil {
		p.told = make(map[packedKey]packedCounter)
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
		before, told := p.told[key]
		if !told || before.epoch != e.Epoch {
			before = packedCounter{}
			out.Epochs = append(out.Epochs, int64(i), int64(e.Epoch))
		}
		if e.KnownVirtual != 0 || e.KnownLocal != 0 {
			out.Known = append(out.Known, int64(i), e.KnownVirtual, e.KnownLocal)
		}
		out.Entries = append(out.Entries, int64(e.Team-last), e.LocalService-before.own, flags(e))
		p.told[key] = packedCounter{
			epoch: e.Epoch,
			own:   e.LocalService,
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
		out |= flagAtTimes
	}
	return out
}

// ReportUnpacker turns the numbers of one link's reports back, in the order in
// which they arrive. The zero value is ready.
type ReportUnpacker struct {
	heard map[packedKey]packedCounter
}

// Unpack returns the report, or ErrBadPacking.
func (u *ReportUnpacker) Unpack(p PackedReport) (share.Report, error) {
	if u.heard == nil {
		u.heard = make(map[packedKey]packedCounter)
	}
	count := int64(len(p.Entries) / entryNumbers)
	if len(p.Entries)%entryNumbers != 0 || !positions(p.Epochs, epochNumbers, count) || !positions(p.Known, knownNumbers, count) {
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
		u.heard[u.key(p, out.Entries[p.Epochs[i]].Team)] = packedCounter{
			epoch: uint32(epoch),
		}
	}
	for i := 0; i < len(p.Known); i += knownNumbers {
		out.Entries[p.Known[i]].KnownVirtual = p.Known[i+1]
		out.Entries[p.Known[i]].KnownLocal = p.Known[i+2]
	}
	for i := range out.Entries {
		if !u.fill(p, i, &out.Entries[i]) {
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

// fill adds an entry's counter and flags; false when its epoch was never told.
func (u *ReportUnpacker) fill(p PackedReport, i int, e *share.ReportEntry) bool {
	key := u.key(p, e.Team)
	c, heard := u.heard[key]
	if !heard {
		return false
	}
	c.own += p.Entries[entryNumbers*i+1]
	u.heard[key] = c
	bits := p.Entries[entryNumbers*i+2]
	e.Epoch = c.epoch
	e.LocalService = c.own
	e.Waiting = bits&flagWaiting != 0
	e.Intermittent = bits&flagAtTimes != 0
	return true
}

// positions reports whether numbers come in groups that begin with a position.
func positions(numbers []int64, group int, count int64) bool {
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

// PackTotals returns the numbers of totals.
func PackTotals(t share.Totals) PackedTotals {
	out := PackedTotals{
		Service: t.Service,
		Clock:   t.VirtualTime,
		Entries: make([]int64, 0, totalNumbers*len(t.Entries)),
	}
	for _, e := range t.Entries {
		out.Entries = append(out.Entries, e.Virtual-t.VirtualTime, int64(e.Sidecars))
	}
	return out
}

// Unpack returns the totals that answer the report, or ErrBadPacking when they
// don't fit it.
func (p PackedTotals) Unpack(asked share.Report) (share.Totals, error) {
	out := share.Totals{
		Service:     p.Service,
		VirtualTime: p.Clock,
	}
	rest := p.Entries
	for _, e := range asked.Entries {
		if !e.Waiting {
			continue
		}
		if len(rest) < totalNumbers {
			return share.Totals{}, ErrBadPacking
		}
		out.Entries = append(out.Entries, share.TotalEntry{
			Team:         e.Team,
			Virtual:      p.Clock + rest[0],
			Epoch:        e.Epoch,
			LocalService: e.LocalService,
			Sidecars:     int(rest[1]),
		})
		rest = rest[totalNumbers:]
	}
	if len(rest) > 0 || p.Service != asked.Service {
		return share.Totals{}, ErrBadPacking
	}
	return out, nil
}
