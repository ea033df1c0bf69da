package share

import (
	"time"
)

// Defaults of a Queue.
const (
	DefaultReportAge       = 500 * time.Millisecond
	DefaultReportThreshold = 2000
	DefaultGrantTimeout    = 2 * time.Second
	DefaultReserve         = 64
	// forgetTeamsInterval is the interval at which idle teams are removed.
	forgetTeamsInterval = 10 * time.Minute
	// newTeamReportDelay is how long the report of a team that began to wait may be
	// delayed.
	newTeamReportDelay = 50 * time.Millisecond
	// refreshInterval is how often the totals of the next teams are requested.
	refreshInterval = time.Second
	// totalsStaleAfter is the age from which totals are stale, so that a team that
	// begins to wait also takes the counter of the first team in the queue as its floor.
	totalsStaleAfter = 5 * time.Second
	ewmaDecay        = 0.9
	// intermittentCredit is how far the counter of a team that asks for less than its
	// share may be behind those of the backlogged teams, in units of cost per weight.
	intermittentCredit = 600
)

// Order is the rule by which a Queue selects the next team.
type Order uint8

// The orders that a Queue supports.
const (
	// OrderFair selects the team with the least service per weight.
	OrderFair Order = iota
	// OrderArrival selects the team that has waited longest, as a baseline for
	// comparison.
	OrderArrival
)

// QueueSettings configures a Queue. Zero fields take the defaults above.
type QueueSettings struct {
	Service ServiceID
	Order   Order
	// ReportAge is the longest time that a changed counter stays unreported.
	ReportAge time.Duration
	// ReportThreshold is the unreported service per changed team, in units of cost,
	// at which a report is due before ReportAge.
	ReportThreshold int64
	// GrantTimeout is how long a grant may stay unused.
	GrantTimeout time.Duration
	// Reserve is what a request is charged from its grant to its end, in units of
	// cost, beyond the service it receives. It makes occupied slots count, so that a
	// team does not take more than its share of them before their service is charged.
	// Where the mean cost of a run is less, that is charged instead.
	Reserve int64
	// PipelineFactor scales the number of slots that are granted before they are
	// free, to cover the time that a grant travels: 0 grants none, 1 as many as
	// become free in that time.
	PipelineFactor float64
}

func (s *QueueSettings) fill() {
	if s.ReportAge == 0 {
		s.ReportAge = DefaultReportAge
	}
	if s.ReportThreshold == 0 {
		s.ReportThreshold = DefaultReportThreshold
	}
	if s.GrantTimeout == 0 {
		s.GrantTimeout = DefaultGrantTimeout
	}
	if s.Reserve == 0 {
		s.Reserve = DefaultReserve
	}
}

// Queue decides which team's request runs next on the upstreams of one service
// behind one sidecar. It is driven by SetDemand, Arrive and Finish; IssueGrants and
// StartNext return its decisions.
type Queue struct {
	settings  QueueSettings
	teams     map[TeamID]*team
	heap      teamHeap
	upstreams []*upstream
	runs      map[uint64]*run
	weights   func(team TeamID) float64

	nextID             uint64
	lastArrival        uint64
	epoch              uint32
	virtualTime        float64
	totalsAt           time.Time // when the last totals were received
	unreported         int64
	dirtySince         time.Time
	earlyReportAt      time.Time
	dirty              map[TeamID]*team
	capacityAdvertised map[string]bool
	grantLatency       float64 // mean seconds from grant to arrival
	runDuration        float64 // mean seconds from start to end
	runCost            float64 // mean cost of a run
	bodyBytes          float64 // mean size of an arrived body
	idempotentShare    float64 // fraction of arrived requests that are idempotent
	newcomers          []*team // teams that began to wait with few runs outstanding
	newRuns            []*run  // buffer reused by IssueGrants
	nextForget         time.Time
	nextRefresh        time.Time
}

// NewQueue returns an empty queue. The function weights returns a team's weight; it is
// called when the team is first seen and on SetWeight. A weight that is not positive
// counts as 1.
func NewQueue(settings QueueSettings, weights func(team TeamID) float64) *Queue {
	settings.fill()
	return &Queue{
		settings: settings,
		teams:    make(map[TeamID]*team),
		heap: teamHeap{
			byArrival: settings.Order == OrderArrival,
		},
		runs:               make(map[uint64]*run),
		weights:            weights,
		dirty:              make(map[TeamID]*team),
		capacityAdvertised: make(map[string]bool),
	}
}

// SetWeight reads the team's weight again and applies it to service charged from now on.
func (q *Queue) SetWeight(id TeamID) {
	t := q.teams[id]
	if t == nil {
		return
	}
	// Service received under the old weight keeps its value.
	t.knownVirtual += float64(t.localService-t.knownLocal) / t.weight
	t.knownLocal = t.localService
	t.weight = q.weight(id)
	q.heap.fix(t)
}

func (q *Queue) weight(id TeamID) float64 {
	if w := q.weights(id); w > 0 {
		return w
	}
	return 1
}

