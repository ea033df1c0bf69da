package gateway

import (
	"time"

	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// maxClaims is the maximum number of attempts that claims holds. Once it was exceeded,
// fencing fails for every attempt that is not held, since it may have been run unrecorded.
// The outcomes of such claims remain unknown, but none is reported wrongly as not run.
const maxClaims = 200_000

// claimKey identifies one attempt of a claim.
type claimKey struct {
	key     string
	attempt uint64
}

// claimKeyOf returns the key of a request's attempt; its key field is empty if the request
// has no claim.
func claimKeyOf(request *wire.RunRequest) claimKey {
	return claimKey{
		key:     request.ClaimKey,
		attempt: request.ClaimAttempt,
	}
}

// claimRecord is what claims holds about an attempt.
type claimRecord struct {
	start   *startState // nil if the attempt was fenced before it arrived
	expires time.Time
}

// claims records which attempts of claimed requests arrived at this sidecar and which must
// never run, for as long as the controllers hold a claim. It is protected by Server.mu.
type claims struct {
	records    map[claimKey]claimRecord
	overflowed bool
}

func newClaims() *claims {
	return &claims{
		records: make(map[claimKey]claimRecord),
	}
}

// set records an attempt. If the table is full of attempts that have not expired, it sets
// overflowed instead.
func (c *claims) set(key claimKey, start *startState) {
	now := time.Now()
	if len(c.records) >= maxClaims {
		for k, r := range c.records {
			if now.After(r.expires) {
				delete(c.records, k)
			}
		}
	}
	if len(c.records) >= maxClaims {
		c.overflowed = true // stays set, since this attempt is not recorded
		return
	}
	c.records[key] = claimRecord{
		start:   start,
		expires: now.Add(state.ClaimRetention),
	}
}

// add records the run of a request, if the request has a claim.
func (c *claims) add(r *run) {
	if r.request.ClaimKey != "" {
		c.set(claimKeyOf(r.request), r.startState)
	}
}

// isFenced reports whether the attempt must never run.
func (c *claims) isFenced(key claimKey) bool {
	r, known := c.records[key]
	return key.key != "" && known && r.start == nil
}

// fence ensures that the attempt never runs. It returns false if the attempt may have been
// sent to the upstream already.
func (c *claims) fence(key claimKey) bool {
	r, known := c.records[key]
	switch {
	case known && r.start != nil:
		return r.start.fence()
	case known:
		return true
	}
	c.set(key, nil)
	_, kept := c.records[key]
	return kept && !c.overflowed
}
