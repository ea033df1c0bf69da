package dispatch

import "time"

// Refused is what a gateway refused of one team without asking.
type Refused struct {
	Team     string  `cbor:"1,keyasint"`
	Requests int     `cbor:"2,keyasint"`
	Tokens   float64 `cbor:"3,keyasint"`
	// Largest is the largest of these requests, in tokens.
	Largest float64 `cbor:"4,keyasint"`
}

// Add counts one more request.
func (r *Refused) Add(p Prompt) {
	tokens := cost(p)
	r.Requests++
	r.Tokens += tokens
	r.Largest = max(r.Largest, tokens)
}

// RefusedElsewhere takes what a gateway refused without asking. It counts as asked for.
func (c *Core) RefusedElsewhere(now time.Time, refused []Refused) {
	for _, r := range refused {
		if r.Team == "" || r.Requests <= 0 || r.Tokens <= 0 {
			continue
		}
		c.ledger.refusedElsewhere(now, r)
		t, slot := c.shares.team(r.Team), c.shares.slot(now)
		t.asked.add(slot, r.Tokens)
		t.refused = slot
	}
}