// Waiting returns how many requests are known to wait at gateways.
func (q *Queue) Waiting() int {
	n := 0
	for _, t := range q.heap.teams {
		n += t.waiting
	}
	return n
}

// Running returns how many requests run on all upstreams.
func (q *Queue) Running() int {
	n := 0
	for _, u := range q.upstreams {
		n += u.running
	}
	return n
}

// Outstanding returns how many requests are granted, arrived or running.
func (q *Queue) Outstanding() int { return len(q.runs) }

// Free returns how many slots are neither granted nor in use.
func (q *Queue) Free() int {
	n := 0
	for _, u := range q.upstreams {
		n += u.free()
	}
	return n
}

func (q *Queue) team(id TeamID) *team {
	if t := q.teams[id]; t != nil {
		return t
	}
	q.epoch++
	t := &team{
		id:           id,
		weight:       q.weight(id),
		epoch:        q.epoch,
		knownVirtual: q.virtualTime,
		heapIndex:    -1,
	}
	q.teams[id] = t
	return t
}

// SetDemand records how many requests of a team wait at a gateway.
func (q *Queue) SetDemand(now time.Time, gateway string, d Demand) {
	t := q.team(d.Team)
	was, recent := t.waiting, t.waitTime.waitedRecently(now)
	t.setDemand(gateway, max(d.Count, 0))
	q.updateWaitTime(now, t)
	if was == 0 && t.waiting > 0 {
		q.lastArrival++
		t.arrivalOrder = q.lastArrival
		q.raiseVirtual(t, q.virtualFloor(now), recent)
		q.markWaiting(now, t)
		if t.running < maxNewcomerRuns {
			q.newcomers = append(q.newcomers, t)
		}
	}
	q.heap.fix(t)
}

// raiseVirtual raises the counter of a team that begins to wait to floor until the
// accountant has answered. If recent is true the team has waited recently, as teams that
// wait intermittently have, and stays up to intermittentCredit below floor. A team with
// outstanding runs is left as it is.
func (q *Queue) raiseVirtual(t *team, floor float64, recent bool) {
	if recent {
		floor -= intermittentCredit
	}
	if t.running == 0 && t.virtual() < floor {
		t.knownVirtual += floor - t.virtual()
	}
}

// virtualFloor returns the least virtual service that a team starts with until the
// accountant has answered: the fleet's virtual time or, when the last totals are stale,
// the greater of it and the counter of the first team in the queue.
func (q *Queue) virtualFloor(now time.Time) float64 {
	if len(q.heap.teams) == 0 || now.Sub(q.totalsAt) < totalsStaleAfter {
		return q.virtualTime
	}
	return max(q.virtualTime, q.heap.teams[0].virtual())
}

func (q *Queue) markWaiting(now time.Time, t *team) {
	if !t.waited {
		t.waited = true
		q.markDirty(now, t)
		if early := now.Add(newTeamReportDelay); q.earlyReportAt.IsZero() || early.Before(q.earlyReportAt) {
			q.earlyReportAt = early
		}
	}
}

// updateWaitTime records whether a team waits now. A team that was reported as waiting
// and no longer waits is marked for the next report.
func (q *Queue) updateWaitTime(now time.Time, t *team) {
	t.waitTime.set(now, t.waiting > 0)
	if t.waiting == 0 && t.reportedWaiting {
		q.markDirty(now, t)
	}
}

func (q *Queue) markDirty(now time.Time, t *team) {
	if len(q.dirty) == 0 {
		q.dirtySince = now
	}
	q.dirty[t.id] = t
}

// DropGateway removes the demands of a gateway whose link was lost and releases the
// grants that it has not used.
func (q *Queue) DropGateway(now time.Time, gateway string) {
	for _, t := range q.teams {
		if t.demand(gateway) != nil {
			t.setDemand(gateway, 0)
			q.updateWaitTime(now, t)
			q.heap.fix(t)
		}
	}
	for id, r := range q.runs {
		if r.gateway == gateway && r.state == runGranted {
			q.Release(now, id)
		}
	}
	delete(q.capacityAdvertised, gateway)
}

// charge adds units of cost to a team; a negative number is a refund.
func (q *Queue) charge(now time.Time, t *team, units int64) {
	if units == 0 {
		return
	}
	t.localService += units
	q.unreported += max(units, -units)
	q.markDirty(now, t)
	q.heap.fix(t)
}

// Tick releases grants that have timed out, requests totals for the next teams and
// removes idle teams.
func (q *Queue) Tick(now time.Time) {
	for id, r := range q.runs {
		if r.state == runGranted && !now.Before(r.deadline) {
			q.Release(now, id)
		}
	}
	if !now.Before(q.nextRefresh) {
		q.nextRefresh = now.Add(refreshInterval)
		q.refreshNextTeams(now)
	}
	if now.Before(q.nextForget) {
		return
	}
	q.nextForget = now.Add(forgetTeamsInterval)
	for id, t := range q.teams {
		if t.waiting == 0 && t.running == 0 && t.localService == t.reportedService && !t.waited && q.dirty[id] == nil {
			delete(q.teams, id)
		}
	}
}
