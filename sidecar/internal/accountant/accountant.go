// Package accountant reports the service that teams received at a sidecar to the
// accountant in the leading controller, which returns each team's total over all sidecars.
// Its entry point is Reporter.
package accountant

import (
	"context"
	"sync"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Counters are the sidecar's counters of service.
type Counters interface {
	// FullReports returns a report with every counter for each service, for an
	// accountant that may have no state.
	FullReports() []share.Report
	// SetTotals receives the accountant's totals for a list of reports.
	SetTotals(totals []share.Totals)
}

// Reporter maintains the link to the leading controller and sends reports on it.
type Reporter struct {
	incarnation string
	dialer      link.Dialer
	leader      func() string

	mu   sync.Mutex
	link *reportLink // nil while there is none
}

// reportLink is one link, with the reports on it that await totals. The packer encodes
// reports relative to earlier ones on the same link.
type reportLink struct {
	conn   *link.Conn[wire.Account]
	packer wire.ReportPacker

	mu      sync.Mutex
	pending [][]share.Report // sent but not answered, oldest first
}

// New returns a reporter. It calls leader for the address before it opens a link; an empty
// address means that the leader is unknown.
func New(incarnation string, dialer link.Dialer, leader func() string) *Reporter {
	return &Reporter{
		incarnation: incarnation,
		dialer:      dialer,
		leader:      leader,
	}
}

// Run maintains the link until the context ends. Each link begins with full reports of the
// counters, which receive the totals.
func (r *Reporter) Run(ctx context.Context, counters Counters) {
	link.Maintain(ctx, r.dialer, r.leader, wire.PathAccount, func(c *link.Conn[wire.Account]) {
		l := &reportLink{
			conn: c,
		}
		if l.send(r.incarnation, counters.FullReports()) != nil {
			return
		}
		r.setLink(l)
		defer r.setLink(nil)
		for {
			frame, err := c.Receive()
			if err != nil {
				return
			}
			totals, err := l.unpackTotals(frame.Totals)
			if err != nil {
				return // closes the link; the next one begins with full reports
			}
			counters.SetTotals(totals)
		}
	})
}

// setLink sets the link on which Report sends.
func (r *Reporter) setLink(l *reportLink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = l
}

// Report sends reports. It returns false if there is no link or sending failed.
func (r *Reporter) Report(list []share.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link != nil && r.link.send("", list) == nil
}

// send packs and sends reports. Only the first frame of a link carries the incarnation. It
// must not be called concurrently.
func (l *reportLink) send(incarnation string, list []share.Report) error {
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

// unpackTotals decodes the totals that answer the oldest pending reports. The error is
// wire.ErrBadPacking if they do not match these.
func (l *reportLink) unpackTotals(packed []wire.PackedTotals) ([]share.Totals, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 || len(l.pending[0]) != len(packed) {
		return nil, wire.ErrBadPacking
	}
	reports := l.pending[0]
	l.pending = l.pending[1:]
	out := make([]share.Totals, 0, len(packed))
	for i, p := range packed {
		t, err := p.Unpack(reports[i])
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}
