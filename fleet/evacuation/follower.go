package evacuation

import (
	"slices"
	"time"
)

// Scheduler decides where requests are placed.
type Scheduler interface {
	// SetEvacuatedZones sets the zones whose upstreams get no requests. Those of zones that
	// were evacuated before return as cold ones.
	SetEvacuatedZones(now time.Time, zones []string)
	// ReturnZone treats the listed upstreams of a zone as cold from now on.
	ReturnZone(now time.Time, zone string)
}

// Follower applies the newest known Set to a Scheduler. The zero value knows no orders.
type Follower struct {
	newest Set
	// listed reports whether the scheduler has a list of upstreams, and pending are the
	// returns that wait for it.
	listed  bool
	pending []Return
}

// Newest returns the set in force.
func (f *Follower) Newest() Set { return f.newest }

// Apply puts a set in force if it is newer than the present one. It reports whether it is.
// Committed orders are never reverted, so that the larger revision is the newer set
// whichever leader it comes from.
func (f *Follower) Apply(now time.Time, s Scheduler, next Set) bool {
	if next.Revision <= f.newest.Revision {
		return false
	}
	former := f.newest
	f.newest = next
	s.SetEvacuatedZones(now, next.Active)
	for _, r := range next.Returned {
		told := f.listed && slices.Contains(former.Active, r.Zone) // by SetEvacuatedZones
		if r.Revision > former.Revision && !told {
			f.pending = append(f.pending, r)
		}
	}
	f.returnPending(now, s)
	return true
}

// Listed is called after the scheduler has got a list of upstreams. It applies the returns
// of zones that were known before the first list.
func (f *Follower) Listed(now time.Time, s Scheduler) {
	f.listed = true
	f.returnPending(now, s)
}

func (f *Follower) returnPending(now time.Time, s Scheduler) {
	if !f.listed {
		return
	}
	for _, r := range f.pending {
		if now.Sub(r.At) < returnTime {
			s.ReturnZone(now, r.Zone)
		}
	}
	f.pending = nil
}

// Restart applies the set in force to a new Scheduler that has no list of upstreams.
func (f *Follower) Restart(now time.Time, s Scheduler) {
	present := f.newest
	*f = Follower{}
	f.Apply(now, s, present)
}
