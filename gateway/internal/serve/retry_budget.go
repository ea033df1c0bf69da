package serve

import (
	"sync"
	"time"
)

// RetrySettings bound the retries of requests at other upstreams.
type RetrySettings struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries that the whole fleet may make within Window in
	// addition.
	Slack float64
	// Window is the length of the sliding window for both bounds.
	Window time.Duration
}

const (
	// gatewayRatioFraction and gatewaySlackFraction are the fractions of Ratio and Slack
	// that a gateway uses.
	gatewayRatioFraction = 0.7
	gatewaySlackFraction = 0.6
	// budgetBuckets is the number of buckets that a window is divided into.
	budgetBuckets = 20
)

// counts are the requests and retries of one service within one bucket.
type counts struct {
	requests, retries float64
}

// retryBudget bounds the retries of each service within a sliding window. The slack is
// divided evenly among the gateways. It is safe for concurrent use.
type retryBudget struct {
	settings RetrySettings

	mu       sync.Mutex
	services map[string]*[budgetBuckets]counts
	current  int64 // number of the current bucket since the Unix epoch
}

func newRetryBudget(s RetrySettings) *retryBudget {
	return &retryBudget{
		settings: s,
		services: make(map[string]*[budgetBuckets]counts),
	}
}

// serviceWindow advances the window to now, clears the buckets that left it and returns
// the buckets of a service; mu must be held.
func (b *retryBudget) serviceWindow(now time.Time, name string) *[budgetBuckets]counts {
	current := now.UnixNano() / max(int64(b.settings.Window)/budgetBuckets, 1)
	for step := int64(1); step <= min(current-b.current, budgetBuckets); step++ {
		for _, c := range b.services {
			c[(b.current+step)%budgetBuckets] = counts{}
		}
	}
	b.current = max(b.current, current)
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
	b.serviceWindow(now, service)[b.current%budgetBuckets].requests++
	return !known
}

// remaining returns the number of retries of a service that the budget still allows; a
// fraction is not enough for one more.
func (b *retryBudget) remaining(now time.Time, service string, gateways int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remainingIn(b.serviceWindow(now, service), gateways)
}

// remainingIn returns the number of retries that the budget still allows in a window.
func (b *retryBudget) remainingIn(c *[budgetBuckets]counts, gateways int) float64 {
	var sum counts
	for _, bucket := range c {
		sum.requests += bucket.requests
		sum.retries += bucket.retries
	}
	allowed := gatewayRatioFraction*b.settings.Ratio*sum.requests + gatewaySlackFraction*b.settings.Slack/float64(max(gateways, 1))
	return allowed - sum.retries
}

// allowRetry reports whether the budget allows one more retry, and charges it.
func (b *retryBudget) allowRetry(now time.Time, service string, gateways int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.serviceWindow(now, service)
	if b.remainingIn(c, gateways) < 1 {
		return false
	}
	c[b.current%budgetBuckets].retries++
	return true
}
