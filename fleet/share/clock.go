package share

import "time"

// advance ends backlogs that were not reported again, moves the clock and lets
// debtors repay in proportion.
func (a *Accountant) advance(now time.Time) {
	if a.nextScan.IsZero() {
		a.nextScan = now.Add(takeoverGrace)
	}
	if now.Before(a.nextScan) {
		return
	}
	a.nextScan = now.Add(advanceInterval)
	a.dropSilent(now)
	a.endIdle(now)
	if least, found := a.least(now); found && least > a.clock {
		a.repay(least - a.clock)
		a.move(now, least)
		a.limitAhead()
	}
	a.lift(now)
}

// endIdle ends the backlogs that were not reported again.
func (a *Accountant) endIdle(now time.Time) {
	for name, t := range a.active {
		if t.places > 0 {
			t.until = now.Add(a.settings.IdleAfter)
		}
		if now.After(t.until) {
			t.active = false
			delete(a.active, name)
		}
	}
}

// least returns the least counter among the backlogged teams. Teams that wait
// now and then count only while no other waits throughout: they are served less
// than the others because they ask for less, and would hold the clock back.
func (a *Accountant) least(now time.Time) (least float64, found bool) {
	backlogged := false
	for _, t := range a.active {
		b := t.backlogged(now)
		if !found || (b && !backlogged) || (b == backlogged && t.virtual < least) {
			least = t.virtual
			found = true
			backlogged = b
		}
	}
	return least, found
}

// move sets the clock and measures how fast it goes.
func (a *Accountant) move(now time.Time, clock float64) {
	if seconds := now.Sub(a.movedAt).Seconds(); !a.movedAt.IsZero() && seconds > 0 {
		weight := min(1, seconds/rateWindow.Seconds())
		a.rate += weight * ((clock-a.clock)/seconds - a.rate)
	}
	a.movedAt = now
	a.clock = clock
}

// limitAhead turns what backlogged teams are ahead by beyond MaxAhead into
// debt. A team that found places idle and keeps them with long requests is
// served less after that, but never stops for longer.
func (a *Accountant) limitAhead() {
	most := a.clock + max(a.rate*a.settings.MaxLead.Seconds(), leastAheadUnits)
	for name, t := range a.active {
		if excess := min(t.virtual-most, a.settings.MaxDebt-t.debt); excess > 0 {
			t.virtual -= excess
			t.debt += excess
			a.debtors[name] = t
		}
	}
}

// lift keeps teams that wait now and then from saving up what they don't ask
// for, beyond the credit with which they come first when they do.
func (a *Accountant) lift(now time.Time) {
	for _, t := range a.active {
		if !t.backlogged(now) {
			t.virtual = max(t.virtual, a.clock-lightCredit)
		}
	}
}

// repay moves part of each debt into the counters: while the clock advances by
// step, a debtor's counter advances by RepayShare of it without service, which
// leaves it at least 1-RepayShare of its fair share.
func (a *Accountant) repay(step float64) {
	for name, t := range a.debtors {
		part := min(t.debt, step*a.settings.RepayShare)
		t.debt -= part
		t.virtual += part
		if t.debt <= 0 {
			delete(a.debtors, name)
		}
	}
}
