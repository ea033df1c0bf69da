package share

import "time"

// advance ends the backlog of teams that no longer wait, advances virtual time to the
// least virtual service of the backlogged teams and lets indebted teams repay in
// proportion.
func (a *Accountant) advance(now time.Time) {
	if a.nextAdvance.IsZero() {
		a.nextAdvance = now.Add(takeoverDelay)
	}
	if now.Before(a.nextAdvance) {
		return
	}
	a.nextAdvance = now.Add(advanceInterval)
	a.expireReporters(now)
	a.deactivateIdle(now)
	if least, found := a.minVirtual(now); found && least > a.virtualTime {
		a.repay(least - a.virtualTime)
		a.setVirtualTime(now, least)
		a.limitLead()
	}
	a.limitCredit(now)
}

// deactivateIdle ends the backlog of teams that have not waited anywhere for
// IdleAfter.
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

// minVirtual returns the least virtual service among the backlogged teams. Teams that
// wait intermittently count only while no team waits throughout: they are served less
// than the others because they ask for less, and would hold virtual time back.
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

// setVirtualTime sets virtual time and averages its rate over rateWindow.
func (a *Accountant) setVirtualTime(now time.Time, to float64) {
	if seconds := now.Sub(a.advancedAt).Seconds(); !a.advancedAt.IsZero() && seconds > 0 {
		weight := min(1, seconds/rateWindow.Seconds())
		a.virtualRate += weight * ((to-a.virtualTime)/seconds - a.virtualRate)
	}
	a.advancedAt = now
	a.virtualTime = to
}

// limitLead turns the lead of backlogged teams over virtual time beyond MaxLead into
// debt. A team that found slots idle and occupies them with long requests is served
// less afterwards, but is never stopped for longer.
func (a *Accountant) limitLead() {
	ceiling := a.virtualTime + max(a.virtualRate*a.settings.MaxLead.Seconds(), minLeadUnits)
	for name, t := range a.active {
		if excess := min(t.virtual-ceiling, a.settings.MaxDebt-t.debt); excess > 0 {
			t.virtual -= excess
			t.debt += excess
			a.debtors[name] = t
		}
	}
}

// limitCredit keeps teams that wait intermittently from accumulating credit for service
// that they do not ask for. They keep at most intermittentCredit, which lets them be
// served first when they do ask.
func (a *Accountant) limitCredit(now time.Time) {
	for _, t := range a.active {
		if !t.backlogged(now) {
			t.virtual = max(t.virtual, a.virtualTime-intermittentCredit)
		}
	}
}

// repay adds part of each debt to the team's virtual service. While virtual time advances
// by step, an indebted team is charged up to RepayShare of step without receiving service,
// which leaves it at least 1-RepayShare of its fair share.
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
