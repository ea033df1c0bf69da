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
	bucket, tokens := s.shares.bucketAt(now), tokenCost(r.Prompt)
	// A Scheduler that does not decide never calls update, which prunes otherwise.
	if bucket-s.shares.levelBucket >= windowBuckets {
		s.shares.levelBucket = bucket
		s.shares.prune(bucket)
	}
	t := s.shares.team(r.Team)
	if !r.Resumed {
		t.demand.add(bucket, tokens)
	}
}

// Accounts returns the accounts of at most MaxAccounts teams, those that were admitted
// most first.
func (s *Scheduler) Accounts(now time.Time) []Account {
	bucket := s.shares.bucketAt(now)
	var out []Account
	s.shares.prune(bucket)
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
	bucket := s.shares.bucketAt(now)
	for _, a := range accounts {
		t := s.shares.team(a.Team)
		t.demand.addAged(bucket, max(a.Demand, 0))
		t.admitted.addAged(bucket, max(a.Admitted, 0))
	}
}

// addAged adds tokens to the bucket half a window before the given one.
func (w *window) addAged(bucket int64, tokens float64) {
	w.advance(bucket)
	w.sums[(w.newest-windowBuckets/2)%windowBuckets] += tokens
	w.total += tokens
}
