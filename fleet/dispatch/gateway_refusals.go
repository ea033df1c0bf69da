package dispatch

import "time"

// GatewayRefusals counts the requests of one team that a gateway refused without asking
// the leader.
type GatewayRefusals struct {
	Team     string  `cbor:"1,keyasint"`
	Requests int     `cbor:"2,keyasint"`
	Tokens   float64 `cbor:"3,keyasint"`
	// Largest is the token cost of the largest of these requests.
	Largest float64 `cbor:"4,keyasint"`
}

// Add counts a refused request with the given prompt.
func (r *GatewayRefusals) Add(p Prompt) {
	tokens := tokenCost(p)
	r.Requests++
	r.Tokens += tokens
	r.Largest = max(r.Largest, tokens)
}

// RecordGatewayRefusals adds requests that a gateway refused without asking to their teams'
// demand and marks these teams as backlogged. Entries without a team, requests or tokens
// are ignored.
func (s *Scheduler) RecordGatewayRefusals(now time.Time, refused []GatewayRefusals) {
	for _, r := range refused {
		if r.Team == "" || r.Requests <= 0 || r.Tokens <= 0 {
			continue
		}
		s.ledger.refusedByGateway(now, r)
		t, bucket := s.shares.team(r.Team), s.shares.bucketAt(now)
		t.demand.add(bucket, r.Tokens)
		t.lastRefused = bucket
	}
}
