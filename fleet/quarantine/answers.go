package quarantine

import "time"

// answers remembers when subjects of one kind were last answered, for answerMemory and at most
// maxAnswered of them. The zero value is empty.
type answers struct {
	last map[uint64]time.Time
	// nextSweep is the time before which old answers are not looked for again.
	nextSweep time.Time
}

// remember remembers the time of a subject's last answer, if there is room for it.
func (a *answers) remember(now time.Time, id uint64) {
	if a.last == nil {
		a.last = make(map[uint64]time.Time)
	}
	if _, ok := a.last[id]; !ok && len(a.last) >= maxAnswered {
		if now.Before(a.nextSweep) {
			return
		}
		a.nextSweep = now.Add(time.Second)
		for old, at := range a.last {
			if now.Sub(at) > answerMemory {
				delete(a.last, old)
			}
		}
	}
	a.last[id] = now
}
