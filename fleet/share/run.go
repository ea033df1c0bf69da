package share

import (
	"slices"
	"time"
)

// runState is the stage that a granted request has reached.
type runState uint8

const (
	runGranted runState = iota
	runArrived
	runStarted
)

// run is a granted, arrived or running request.
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
	prefetched bool // granted on a prefetched slot
	newcomer   bool // granted at once by grantNewcomers
	// idempotent requests may wait at the sidecar for others to start first.
	idempotent bool
}

// newRun reserves a slot for a run and charges its reserve to the team. The run has no
// number until register is called.
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

// reserve returns what a new run is charged beyond its service: Reserve, or the mean
// cost of a run if that is less.
func (q *Queue) reserve() int64 {
	if q.runCost == 0 {
		return q.settings.Reserve
	}
	return min(q.settings.Reserve, int64(q.runCost)+1)
}

// register assigns a run the next number and returns it.
func (q *Queue) register(r *run) uint64 {
	q.nextID++
	r.id = q.nextID
	q.runs[r.id] = r
	return r.id
}

// Arrive records that the request of a grant has arrived. It returns false if the grant
// does not exist, was released or is already used, or if its upstream was removed.
func (q *Queue) Arrive(now time.Time, id uint64, idempotent bool) bool {
	r := q.runs[id]
	if r == nil || r.state != runGranted || r.upstream.removed {
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

// ewma returns the exponentially weighted moving average after a sample; an old value of
// zero means that there was no sample yet.
func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old*ewmaDecay + sample*(1-ewmaDecay)
}

// StartNext marks the next arrived request that may run now as started and returns its
// number; it returns false when there is none. An upstream that is leaving still runs
// requests that have arrived.
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

// stopWaiting removes the run from its upstream's counts of waiting non-idempotent
// requests and of newcomers.
func (r *run) stopWaiting() {
	if r.state == runArrived && !r.idempotent {
		r.upstream.nonIdempotent--
	}
	if r.newcomer {
		r.newcomer = false
		r.upstream.newcomers--
	}
}

// firstArrived returns the position of the arrived request to start next: the oldest
// non-idempotent one, or else the oldest of the team with the least virtual service.
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

// RecordService charges a run for the service that it has received so far, in units of
// cost since its start.
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

// Finish ends a run and settles its charge to its final cost.
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

// Release ends a grant that was not used, or a run that never reached its upstream. The
// team's charge for it is refunded.
func (q *Queue) Release(now time.Time, id uint64) {
	if r := q.runs[id]; r != nil {
		q.removeRun(now, r, 0)
	}
}

// removeRun removes a run, frees its slot and settles the team's charge to cost.
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
	q.deleteUnused(r.upstream)
}

// Decline releases granted slots that the gateway returns. Numbers that are not unused
// grants of this gateway are ignored.
func (q *Queue) Decline(now time.Time, gateway string, d Decline) {
	for i := range 1 + min(max(d.ExtraSlots, 0), len(q.runs)) {
		id := d.ID + uint64(i)
		if r := q.runs[id]; r != nil && r.state == runGranted && r.gateway == gateway {
			q.Release(now, id)
		}
	}
}

// UpstreamOf returns the upstream of a granted, arrived or running request, or zero.
func (q *Queue) UpstreamOf(id uint64) UpstreamID {
	if r := q.runs[id]; r != nil {
		return r.upstream.id
	}
	return 0
}
