package dispatch

import (
	"math"
	"time"
)

// Constants of the statistics of request sizes. They keep large requests from starvation:
// an admission bound on the queue admits small requests more often than large ones.
const (
	// sizeWeight is the weight of a request in the moving average of its class.
	sizeWeight = 0.02
	// quantileStep is the step of the quantile estimates, relative to their values.
	quantileStep = 0.02
	// countDecay is the time constant with which the counts of a class decay.
	countDecay = 8 * time.Second
	// minEvenRatio is the ratio of a size group's admission rate to that of its class
	// below which requests of the group are treated as smaller.
	minEvenRatio = 0.9
	// zeroCostRatio is the ratio at which such requests count as having no tokens. Below
	// it the count is negative, which puts them before other requests.
	zeroCostRatio = 0.68
)

// sizeBounds are the quantiles that divide the sizes of a class into groups: the largest
// tenth, the fifth below it, and the rest.
var sizeBounds = [...]float64{0.7, 0.9}

// counts holds exponentially decaying numbers of requests.
type counts struct {
	requested, admitted float64
}

// classSizes holds statistics of the sizes of one class of requests and of their admission
// rates.
type classSizes struct {
	mean      float64                  // uncached prompt tokens
	bounds    [len(sizeBounds)]float64 // estimated quantiles of the prompt tokens
	total     counts
	groups    [len(sizeBounds) + 1]counts // by size, the smallest first
	decayedAt time.Time
}

// observe counts a request with size prompt tokens, of which uncached are to be prefilled.
// It returns the number of tokens that the admission decision uses: uncached, or less
// while requests of its size group are admitted less often than the class as a whole. The
// result may be negative.
func (c *classSizes) observe(now time.Time, size, uncached float64) float64 {
	if c.mean == 0 {
		c.mean = uncached
		c.decayedAt = now
		for i := range c.bounds {
			c.bounds[i] = size
		}
	}
	c.mean += sizeWeight * (uncached - c.mean)
	for i, quantile := range sizeBounds {
		if size > c.bounds[i] {
			c.bounds[i] *= 1 + quantileStep*quantile
		} else {
			c.bounds[i] *= 1 - quantileStep*(1-quantile)
		}
	}
	c.decay(now)
	c.total.requested++
	group := c.group(size)
	c.groups[group].requested++
	if c.total.admitted == 0 || group == 0 {
		return uncached
	}
	ratio := c.groups[group].admitted / c.groups[group].requested / (c.total.admitted / c.total.requested)
	if ratio >= minEvenRatio {
		return uncached
	}
	return min(uncached, c.mean) * (ratio - zeroCostRatio) / (minEvenRatio - zeroCostRatio)
}

// decay reduces all counts by the time that has passed since the last decay.
func (c *classSizes) decay(now time.Time) {
	factor := math.Exp(-now.Sub(c.decayedAt).Seconds() / countDecay.Seconds())
	c.decayedAt = now
	c.total.requested *= factor
	c.total.admitted *= factor
	for i := range c.groups {
		c.groups[i].requested *= factor
		c.groups[i].admitted *= factor
	}
}

// group returns the index of the size group of a request.
func (c *classSizes) group(size float64) int {
	for i, bound := range c.bounds {
		if size <= bound {
			return i
		}
	}
	return len(c.bounds)
}

// admit counts a request that was placed.
func (c *classSizes) admit(size float64) {
	c.total.admitted++
	c.groups[c.group(size)].admitted++
}
