package fence

import (
	"time"

	"baobabpaddle/fleet/resource"
)

// Timings of orders.
const (
	// LeaseDuration is how long a lease for one order lasts.
	LeaseDuration = 10 * time.Second
	minBackoff    = time.Second
	maxBackoff    = time.Minute
)

// DesiredPlacement is a placement with the way to its engine.
type DesiredPlacement struct {
	// Version is the placement's resource version.
	Version   uint64
	Placement resource.Placement
	Sidecar   string
	CanFence  bool
}

// Outcome is how an order ended.
type Outcome struct {
	Upstream string
	Version  uint64
	OK       bool
	// NotBefore is when the order may be tried again, when that is known.
	NotBefore time.Time
}

// progress is how far one upstream has come.
type progress struct {
	doneVersion uint64 // version that was carried out
	inFlight    bool
	retryAt     time.Time
	backoff     time.Duration
}

// Planner decides which orders to give. It forgets everything with the lead:
// an order for what an engine has already is harmless.
type Planner struct {
	bytesPerSecond int64
	storeFreeAt    time.Time // when the weight store is free again
	upstreams      map[string]*progress
}

// NewPlanner returns a planner for a weight store of rate bytes per second;
// zero means unlimited.
func NewPlanner(rate int64) *Planner {
	return &Planner{
		bytesPerSecond: rate,
		upstreams:      make(map[string]*progress),
	}
}

// Next returns the orders to give now. A load occupies the weight store for
// its size; the next one waits until the store is free.
func (p *Planner) Next(now time.Time, wanted []DesiredPlacement) []DesiredPlacement {
	var out []DesiredPlacement
	for _, w := range wanted {
		name := w.Placement.Upstream
		u := p.upstreams[name]
		if u == nil {
			u = &progress{}
			p.upstreams[name] = u
		}
		if u.inFlight || u.doneVersion >= w.Version || now.Before(u.retryAt) {
			continue
		}
		if w.Placement.SizeBytes > 0 && p.bytesPerSecond > 0 {
			if now.Before(p.storeFreeAt) {
				continue
			}
			seconds := float64(w.Placement.SizeBytes) / float64(p.bytesPerSecond)
			p.storeFreeAt = now.Add(time.Duration(seconds * float64(time.Second)))
		}
		u.inFlight = true
		out = append(out, w)
	}
	return out
}

// Done takes an order's outcome; a failed one is tried again after a growing pause.
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
