package share

import (
	"cmp"
	"slices"
	"time"
)

// refreshedTeams is how many of the first teams are asked about in every
// refreshInterval, whether their counters changed or not.
const refreshedTeams = 16

// ReportDue returns when the next report should leave, and false when there is
// nothing to report.
func (q *Queue) ReportDue() (time.Time, bool) {
	if len(q.dirty) == 0 {
		return time.Time{}, false
	}
	if q.unreported >= q.settings.ReportThreshold*int64(max(1, len(q.dirty))) {
		return q.dirtySince, true
	}
	due := q.dirtySince.Add(q.settings.ReportAge)
	if !q.earlyAt.IsZero() && q.earlyAt.Before(due) {
		due = q.earlyAt
	}
	return due, true
}

// Report returns the counters that changed since the last report. With full it
// returns every counter with what was known of the fleet, for an accountant
// that may know nothing.
func (q *Queue) Report(now time.Time, full bool) Report {
	source := q.dirty
	if full {
		source = q.teams
	}
	report := Report{
		Service: q.settings.Service,
		Entries: make([]ReportEntry, 0, len(source)),
	}
	for _, t := range source {
		e := ReportEntry{
			Team:         t.id,
			Epoch:        t.epoch,
			LocalService: t.own,
			Waiting:      t.waited || t.waiting > 0,
		}
		e.Intermittent = !t.waitTime.take(now) && e.Waiting
		if full {
			e.KnownVirtual = toWire(t.known)
			e.KnownLocal = t.knownOwn
		}
		t.reported = t.own
		t.waited = t.waiting > 0
		t.toldWaiting = e.Waiting
		report.Entries = append(report.Entries, e)
	}
	slices.SortFunc(report.Entries, func(a, b ReportEntry) int { return cmp.Compare(a.Team, b.Team) })
	q.dirty = make(map[TeamID]*team, len(source))
	q.unreported = 0
	q.earlyAt = time.Time{}
	q.markGone(now, source)
	return report
}

// markGone marks the teams that were reported waiting and no longer do.
func (q *Queue) markGone(now time.Time, told map[TeamID]*team) {
	var gone []*team
	for _, t := range told {
		if t.toldWaiting && t.waiting == 0 {
			gone = append(gone, t)
		}
	}
	for _, t := range gone {
		q.markDirty(now, t)
	}
}

// refreshFirst marks the teams that come first as changed, so that the next
// report asks for their totals. Others are asked about when their turn is near.
// With nobody waiting it marks nothing, and the report stays away.
func (q *Queue) refreshFirst(now time.Time) {
	for _, t := range q.heap.teams[:min(refreshedTeams, len(q.heap.teams))] {
		t.waited = true
		q.markDirty(now, t)
	}
}

// SetTotals takes the fleet's counters.
func (q *Queue) SetTotals(now time.Time, totals Totals) {
	q.heardAt = now
	q.clock = max(q.clock, fromWire(totals.VirtualTime))
	for _, e := range totals.Entries {
		t := q.teams[e.Team]
		if t == nil || t.epoch != e.Epoch {
			continue
		}
		t.known = fromWire(e.Virtual)
		t.knownOwn = e.LocalService
		t.places = e.Sidecars
		q.heap.fix(t)
	}
}
