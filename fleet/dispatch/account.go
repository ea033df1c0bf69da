package dispatch

import (
	"slices"
	"time"
)

// Account is what one team asked for and was admitted within the window, in tokens.
type Account struct {
	Team     string  `cbor:"1,keyasint"`
	Demand   float64 `cbor:"2,keyasint,omitempty"`
	Admitted float64 `cbor:"3,keyasint,omitempty"`
}

// MaxAccounts is how many teams' accounts are told; those of the largest matter most.
const MaxAccounts = 1024

// RecordDemand takes what a team asked for of another core.
func (c *Scheduler) RecordDemand(now time.Time, r Request) {
	if r.Team == "" || r.Prompt.Tokens == 0 {
		return
	}
	slot, tokens := c.shares.slot(now), cost(r.Prompt)
	if slot-c.shares.levelSlot >= buckets {
		c.shares.levelSlot = slot
		c.shares.prune(slot)
	}
	t := c.shares.team(r.Team)
	if !r.Resumed {
		t.asked.add(slot, tokens)
	}
}

// Accounts returns the accounts of the teams that were admitted most.
func (c *Scheduler) Accounts(now time.Time) []Account {
	slot := c.shares.slot(now)
	var out []Account
	c.shares.prune(slot)
	for name, t := range c.shares.teams {
		out = append(out, Account{
			Team:     name,
			Demand:   t.asked.total,
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

// AddAccounts takes the accounts of requests that this core did not see. They count
// as if they were half a window old.
func (c *Scheduler) AddAccounts(now time.Time, accounts []Account) {
	slot := c.shares.slot(now)
	for _, a := range accounts {
		t := c.shares.team(a.Team)
		t.asked.addBefore(slot, max(a.Demand, 0))
		t.admitted.addBefore(slot, max(a.Admitted, 0))
	}
}

// addBefore adds tokens as of half a window before the slot.
func (w *window) addBefore(slot int64, tokens float64) {
	w.advance(slot)
	w.sums[(w.slot-buckets/2)%buckets] += tokens
	w.total += tokens
}
