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
	// sizeMemory is the time in which the counts of a class fade to a third.
	sizeMemory = 8 * time.Second
	// evenPart is the part of the whole class's chance below which the requests of
	// a size are treated as if they were smaller.
	evenPart = 0.9
	// leastPart is the part of the class's chance at which they count as nothing,
	// and below which they go before others.
	leastPart = 0.68
)

// sizeBounds are the quantiles that part the sizes of a class: the largest tenth,
// the fifth below it, and the rest.
var sizeBounds = [...]float64{0.7, 0.9}

// tally counts requests; the counts fade with time.
type tally struct {
	asked, admitted float64
}

// class is what is known of the sizes of one kind of request.
type class struct {
	mean   float64 // prompt tokens to be read
	bounds [len(sizeBounds)]float64
	all    tally
	sizes  [len(sizeBounds) + 1]tally
	faded  time.Time
}

// see counts a request whose prompt has a size and returns how many tokens to be
// read decide about it: unread, or less while requests of about its size are
// refused more often than the others of their class; the result may be negative.
func (c *class) see(now time.Time, size, unread float64) float64 {
	if c.mean == 0 {
		c.mean = unread
		c.faded = now
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
	c.fade(now)
	c.all.asked++
	group := c.group(size)
	c.sizes[group].asked++
	if c.all.admitted == 0 || group == 0 {
		return unread
	}
	chance := c.sizes[group].admitted / c.sizes[group].asked / (c.all.admitted / c.all.asked)
	if chance >= evenPart {
		return unread
	}
	return min(unread, c.mean) * (chance - leastPart) / (evenPart - leastPart)
}

func (c *class) fade(now time.Time) {
	factor := math.Exp(-now.Sub(c.faded).Seconds() / sizeMemory.Seconds())
	c.faded = now
	c.all.asked *= factor
	c.all.admitted *= factor
	for i := range c.sizes {
		c.sizes[i].asked *= factor
		c.sizes[i].admitted *= factor
	}
}

// group returns the number of the part of the sizes that a request belongs to.
func (c *class) group(size float64) int {
	for i, bound := range c.bounds {
		if size <= bound {
			return i
		}
	}
	return len(c.bounds)
}

// admit counts a request that was given a place.
func (c *class) admit(size float64) {
	c.all.admitted++
	c.sizes[c.group(size)].admitted++
}
