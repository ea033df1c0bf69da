package share

import "time"

// minThroughoutShare is the part of the time between two reports for which a team
// has to wait to count as waiting throughout. Between a grant and the demand
// that follows it a backlogged team may seem not to wait.
const minThroughoutShare = 0.8

// waitTime measures for which part of the time a team waits.
type waitTime struct {
	from  time.Time // when this measurement began
	since time.Time // when the present wait began, or zero
	ended time.Time // when the last wait ended, or zero
	total time.Duration
}

// set tells whether the team waits from now on.
func (w *waitTime) set(now time.Time, waiting bool) {
	if w.from.IsZero() {
		w.from = now
	}
	switch {
	case waiting && w.since.IsZero():
		w.since = now
	case !waiting && !w.since.IsZero():
		w.total += now.Sub(w.since)
		w.since = time.Time{}
		w.ended = now
	}
}

// recent reports whether the team waits or did so not long ago.
func (w *waitTime) recent(now time.Time) bool {
	return !w.since.IsZero() || (!w.ended.IsZero() && now.Sub(w.ended) < DefaultIdleAfter)
}

// take reports whether the team waited throughout and begins to measure anew.
func (w *waitTime) take(now time.Time) bool {
	if !w.since.IsZero() {
		w.total += now.Sub(w.since)
		w.since = now
	}
	throughout := w.total > 0 && w.total.Seconds() >= minThroughoutShare*now.Sub(w.from).Seconds()
	w.from = now
	w.total = 0
	return throughout
}
