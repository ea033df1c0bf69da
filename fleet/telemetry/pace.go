package telemetry

import "time"

// Pace spaces a line about a condition that lasts or repeats: the first is due at once, the
// others after intervals that double from First to Max. A line is due half of First early, for
// callers that ask at such intervals. The zero value of the other fields is
// ready for use. It is not safe for concurrent use.
type Pace struct {
	First time.Duration
	Max   time.Duration

	interval time.Duration // until the line after the next one
	next     time.Time     // when the next line is due; zero means at once
}

// Due reports whether a line is due now, and if so sets when the next one is.
func (p *Pace) Due(now time.Time) bool {
	if now.Add(p.First / 2).Before(p.next) {
		return false
	}
	p.interval = max(p.First, p.interval)
	p.next = now.Add(p.interval)
	p.interval = min(2*p.interval, p.Max)
	return true
}

// Reset makes a line due at once, because the condition has ended.
func (p *Pace) Reset() {
	p.interval = 0
	p.next = time.Time{}
}
