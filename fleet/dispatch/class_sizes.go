package dispatch

import (
	"math"
	"time"
)

// Figures of sizes.
const (
	// sizeWeight is the weight of a new request in its class's mean size.
	sizeWeight = 0.02
	// quantileStep moves the estimated bounds of sizes, in parts of themselves.
	quantileStep = 0.02
	// countDecay is the time in which the counts of a class fade to a third.
	countDecay = 8 * time.Second
	// minEvenRatio is the part of the whole class's chance below which the requests of
	// a size are treated as if they were smaller.
	minEvenRatio = 0.9
	// zeroCostRatio is the part of the class's chance at which they count as nothing,
	// and below which they go before others.
	zeroCostRatio = 0.68
)

// sizeBounds are the quantiles that part the sizes of a class: the largest tenth,
// the fifth below it, and the rest.
var sizeBounds = [...]float64{0.7, 0.9}

// counts counts requests; the counts fade with time.
type counts struct {
	requested, admitted float64
}

// classSizes is what is known of the sizes of one kind of request.
type classSizes struct {
	mean      float64 // prompt tokens to be read
	bounds    [len(sizeBounds)]float64
	total     counts
	groups    [len(sizeBounds) + 1]counts
	decayedAt time.Time
}

// observe counts a request whose prompt has a size and returns how many tokens to be
// read decide about it: unread, or less while requests of about its size are
// refused more often than the others of their class; the result may be negative.
func (c *classSizes) observe(now time.Time, size, unread float64) float64 {
	if c.mean == 0 {
		c.mean = unread
		c.decayedAt = now
		for i := range c.bounds {
			c.bounds[i] = size
		}
	}
	c.mean += sizeWeight * (unread - c.mean)
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
		return unread
	}
	chance := c.groups[group].admitted / c.groups[group].requested / (c.total.admitted / c.total.requested)
	if chance >= minEvenRatio {
		return unread
	}
	return min(unread, c.mean) * (chance - zeroCostRatio) / (minEvenRatio - zeroCostRatio)
}

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

// group returns the number of the part of the sizes that a request belongs to.
func (c *classSizes) group(size float64) int {
	for i, bound := range c.bounds {
		if size <= bound {
			return i
		}
	}
	return len(c.bounds)
}

// admit counts a request that was given a place.
func (c *classSizes) admit(size float64) {
	c.total.admitted++
	c.groups[c.group(size)].admitted++
}
