package gateway

import (
	"time"

	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// maxClaims bounds the claims that a sidecar remembers. Beyond it no claim is
// fenced any more, which leaves outcomes unknown but proves nothing false.
const maxClaims = 200_000

// claimKey names one attempt of a claim.
type claimKey struct {
	key string
	try uint64
}

func claimOf(asked *wire.RunRequest) claimKey {
	return claimKey{
		key: asked.ClaimKey,
		try: asked.ClaimAttempt,
	}
}

// claimFate is what a sidecar remembers of an attempt of a claim.
type claimFate struct {
	gate    *gate // nil when it was fenced before it came
	expires time.Time
}

// claims remembers, for as long as the controllers keep a claim, which attempts
// came to this sidecar and which must never run.
type claims struct {
	fates map[claimKey]claimFate
	full  bool
}

func newClaims() *claims {
	return &claims{
		fates: make(map[claimKey]claimFate),
	}
}

func (c *claims) set(key claimKey, g *gate) {
	now := time.Now()
	if len(c.fates) >= maxClaims {
		for k, f := range c.fates {
			if now.After(f.expires) {
				delete(c.fates, k)
			}
		}
	}
	if len(c.fates) >= maxClaims {
		c.full = true // from now on some attempts are not remembered
		return
	}
	c.fates[key] = claimFate{
		gate:    g,
		expires: now.Add(state.ClaimRetention),
	}
}

// add remembers the run of a claimed request.
func (c *claims) add(r *run) {
	if r.asked.ClaimKey != "" {
		c.set(claimOf(r.asked), r.gate)
	}
}

// isFenced reports whether the attempt must never run.
func (c *claims) isFenced(key claimKey) bool {
	f, known := c.fates[key]
	return key.key != "" && known && f.gate == nil
}

// fence rules out that the attempt ever runs; false when it may have begun.
func (c *claims) fence(key claimKey) bool {
	f, known := c.fates[key]
	switch {
	case known && f.gate != nil:
		return f.gate.fence()
	case known:
		return true
	}
	c.set(key, nil)
	_, kept := c.fates[key]
	return kept && !c.full
}
