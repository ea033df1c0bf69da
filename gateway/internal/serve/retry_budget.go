package serve

import (
	"sync"
	"time"
)

// RetrySettings bound what requests may be sent to a second upstream.
type RetrySettings struct {
	// Ratio is how many retries are allowed for each request.
	Ratio float64
	// Slack is how many more the whole fleet may make within Window.
	Slack float64
	// Window is the span over which both count.
	Window time.Duration
}

// Parts of the bounds that a gateway uses by itself.
const (
	gatewayRatioFraction = 0.7
	gatewaySlackFraction = 0.6
	// budgetBuckets is how many parts a window has.
	budgetBuckets = 20
)

// counts are the requests and retries of one service within a bucket.
type counts struct {
	requests, retries float64
}

// retryBudget bounds the retries of each service within a sliding window. The
// fleet's slack is divided evenly among the gateways.
type retryBudget struct {
	settings RetrySettings

	mu       sync.Mutex
	services map[string]*[budgetBuckets]counts
	slot     int64
}

func newRetryBudget(s RetrySettings) *retryBudget {
	return &retryBudget{
		settings: s,
		services: make(map[string]*[budgetBuckets]counts),
	}
}

// serviceWindow returns the counts of a service, with old buckets cleared.
func (b *retryBudget) serviceWindow(now time.Time, name string) *[budgetBuckets]counts {
	slot := now.UnixNano() / max(int64(b.settings.Window)/budgetBuckets, 1)
	for step := int64(1); step <= min(slot-b.slot, budgetBuckets); step++ {
		for _, c := range b.services {
			c[(b.slot+step)%budgetBuckets] = counts{}
		}
	}
	b.slot = max(b.slot, slot)
	if b.services[name] == nil {
		b.services[name] = &[budgetBuckets]counts{}
	}
	return b.services[name]
}

// recordRequest counts a caller's request and reports whether it is the first one for
// the service.
func (b *retryBudget) recordRequest(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.services[service] != nil
	b.serviceWindow(now, service)[b.slot%budgetBuckets].requests++
	return !known
}

// remaining returns how many more retries of a service are within the budget.
func (b *retryBudget) remaining(now time.Time, service string, gateways int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remainingIn(b.serviceWindow(now, service), gateways)
}

// remainingIn returns how many more retries are within the budget.
func (b *retryBudget) remainingIn(c *[budgetBuckets]counts, gateways int) float64 {
	var sum counts
	for _, bucket := range c {
		sum.requests += bucket.requests
		sum.retries += bucket.retries
	}
	allowed := gatewayRatioFraction*b.settings.Ratio*sum.requests + gatewaySlackFraction*b.settings.Slack/float64(max(gateways, 1))
	return allowed - sum.retries
}

// allowRetry reports whether one more retry is within the budget, and counts it.
func (b *retryBudget) allowRetry(now time.Time, service string, gateways int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.serviceWindow(now, service)
	if b.remainingIn(c, gateways) < 1 {
		return false
	}
	c[b.slot%budgetBuckets].retries++
	return true
}
