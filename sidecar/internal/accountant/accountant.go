// Package accountant speaks to the leading controller, which adds up the
// service of each team over all sidecars.
package accountant

import (
	"context"
	"sync"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Counters returns every counter for an accountant that may know nothing.
type Counters interface {
	FullReports() []share.Report
	SetTotals(totals []share.Totals)
}

// Reporter keeps the link to the leading controller.
type Reporter struct {
	incarnation string
	dialer      link.Dialer
	leader      func() string

	mu   sync.Mutex
	link *reports
}

// reports are the reports of one link.
type reports struct {
	conn   *link.Conn[wire.Account]
	packer wire.ReportPacker

	mu      sync.Mutex
	pending [][]share.Report // sent and not answered, the oldest first
}

// New returns a reporter. Leader is asked for the address before each dial.
func New(incarnation string, dialer link.Dialer, leader func() string) *Reporter {
	return &Reporter{
		incarnation: incarnation,
		dialer:      dialer,
		leader:      leader,
	}
}

// Run keeps the link until the context ends.
func (r *Reporter) Run(ctx context.Context, source Counters) {
	link.Maintain(ctx, r.dialer, r.leader, wire.PathAccount, func(c *link.Conn[wire.Account]) {
		l := &reports{
			conn: c,
		}
		if l.send(r.incarnation, source.FullReports()) != nil {
			return
		}
		r.set(l)
		defer r.set(nil)
		for {
			frame, err := c.Receive()
			if err != nil {
				return
			}
			totals, err := l.answered(frame.Totals)
			if err != nil {
				return // the link is given up and begins anew with everything
			}
			source.SetTotals(totals)
		}
	})
}

func (r *Reporter) set(l *reports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = l
}

// Report sends reports; false means that there is no link.
func (r *Reporter) Report(list []share.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link != nil && r.link.send("", list) == nil
}

// send packs and sends reports. It is called by one goroutine at a time.
func (l *reports) send(incarnation string, list []share.Report) error {
	frame := wire.Account{
		Incarnation: incarnation,
	}
	for _, r := range list {
		frame.Reports = append(frame.Reports, l.packer.Pack(r))
	}
	if len(list) > 0 {
		l.mu.Lock()
		l.pending = append(l.pending, list)
		l.mu.Unlock()
	}
	return l.conn.Send(frame)
}

// answered returns the totals for the oldest reports that wait for theirs.
func (l *reports) answered(packed []wire.PackedTotals) ([]share.Totals, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 || len(l.pending[0]) != len(packed) {
		return nil, wire.ErrBadPacking
	}
	asked := l.pending[0]
	l.pending = l.pending[1:]
	out := make([]share.Totals, 0, len(packed))
	for i, p := range packed {
		t, err := p.Unpack(asked[i])
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}
