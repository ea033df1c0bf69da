package dispatch

import (
	"slices"
	"time"
)

// held is a request that waits for a place, for a small part of its objective: the
// engines or its team's share may have room again before the caller could return.
type held struct {
	gateway  string
	request  Request
	deadline time.Time
}

// Answer is a decision for a gateway.
type Answer struct {
	Gateway  string
	Decision Decision
}

// Holds reports whether requests wait for a place, so that Poll is to be called.
func (c *Core) Holds() bool { return len(c.held) > 0 }

// Poll decides on requests that wait, as far as there is room or their time is
// over. Of the teams, those that were given least go first.
func (c *Core) Poll(now time.Time) []Answer {
	if len(c.held) == 0 {
		return nil
	}
	slices.SortStableFunc(c.held, func(a, b held) int {
		x, y := c.received(a.request.Team), c.received(b.request.Team)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	var out []Answer
	kept := c.held[:0]
	for _, h := range c.held {
		d := c.placeModel(now, h.gateway, h.request)
		if d.Upstream == "" && now.Before(h.deadline) {
			kept = append(kept, h)
			continue
		}
		out = append(out, Answer{
			Gateway:  h.gateway,
			Decision: d,
		})
	}
	c.held = kept
	return out
}

// received returns what a team was admitted within the window.
func (c *Core) received(team string) float64 {
	if t := c.shares.teams[team]; t != nil {
		return t.admitted.total
	}
	return 0
}

// release forgets a request that waits.
func (c *Core) release(key Key) {
	c.held = slices.DeleteFunc(c.held, func(h held) bool {
		return h.gateway == key.Gateway && h.request.ID == key.ID
	})
}
