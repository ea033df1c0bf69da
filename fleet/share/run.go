package share

import (
	"slices"
	"time"
)

// runState is how far a granted request has come.
type runState uint8

const (
	runGranted runState = iota
	runArrived
	runStarted
)

// run is one granted, arrived or running request.
type run struct {
	id         uint64
	team       *team
	gateway    string
	upstream   *upstream
	state      runState
	reserve    int64
	charged    int64
	granted    time.Time
	deadline   time.Time
	started    time.Time
	prefetched bool // granted ahead of time
	newcomer   bool // granted beyond the stock
	// idempotent runs may wait for others.
	idempotent bool
}

// newRun reserves a place; number gives it its name.
func (q *Queue) newRun(now time.Time, t *team, gateway string, u *upstream) *run {
	r := &run{
		team:     t,
		gateway:  gateway,
		upstream: u,
		granted:  now,
		deadline: now.Add(q.settings.GrantTimeout),
	}
	u.granted++
	t.running++
	r.reserve = q.reserve()
	r.charged = r.reserve
	q.charge(now, t, r.charged)
	return r
}

// reserve returns what a new run is charged beyond its service: Reserve, or the
// mean cost where that is less.
func (q *Queue) reserve() int64 {
	if q.runCost == 0 {
		return q.settings.Reserve
	}
	return min(q.settings.Reserve, int64(q.runCost)+1)
}

// register gives a run the next register as its name.
func (q *Queue) register(r *run) uint64 {
	q.nextID++
	r.id = q.nextID
	q.runs[r.id] = r
	return r.id
}

// Arrive tells that the request of a grant is here. It returns false for a grant
// that is not or no longer in force.
func (q *Queue) Arrive(now time.Time, id uint64, idempotent bool) bool {
	r := q.runs[id]
	if r == nil || r.state != runGranted {
		return false
	}
	r.state = runArrived
	r.idempotent = idempotent
	q.idempotentShare *= ewmaDecay
	if idempotent {
		q.idempotentShare += 1 - ewmaDecay
	} else {
		r.upstream.nonIdempotent++
	}
	q.grantLatency = ewma(q.grantLatency, now.Sub(r.granted).Seconds())
	r.upstream.arrived = append(r.upstream.arrived, id)
	return true
}

func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old*ewmaDecay + sample*(1-ewmaDecay)
}

// StartNext returns the next arrived request that has a place now and marks it
// started; false when there is none. A leaving upstream still runs what arrived.
func (q *Queue) StartNext(now time.Time) (uint64, bool) {
	for _, u := range q.upstreams {
		if len(u.arrived) == 0 || u.running >= u.limit.Value() {
			continue
		}
		i := q.firstArrived(u)
		id := u.arrived[i]
		u.arrived = slices.Delete(u.arrived, i, i+1)
		r := q.runs[id]
		r.stopWaiting()
		r.state = runStarted
		r.started = now
		u.granted--
		u.running++
		return id, true
	}
	return 0, false
}

// stopWaiting tells the upstream that a run no longer waits.
func (r *run) stopWaiting() {
	if r.state == runArrived && !r.idempotent {
		r.upstream.nonIdempotent--
	}
	if r.newcomer {
		r.newcomer = false
		r.upstream.newcomers--
	}
}

// firstArrived returns the position of the arrived request that goes first: the
// oldest that may not be repeated, or else the oldest of the team with the least
// service.
func (q *Queue) firstArrived(u *upstream) int {
	first := 0
	if q.settings.Order == OrderArrival {
		return first
	}
	for i, id := range u.arrived {
		r := q.runs[id]
		if !r.idempotent {
			return i
		}
		if r.team.virtual() < q.runs[u.arrived[first]].team.virtual() {
			first = i
		}
	}
	return first
}

// RecordService tells how much service a run has received so far.
func (q *Queue) RecordService(now time.Time, id uint64, units int64) {
	r := q.runs[id]
	if r == nil {
		return
	}
	if more := units + r.reserve - r.charged; more > 0 {
		r.charged += more
		q.charge(now, r.team, more)
	}
}

// Finish ends a run and settles its charge to the cost.
func (q *Queue) Finish(now time.Time, id uint64, cost int64) {
	r := q.runs[id]
	if r == nil {
		return
	}
	if r.state == runStarted {
		u := r.upstream
		u.limit.Finished(now, u.running >= u.limit.Value())
		q.runDuration = ewma(q.runDuration, now.Sub(r.started).Seconds())
		q.runCost = ewma(q.runCost, float64(cost))
	}
	q.removeRun(now, r, cost)
}

// Release takes back a grant, or a run that never reached its upstream; the
// team is not charged.
func (q *Queue) Release(now time.Time, id uint64) {
	if r := q.runs[id]; r != nil {
		q.removeRun(now, r, 0)
	}
}

func (q *Queue) removeRun(now time.Time, r *run, cost int64) {
	delete(q.runs, r.id)
	r.stopWaiting()
	r.team.running--
	if r.state == runStarted {
		r.upstream.running--
	} else {
		r.upstream.granted--
		r.upstream.arrived = slices.DeleteFunc(r.upstream.arrived, func(id uint64) bool { return id == r.id })
	}
	q.charge(now, r.team, cost-r.charged)
}

// Decline takes back granted places that the gateway does not need.
func (q *Queue) Decline(now time.Time, gateway string, d Decline) {
	for i := range 1 + min(max(d.ExtraSlots, 0), len(q.runs)) {
		id := d.ID + uint64(i)
		if r := q.runs[id]; r != nil && r.state == runGranted && r.gateway == gateway {
			q.Release(now, id)
		}
	}
}

// UpstreamOf returns the upstream of a granted or running request, or zero.
func (q *Queue) UpstreamOf(id uint64) UpstreamID {
	if r := q.runs[id]; r != nil {
		return r.upstream.id
	}
	return 0
}
