package origin

import "time"

// MaxContinuations is the number of placements of requests that continue one stream with the
// rights of admitted work, retries at other upstreams included. Callers retry three times.
const MaxContinuations = 8

// Allowance counts the continuations of streams, so that a team can't get around its share by
// continuing one stream again and again. The zero value is ready to use. It is not safe for
// concurrent use.
type Allowance struct {
	counts map[Stream]int
	// until is the time at which the counts are forgotten.
	until time.Time
}

// Take counts a continuation of a stream and reports whether it has the rights of admitted
// work.
func (a *Allowance) Take(now time.Time, s Stream) bool {
	if a.counts == nil || now.After(a.until) || len(a.counts) >= MaxStreams {
		a.counts = make(map[Stream]int)
		a.until = now.Add(Retention)
	}
	a.counts[s]++
	return a.counts[s] <= MaxContinuations
}
