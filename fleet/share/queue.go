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
	forgetTeamsAfter       = 10 * time.Minute
	newTeamReportDelay     = 50 * time.Millisecond
	refreshInterval        = time.Second
	totalsStaleAfter       = 5 * time.Second
	ewmaDecay              = 0.9
	// intermittentCredit is what a team that asks for less than its share may be
	// behind the backlogged ones, in units of cost per weight.
	intermittentCredit = 600
)

// Order is the rule by which a Queue chooses the next team.
type Order uint8

// The orders a Queue knows.
const (
	// OrderFair chooses the team with the least service per weight.
	OrderFair Order = iota
	// OrderArrival chooses the team that has waited longest, as a baseline.
	OrderArrival
)

// QueueSettings configures a Queue. Zero fields take the defaults above.
type QueueSettings struct {
	Service ServiceID
	Order   Order
	// ReportAge is the longest time a changed counter stays unreported.
	ReportAge time.Duration
	// ReportThreshold is the unreported service at which a report leaves early.
	ReportThreshold int64
	// GrantTimeout is how long a grant may stay unused.
	GrantTimeout time.Duration
	// Reserve is what a request is charged from its grant to its end, beyond
	// the service it receives. It makes places count, so that a team does not
	// take more of them than its share while their service is still to come.
	// Where runs cost less than that, it is their mean cost.
	Reserve int64
	// PipelineFactor scales the places granted before they are free, to cover the
	// time a grant travels: 0 grants none, 1 as many as come free meanwhile.
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
// behind one sidecar.
type Queue struct {
	settings  QueueSettings
	teams     map[TeamID]*team
	heap      teamHeap
	upstreams []*upstream
	runs      map[uint64]*run
	weights   func(team TeamID) float64

	nextID          uint64
	lastArrival     uint64
	epoch           uint32
	virtualTime     float64
	totalsAt        time.Time // when totals last came
	unreported      int64
	dirtySince      time.Time
	earlyReportAt   time.Time
	dirty           map[TeamID]*team
	capacityTold    map[string]bool
	grantLatency    float64 // seconds from grant to arrival
	runDuration     float64 // seconds from start to end
	runCost         float64 // of a run, at its end
	bodyBytes       float64 // of an arrived request
	idempotentShare float64 // share of the arrived requests that are idempotent
	newcomers       []*team // began to wait with next to nothing outstanding here
	newRuns         []*run  // scratch of Next
	nextForget      time.Time
	nextRefresh     time.Time
}

// NewQueue returns an empty queue. Weights returns a team's weight and is asked
// when the team is first seen and on SetWeight.
func NewQueue(settings QueueSettings, weights func(team TeamID) float64) *Queue {
	settings.fill()
	return &Queue{
		settings: settings,
		teams:    make(map[TeamID]*team),
		heap: teamHeap{
			byArrival: settings.Order == OrderArrival,
		},
		runs:         make(map[uint64]*run),
		weights:      weights,
		dirty:        make(map[TeamID]*team),
		capacityTold: make(map[string]bool),
	}
}

// SetWeight makes the queue ask for the team's weight again.
func (q *Queue) SetWeight(id TeamID) {
	t := q.teams[id]
	if t == nil {
		return
	}
	// What was served under the old weight stays as it was counted.
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

// Waiting returns how many requests are known to wait here.
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

// Free returns how many requests could start now.
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

// SetDemand takes what a gateway says of a team.
func (q *Queue) SetDemand(now time.Time, gateway string, d Demand) {
	t := q.team(d.Team)
	was, light := t.waiting, t.waitTime.recent(now)
	t.setDemand(gateway, max(d.Count, 0))
	q.updateWaitTime(now, t)
	if was == 0 && t.waiting > 0 {
		q.lastArrival++
		t.arrivalOrder = q.lastArrival
		q.raiseVirtual(t, q.virtualFloor(now), light)
		q.markWaiting(now, t)
		if t.running < maxNewcomerRuns {
			q.newcomers = append(q.newcomers, t)
		}
	}
	q.heap.fix(t)
}

// raiseVirtual makes a team that begins to wait even with the rest until the accountant
// has answered, but for the credit of one that waits now and then.
func (q *Queue) raiseVirtual(t *team, floor float64, light bool) {
	if light {
		floor -= intermittentCredit
	}
	if t.running == 0 && t.virtual() < floor {
		t.knownVirtual += floor - t.virtual()
	}
}

// virtualFloor is the least virtual service a newcomer is given until the accountant
// has answered: the fleet's clock, or, when none was heard lately, that of the
// first in the queue.
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

// updateWaitTime notes whether a team waits. The accountant hears of one that does no
// longer.
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

// DropGateway forgets the demands of a gateway whose link was lost and the
// grants it has not used.
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
	delete(q.capacityTold, gateway)
}

// charge adds units of cost to a team.
func (q *Queue) charge(now time.Time, t *team, units int64) {
	if units == 0 {
		return
	}
	t.localService += units
	q.unreported += max(units, -units)
	q.markDirty(now, t)
	q.heap.fix(t)
}

// Tick releases grants that were not used and forgets idle teams.
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
	q.nextForget = now.Add(forgetTeamsAfter)
	for id, t := range q.teams {
		if t.waiting == 0 && t.running == 0 && t.localService == t.reportedService && !t.waited && q.dirty[id] == nil {
			delete(q.teams, id)
		}
	}
}
