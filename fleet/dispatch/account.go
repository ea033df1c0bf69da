package dispatch

import (
	"slices"
	"time"
)

// Account is the demand of one team and what it was admitted within the share window, in
// tokens.
type Account struct {
	Team     string  `cbor:"1,keyasint"`
	Demand   float64 `cbor:"2,keyasint,omitempty"`
	Admitted float64 `cbor:"3,keyasint,omitempty"`
}

// MaxAccounts is the largest number of accounts that Accounts returns. The teams that
// were admitted most come first, since their accounts matter most to a new leader.
const MaxAccounts = 1024

// RecordDemand adds a request that another Scheduler decides on to its team's demand.
func (s *Scheduler) RecordDemand(now time.Time, r Request) {
	if r.Team == "" || r.Prompt.Tokens == 0 {
		return
	}
	slot, tokens := s.shares.slot(now), tokenCost(r.Prompt)
	if slot-s.shares.levelSlot >= windowBuckets {
		s.shares.levelSlot = slot
		s.shares.prune(slot)
	}
	t := s.shares.team(r.Team)
	if !r.Resumed {
		t.demand.add(slot, tokens)
	}
}

// Accounts returns the accounts of at most MaxAccounts teams, those that were admitted
// most first.
func (s *Scheduler) Accounts(now time.Time) []Account {
	slot := s.shares.slot(now)
	var out []Account
	s.shares.prune(slot)
	for name, t := range s.shares.teams {
		out = append(out, Account{
			Team:     name,
			Demand:   t.demand.total,
			Admitted: t.admitted.total,
		})
	}
	slices.SortFunc(out, func(a, b Account) int {
		switch {
		case a.Admitted > b.Admitted:
			return -1
		case a.Admitted < b.Admitted:
			return 1
		}
		return 0
	})
	return out[:min(len(out), MaxAccounts)]
}

// AddAccounts adds accounts of requests that this Scheduler did not see. Their times are
// unknown, so their tokens count as half a window old.
func (s *Scheduler) AddAccounts(now time.Time, accounts []Account) {
	slot := s.shares.slot(now)
	for _, a := range accounts {
		t := s.shares.team(a.Team)
		t.demand.addAged(slot, max(a.Demand, 0))
		t.admitted.addAged(slot, max(a.Admitted, 0))
	}
}

// addAged adds tokens to the slot half a window before the given one.
func (w *window) addAged(slot int64, tokens float64) {
	w.advance(slot)
	w.sums[(w.slot-windowBuckets/2)%windowBuckets] += tokens
	w.total += tokens
}
