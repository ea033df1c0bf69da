package dispatch

import (
	"math"
	"time"
)

// Figures of sizes.
const (
	// sizeWeight is the weight of a new request in its class's mean size.
	sizeWeight = 0.02
	// largePart is the part of a class's requests that are not large.
	largePart = 0.8
	// quantileStep moves the estimated bound of the large ones, in parts of itself.
	quantileStep = 0.02
	// sizeMemory is the time in which the counts of a class fade to a third.
	sizeMemory = 8 * time.Second
	// evenPart is the part of the whole class's chance below which the large
	// requests are treated as if they were of the usual size.
	evenPart = 0.8
)

// tally counts requests that fade with time.
type tally struct {
	asked, admitted float64
}

// class is what is known of the sizes of one kind of request.
type class struct {
	mean  float64 // prompt tokens to be read
	large float64 // the bound above which a request is large
	all   tally
	big   tally
	faded time.Time
}

// see counts a request of a size and returns the size that decides about it: its
// own, or the usual one while the large ones of its class are refused more often
// than the others.
func (c *class) see(now time.Time, unread float64) float64 {
	if c.mean == 0 {
		c.mean = unread
		c.large = unread
		c.faded = now
	}
	c.mean += sizeWeight * (unread - c.mean)
	if unread > c.large {
		c.large *= 1 + quantileStep*largePart
	} else {
		c.large *= 1 - quantileStep*(1-largePart)
	}
	fade := math.Exp(-now.Sub(c.faded).Seconds() / sizeMemory.Seconds())
	c.faded = now
	for _, t := range []*tally{&c.all, &c.big} {
		t.asked *= fade
		t.admitted *= fade
	}
	c.all.asked++
	if unread > c.large {
		c.big.asked++
		if c.uneven() {
			return min(unread, c.mean)
		}
	}
	return unread
}

// uneven reports whether the large requests have less than their chance.
func (c *class) uneven() bool {
	return c.big.admitted*c.all.asked < evenPart*c.all.admitted*c.big.asked
}

// admit counts a request that was given a place.
func (c *class) admit(unread float64) {
	c.all.admitted++
	if unread > c.large {
		c.big.admitted++
	}
}
