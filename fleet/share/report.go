package share

import (
	"cmp"
	"slices"
	"time"
)

// refreshTeamCount is how many of the first teams are asked about in every
// refreshInterval, whether their counters changed or not.
const refreshTeamCount = 16

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
	if !q.earlyReportAt.IsZero() && q.earlyReportAt.Before(due) {
		due = q.earlyReportAt
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
			LocalService: t.localService,
			Waiting:      t.waited || t.waiting > 0,
		}
		e.Intermittent = !t.waitTime.take(now) && e.Waiting
		if full {
			e.KnownVirtual = toWire(t.knownVirtual)
			e.KnownLocal = t.knownLocal
		}
		t.reportedService = t.localService
		t.waited = t.waiting > 0
		t.reportedWaiting = e.Waiting
		report.Entries = append(report.Entries, e)
	}
	slices.SortFunc(report.Entries, func(a, b ReportEntry) int { return cmp.Compare(a.Team, b.Team) })
	q.dirty = make(map[TeamID]*team, len(source))
	q.unreported = 0
	q.earlyReportAt = time.Time{}
	q.markStoppedWaiting(now, source)
	return report
}

// markStoppedWaiting marks the teams that were reported waiting and no longer do.
func (q *Queue) markStoppedWaiting(now time.Time, told map[TeamID]*team) {
	var gone []*team
	for _, t := range told {
		if t.reportedWaiting && t.waiting == 0 {
			gone = append(gone, t)
		}
	}
	for _, t := range gone {
		q.markDirty(now, t)
	}
}

// refreshNextTeams marks the teams that come first as changed, so that the next
// report asks for their totals. Others are asked about when their turn is near.
// With nobody waiting it marks nothing, and the report stays away.
func (q *Queue) refreshNextTeams(now time.Time) {
	for _, t := range q.heap.teams[:min(refreshTeamCount, len(q.heap.teams))] {
		t.waited = true
		q.markDirty(now, t)
	}
}

// SetTotals takes the fleet's counters.
func (q *Queue) SetTotals(now time.Time, totals Totals) {
	q.totalsAt = now
	q.virtualTime = max(q.virtualTime, fromWire(totals.VirtualTime))
	for _, e := range totals.Entries {
		t := q.teams[e.Team]
		if t == nil || t.epoch != e.Epoch {
			continue
		}
		t.knownVirtual = fromWire(e.Virtual)
		t.knownLocal = e.LocalService
		t.sidecars = e.Sidecars
		q.heap.fix(t)
	}
}
