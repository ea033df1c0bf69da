package quarantine

import "time"

// answers remembers when subjects of one kind were last answered, for a time and at most
// maxAnswered of them.
type answers struct {
	memory time.Duration
	last   map[uint64]time.Time
	// knownFrom is the time from which the subjects without an answer within the time are
	// known. It is zero before the first answer.
	knownFrom time.Time
	// nextSweep is the time before which old answers are not looked for again.
	nextSweep time.Time
}

// remember remembers the time of a subject's last answer, if there is room for it.
func (a *answers) remember(now time.Time, id uint64) {
	if a.last == nil {
		a.last = make(map[uint64]time.Time)
		a.knownFrom = now.Add(a.memory)
	}
	if _, ok := a.last[id]; !ok && len(a.last) >= maxAnswered {
		if now.Before(a.nextSweep) {
			a.knownFrom = now.Add(a.memory)
			return
		}
		a.nextSweep = now.Add(time.Second)
		for old, at := range a.last {
			if now.Sub(at) > a.memory {
				delete(a.last, old)
			}
		}
	}
	a.last[id] = now
}

// lacks reports whether a subject is known to have had no answer within the time.
func (a *answers) lacks(now time.Time, id uint64) bool {
	if a.knownFrom.IsZero() || now.Before(a.knownFrom) {
		return false
	}
	at, ok := a.last[id]
	return !ok || now.Sub(at) > a.memory
}
