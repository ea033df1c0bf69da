package share

import "time"

// Constants of the admission limit.
const (
	// DefaultLoadMaxAge is the age at which a load report tells nothing.
	DefaultLoadMaxAge   = 10 * time.Second
	limitCooldown       = time.Second
	limitCutDivisor     = 8
	kvNearlyFull        = 0.95
	firstTokenTolerance = 4.0
	firstTokenDecay     = 0.9
	firstTokenSamples   = 20
	minSlowFirstToken   = 2 * time.Second
)

// Load is what an upstream reports of itself, with a lag.
type Load struct {
	// Sequence grows with each report; one that does not grow is old news.
	Sequence uint64
	// At is when the report was true.
	At      time.Time
	Running int
	Waiting int
	// KVUsed is the used fraction of the KV memory, from 0 to 1.
	KVUsed float64
}

// ConcurrencyLimit decides how many requests an upstream may run at once. It starts at
// the declared maximum, falls when the upstream queues inside or answers its
// first token late, and rises again by one while nothing speaks against it.
// The zero value admits nothing until SetMax is called.
type ConcurrencyLimit struct {
	max      int
	limit    int
	sequence uint64
	nextCut  time.Time
	nextRise time.Time
	typical  float64 // first-token seconds in good times
	recent   float64
	samples  int
}

// SetMax sets the declared maximum.
func (l *ConcurrencyLimit) SetMax(most int) {
	if l.max == 0 || l.limit > most || l.limit == l.max {
		l.limit = most
	}
	l.max = most
}

// Value returns the present limit.
func (l *ConcurrencyLimit) Value() int { return l.limit }

// Report takes a load report. Stale and repeated ones are ignored; it returns
// whether the report was used.
func (l *ConcurrencyLimit) Report(now time.Time, load Load) bool {
	if load.Sequence <= l.sequence || now.Sub(load.At) > DefaultLoadMaxAge {
		return false
	}
	l.sequence = load.Sequence
	switch {
	case load.Waiting > 0:
		l.cut(now, max(load.Running-load.Waiting, l.limit-l.limit/limitCutDivisor-1))
	case load.KVUsed > kvNearlyFull:
		l.cut(now, min(load.Running, l.limit-1))
	}
	return true
}

// FirstToken takes the time from start to the first token of one request.
func (l *ConcurrencyLimit) FirstToken(now time.Time, took time.Duration) {
	seconds := took.Seconds()
	if l.samples == 0 {
		l.recent = seconds
	}
	l.samples++
	l.recent = l.recent*firstTokenDecay + seconds*(1-firstTokenDecay)
	if l.samples < firstTokenSamples {
		return
	}
	if l.typical == 0 || l.recent < l.typical {
		l.typical = l.recent
	}
	if l.recent > l.typical*firstTokenTolerance && l.recent > minSlowFirstToken.Seconds() {
		l.cut(now, l.limit-l.limit/limitCutDivisor-1)
	}
}

func (l *ConcurrencyLimit) cut(now time.Time, to int) {
	if now.Before(l.nextCut) {
		return
	}
	l.limit = min(max(to, 1), l.max)
	l.nextCut = now.Add(limitCooldown)
	l.nextRise = now.Add(2 * limitCooldown)
}

// Finished lets the limit rise after a request that used the last place.
func (l *ConcurrencyLimit) Finished(now time.Time, wasFull bool) {
	if wasFull && l.limit < l.max && !now.Before(l.nextRise) {
		l.limit++
		l.nextRise = now.Add(limitCooldown / limitCutDivisor)
	}
}
