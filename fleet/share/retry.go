package share

// Constants of the retry budget, in tenths of a retry.
const (
	retryCost  = 10
	retryBurst = 100
)

// RetryBudget limits a team's retries to one for every ten requests, with a burst of ten,
// so that failures do not multiply load. The zero value allows the full burst.
type RetryBudget struct {
	spent int
}

// Request records a request, which earns a tenth of a retry.
func (b *RetryBudget) Request() { b.spent = max(0, b.spent-1) }

// Take reports whether one more retry is allowed, and if so spends it.
func (b *RetryBudget) Take() bool {
	if b.spent+retryCost > retryBurst {
		return false
	}
	b.spent += retryCost
	return true
}
