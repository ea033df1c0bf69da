package share

import "time"

// Constants of the concurrency limit.
const (
	// DefaultLoadMaxAge is the age above which a load report is ignored.
	DefaultLoadMaxAge = 10 * time.Second
	// limitCooldown is the shortest time between two cuts. The limit rises again only
	// twice this time after a cut.
	limitCooldown = time.Second
	// limitCutDivisor sets the size of steps: a cut for queueing or late first tokens
	// lowers the limit by at most limit/limitCutDivisor+1, and rises by one are at least
	// limitCooldown/limitCutDivisor apart.
	limitCutDivisor = 8
	// kvNearlyFull is the used fraction of the key-value cache above which the limit
	// is cut.
	kvNearlyFull = 0.95
	// firstTokenTolerance is how many times the typical time to the first token the
	// recent average may be; below minSlowFirstToken it never causes a cut.
	firstTokenTolerance = 4.0
	firstTokenDecay     = 0.9
	// firstTokenSamples is how many samples are needed before the averages count.
	firstTokenSamples = 20
	minSlowFirstToken = 2 * time.Second
)

// Load is what an upstream reports of itself. It arrives with a delay.
type Load struct {
	// Sequence grows with each report; a report that does not raise it is stale.
	Sequence uint64
	// At is when the values were measured.
	At      time.Time
	Running int
	Waiting int
	// KVUsed is the used fraction of the key-value cache, from 0 to 1.
	KVUsed float64
}

// ConcurrencyLimit decides how many requests an upstream may run at once. It starts at the
// declared maximum, is cut when the upstream queues requests internally, runs out of
// key-value cache or returns first tokens late, and otherwise rises by one at a time. The
// zero value admits nothing until SetMax is called.
type ConcurrencyLimit struct {
	max      int
	limit    int
	sequence uint64
	nextCut  time.Time
	nextRise time.Time
	typical  float64 // least average of the seconds to the first token
	recent   float64
	samples  int
}

// SetMax sets the declared maximum.
func (l *ConcurrencyLimit) SetMax(declared int) {
	if l.max == 0 || l.limit > declared || l.limit == l.max {
		l.limit = declared
	}
	l.max = declared
}

// Value returns the current limit.
func (l *ConcurrencyLimit) Value() int { return l.limit }

// Report takes a load report and reports whether it was used. Stale and repeated reports
// are ignored.
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

// FirstToken records the time from the start of a request to its first token.
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

// Finished lets the limit rise after a request that ended while all slots were in use.
func (l *ConcurrencyLimit) Finished(now time.Time, wasFull bool) {
	if wasFull && l.limit < l.max && !now.Before(l.nextRise) {
		l.limit++
		l.nextRise = now.Add(limitCooldown / limitCutDivisor)
	}
}
