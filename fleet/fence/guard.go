package fence

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of a Guard.
var (
	ErrStaleToken   = merry.Sentinel("a newer order was given already")
	ErrLeaseExpired = merry.Sentinel("the order's lease has run out")
)

// Guard lets only the newest orders through to the engines behind a sidecar.
type Guard struct {
	tokens map[string]uint64
}

// NewGuard returns a guard that has seen no order.
func NewGuard() *Guard {
	return &Guard{
		tokens: make(map[string]uint64),
	}
}

// Admit decides on an order. The same number is admitted again, since an order
// whose answer was lost is given again.
func (g *Guard) Admit(now time.Time, upstream string, number uint64, deadline time.Time) error {
	if number < g.tokens[upstream] {
		return ErrStaleToken
	}
	if !now.Before(deadline) {
		return ErrLeaseExpired
	}
	g.tokens[upstream] = number
	return nil
}
