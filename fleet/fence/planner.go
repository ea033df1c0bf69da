package fence

import (
	"time"

	"baobabpaddle/fleet/resource"
)

// Times of leases and retries of orders.
const (
	// LeaseDuration is the duration of the lease for one order.
	LeaseDuration = 10 * time.Second
	// minBackoff and maxBackoff bound the delay before a failed order is given
	// again; it doubles with each failure.
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// DesiredPlacement is a placement to establish, with the route to its engine.
type DesiredPlacement struct {
	// Version is the placement's resource version.
	Version   uint64
	Placement resource.Placement
	Sidecar   string
	// CanFence is true when the engine itself refuses old fencing tokens.
	CanFence bool
}

// Outcome is the result of an order.
type Outcome struct {
	Upstream string
	Version  uint64
	// OK is true when the order was carried out.
	OK bool
	// NotBefore is when a failed order may be given again. Zero means after the
	// backoff.
	NotBefore time.Time
}

// progress is the state of the orders for one upstream.
type progress struct {
	doneVersion uint64 // highest version that was carried out
	inFlight    bool
	retryAt     time.Time
	backoff     time.Duration
}

// Planner decides which orders to give. It lives as long as the controller's
// leadership. The next leader's planner starts empty, which is harmless: an order
// for a placement that an engine already has changes nothing.
type Planner struct {
	bytesPerSecond int64
	storeFreeAt    time.Time // when the last ordered load from the weight store ends
	upstreams      map[string]*progress
}

// NewPlanner returns a planner for a weight store that delivers bytesPerSecond
// bytes per second; zero means unlimited.
func NewPlanner(bytesPerSecond int64) *Planner {
	return &Planner{
		bytesPerSecond: bytesPerSecond,
		upstreams:      make(map[string]*progress),
	}
}

// Next returns the placements for which to give an order now. Loads from the
// weight store are serialized: each is assumed to take its size divided by the
// store's rate, and the next one is held back until then.
func (p *Planner) Next(now time.Time, desired []DesiredPlacement) []DesiredPlacement {
	var out []DesiredPlacement
	for _, d := range desired {
		name := d.Placement.Upstream
		u := p.upstreams[name]
		if u == nil {
			u = &progress{}
			p.upstreams[name] = u
		}
		if u.inFlight || u.doneVersion >= d.Version || now.Before(u.retryAt) {
			continue
		}
		if d.Placement.SizeBytes > 0 && p.bytesPerSecond > 0 {
			if now.Before(p.storeFreeAt) {
				continue
			}
			seconds := float64(d.Placement.SizeBytes) / float64(p.bytesPerSecond)
			p.storeFreeAt = now.Add(time.Duration(seconds * float64(time.Second)))
		}
		u.inFlight = true
		out = append(out, d)
	}
	return out
}

// Done records the outcome of an order. A failed order becomes due again at
// NotBefore or after an exponential backoff.
func (p *Planner) Done(now time.Time, o Outcome) {
	u := p.upstreams[o.Upstream]
	if u == nil {
		return
	}
	u.inFlight = false
	if o.OK {
		u.doneVersion = max(u.doneVersion, o.Version)
		u.backoff = 0
		return
	}
	if !o.NotBefore.IsZero() {
		u.retryAt = o.NotBefore
		return
	}
	u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
	u.retryAt = now.Add(u.backoff)
}
