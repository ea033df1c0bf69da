package dispatch

import "time"

// GatewayRefusals is what a gateway refused of one team without asking.
type GatewayRefusals struct {
	Team     string  `cbor:"1,keyasint"`
	Requests int     `cbor:"2,keyasint"`
	Tokens   float64 `cbor:"3,keyasint"`
	// Largest is the largest of these requests, in tokens.
	Largest float64 `cbor:"4,keyasint"`
}

// Add counts one more request.
func (r *GatewayRefusals) Add(p Prompt) {
	tokens := cost(p)
	r.Requests++
	r.Tokens += tokens
	r.Largest = max(r.Largest, tokens)
}

// RecordGatewayRefusals takes what a gateway refused without asking. It counts as asked for.
func (c *Scheduler) RecordGatewayRefusals(now time.Time, refused []GatewayRefusals) {
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
