package share

import "time"

// advance ends backlogs that were not reported again, moves the clock and lets
// debtors repay in proportion.
func (a *Accountant) advance(now time.Time) {
	if a.nextScan.IsZero() {
		a.nextScan = now.Add(takeoverDelay)
	}
	if now.Before(a.nextScan) {
		return
	}
	a.nextScan = now.Add(advanceInterval)
	a.expireReporters(now)
	a.deactivateIdle(now)
	if least, found := a.minVirtual(now); found && least > a.virtualTime {
		a.repay(least - a.virtualTime)
		a.setVirtualTime(now, least)
		a.limitLead()
	}
	a.limitCredit(now)
}

// deactivateIdle ends the backlogs that were not reported again.
func (a *Accountant) deactivateIdle(now time.Time) {
	for name, t := range a.active {
		if t.sidecars > 0 {
			t.activeUntil = now.Add(a.settings.IdleAfter)
		}
		if now.After(t.activeUntil) {
			t.active = false
			delete(a.active, name)
		}
	}
}

// minVirtual returns the minVirtual counter among the backlogged teams. Teams that wait
// now and then count only while no other waits throughout: they are served less
// than the others because they ask for less, and would hold the clock back.
func (a *Accountant) minVirtual(now time.Time) (least float64, found bool) {
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

// setVirtualTime sets the clock and measures how fast it goes.
func (a *Accountant) setVirtualTime(now time.Time, clock float64) {
	if seconds := now.Sub(a.advancedAt).Seconds(); !a.advancedAt.IsZero() && seconds > 0 {
		weight := min(1, seconds/rateWindow.Seconds())
		a.virtualRate += weight * ((clock-a.virtualTime)/seconds - a.virtualRate)
	}
	a.advancedAt = now
	a.virtualTime = clock
}

// limitLead turns what backlogged teams are ahead by beyond MaxAhead into
// debt. A team that found places idle and keeps them with long requests is
// served less after that, but never stops for longer.
func (a *Accountant) limitLead() {
	most := a.virtualTime + max(a.virtualRate*a.settings.MaxLead.Seconds(), minLeadUnits)
	for name, t := range a.active {
		if excess := min(t.virtual-most, a.settings.MaxDebt-t.debt); excess > 0 {
			t.virtual -= excess
			t.debt += excess
			a.debtors[name] = t
		}
	}
}

// limitCredit keeps teams that wait now and then from saving up what they don't ask
// for, beyond the credit with which they come first when they do.
func (a *Accountant) limitCredit(now time.Time) {
	for _, t := range a.active {
		if !t.backlogged(now) {
			t.virtual = max(t.virtual, a.virtualTime-intermittentCredit)
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
