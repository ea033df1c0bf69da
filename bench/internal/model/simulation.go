package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Parameters of the simulation.
const (
	serviceID          = share.ServiceID(1)
	tickInterval       = 50 * time.Millisecond
	progressInterval   = 250 * time.Millisecond
	sampleInterval     = 500 * time.Millisecond
	loadReportInterval = time.Second
	frameOverhead      = 78  // bytes of framing, TLS, TCP and IP headers of one frame
	heartbeatBytes     = 110 // a heartbeat and its acknowledgement
	faultStart         = 100 * time.Second
	faultDuration      = 30 * time.Second
	// RecoveryTime is the stated time after the end of a fault within which the
	// fairness gap returns to its bound.
	RecoveryTime = 120 * time.Second
	warmUp       = 5 * time.Second
	zones        = 3
	// firstID is the first identifier of a team. Identifiers grow with a fleet's
	// history and take more bytes then, so the frames are sized with large ones.
	firstID = 1000
)

// request is a request of a caller.
type request struct {
	id           uint64
	team         int
	gateway      int
	cost         float64
	prefix       uint64
	arrived      time.Time
	started      bool
	shareRequest share.Request
}

// sidecar is one queue with its engines. With a central strategy there is one
// sidecar with all engines: the dispatcher.
type sidecar struct {
	name        string
	zone        int
	queue       *share.Queue
	engines     []*engine
	incarnation int
	partitioned bool
	accountant  *share.Accountant // this sidecar's own, only with Gossip
	pending     map[uint64]*pendingRequest
	packer      wire.ReportPacker
	bytes       int64
	frames      int64
}

// pendingRequest is a request that has reached a sidecar and has not started.
type pendingRequest struct {
	request *request
	engine  *engine
}

// gateway is one placer with the state of its links.
type gateway struct {
	name        string
	index       int
	zone        int
	placer      *share.Placer
	weightsSent map[string]map[share.TeamID]bool // by sidecar: teams whose weight it has received
	partitioned bool
	bytes       int64
	frames      int64
}

// simulation is the state of one run. All of it changes only in events of its
// clock, in one goroutine.
type simulation struct {
	plan           Plan
	strategy       Strategy
	clock          clock
	random         *rand.Rand
	gateways       []*gateway
	sidecars       []*sidecar
	engines        []*engine
	sidecarsByName map[string]*sidecar
	requests       map[uint64]*request
	nextID         uint64

	accountant     *share.Accountant
	accountantZone int

	service     []float64
	waiting     []int
	gap         gapMeter
	firstTokens []float64
	latencies   []float64
	notRun      int
	completed   int
	cacheHits   int
	cacheMisses int
	busySlotSum float64
	slotSum     float64
}

// Run simulates a strategy on a plan and returns the measurements. The same plan,
// strategy and seed give the same result.
func Run(plan Plan, strategy Strategy, seed uint64) Result {
	sim := &simulation{
		plan:     plan,
		strategy: strategy,
		clock: clock{
			now: epoch,
		},
		random:         rand.New(rand.NewPCG(seed, 1)),
		sidecarsByName: make(map[string]*sidecar),
		requests:       make(map[uint64]*request),
		service:        make([]float64, len(plan.Teams)),
		waiting:        make([]int, len(plan.Teams)),
	}
	sim.gap.init(plan.Teams)
	sim.build(seed)
	sim.startTraffic()
	sim.scheduleTimers()
	sim.clock.runUntil(epoch.Add(plan.Duration))
	return sim.result()
}

func (sim *simulation) weight(team share.TeamID) float64 { return sim.plan.Teams[team-firstID].Weight }

// teamID returns the identifier of the team with the index.
func teamID(i int) share.TeamID { return share.TeamID(firstID + i) }

// central reports whether one queue serves all engines.
func (sim *simulation) central() bool { return sim.strategy == Dispatcher || sim.strategy == Ideal }

func (sim *simulation) newAccountant() *share.Accountant {
	return share.NewAccountant(share.AccountantSettings{
		Service: serviceID,
	}, sim.weight)
}

func (sim *simulation) newQueue() *share.Queue {
	settings := share.SettingsForBalance(sim.plan.Balance)
	settings.Service = serviceID
	if sim.strategy == FIFO {
		settings.Order = share.OrderArrival
	}
	if sim.strategy == Ideal {
		settings.PipelineFactor = 0
	}
	return share.NewQueue(settings, sim.weight)
}

func (sim *simulation) build(seed uint64) {
	sim.accountant = sim.newAccountant()
	sim.accountantZone = 1
	declared := max(sim.plan.MaxRunning, sim.plan.Batch)
	for i := range sim.plan.Engines {
		sim.engines = append(sim.engines, &engine{
			sim:     sim,
			id:      share.UpstreamID(firstID + teamCount + i),
			zone:    i % zones,
			batch:   sim.plan.Batch,
			rate:    sim.plan.SlotRate,
			speed:   1,
			updated: epoch,
		})
	}
	if sim.central() {
		sim.addSidecar(0, sim.engines, declared)
	} else {
		for i, e := range sim.engines {
			sim.addSidecar(i, []*engine{e}, declared)
		}
	}
	for i := range sim.plan.Gateways {
		settings := share.PlacerSettings{
			Service:           serviceID,
			AffinityLookahead: 1,
		}
		if sim.plan.Affinity {
			settings.AffinityLookahead = share.DefaultAffinityLookahead
		}
		g := &gateway{
			name:        fmt.Sprintf("gateway-%d", i),
			index:       i,
			zone:        i % zones,
			placer:      share.NewPlacer(settings, rand.New(rand.NewPCG(seed, uint64(i)+100))),
			weightsSent: make(map[string]map[share.TeamID]bool),
		}
		sim.gateways = append(sim.gateways, g)
		for _, s := range sim.sidecars {
			g.weightsSent[s.name] = make(map[share.TeamID]bool)
			g.placer.SetSidecar(s.name, engineIDs(s))
		}
	}
}

func (sim *simulation) addSidecar(i int, engines []*engine, declared int) {
	s := &sidecar{
		name:    fmt.Sprintf("sidecar-%02d", i),
		zone:    engines[0].zone,
		queue:   sim.newQueue(),
		engines: engines,
		pending: make(map[uint64]*pendingRequest),
	}
	if sim.strategy == Gossip {
		s.accountant = sim.newAccountant()
	}
	for _, e := range engines {
		s.queue.SetUpstream(e.id, declared, false)
	}
	sim.sidecars = append(sim.sidecars, s)
	sim.sidecarsByName[s.name] = s
}

func engineIDs(s *sidecar) []share.UpstreamID {
	var out []share.UpstreamID
	for _, e := range s.engines {
		out = append(out, e.id)
	}
	return out
}

// delay returns the one-way network delay between two availability zones, or within
// one.
func (sim *simulation) delay(a, b int) time.Duration {
	if sim.strategy == Ideal {
		return 0
	}
	if a == b {
		return sim.plan.ZoneDelay / 4
	}
	return sim.plan.ZoneDelay
}

// scheduleTimers schedules the periodic events and the plan's fault.
func (sim *simulation) scheduleTimers() {
	sim.clock.every(tickInterval, func() {
		for _, s := range sim.sidecars {
			s.queue.Tick(sim.clock.now)
			sim.sendDueReport(s)
			sim.advance(s)
		}
		for _, g := range sim.gateways {
			g.placer.Tick(sim.clock.now)
			sim.applyActions(g)
		}
	})
	sim.clock.every(progressInterval, sim.recordProgress)
	sim.clock.every(sampleInterval, sim.sample)
	sim.clock.every(loadReportInterval, sim.sendLoadReports)
	sim.scheduleFault()
}

// recordProgress charges running requests for the service that they have received so
// far, so that teams are ordered by it before the requests end.
func (sim *simulation) recordProgress() {
	for _, s := range sim.sidecars {
		for _, e := range s.engines {
			e.progress()
			for _, r := range e.slots {
				if r.served > 0 {
					sim.afterEngineDelay(s, e.zone, func() { s.queue.RecordService(sim.clock.now, r.id, int64(r.served)) })
				}
			}
		}
	}
}

// afterEngineDelay runs do after the network delay between a queue and an engine. Sidecars
// run on their engine's host, so only the dispatcher has such a delay.
func (sim *simulation) afterEngineDelay(s *sidecar, zone int, do func()) {
	if sim.strategy == Dispatcher && zone != s.zone {
		sim.clock.after(sim.plan.ZoneDelay, do)
		return
	}
	do()
}

// sendLoadReports has engines report their load, if the plan delays load reports.
func (sim *simulation) sendLoadReports() {
	if sim.plan.LoadLag == 0 {
		return
	}
	for _, s := range sim.sidecars {
		for _, e := range s.engines {
			load := share.Load{
				Sequence: uint64(sim.clock.now.Sub(epoch)/loadReportInterval) + 1,
				At:       sim.clock.now,
				Running:  len(e.slots),
				Waiting:  len(e.queue),
			}
			sim.clock.after(sim.plan.LoadLag, func() {
				if l := s.queue.Limit(e.id); l != nil {
					l.Report(sim.clock.now, load)
				}
			})
		}
	}
}

// recordService adds to the service that a team has received.
func (sim *simulation) recordService(team int, units float64) { sim.service[team] += units }

// measuresLatency reports whether the team's latencies are measured: those of teams
// that are neither backlogged nor flooding.
func (sim *simulation) measuresLatency(team int) bool {
	return sim.plan.Teams[team].ArrivalRate >= 0 && !sim.plan.Teams[team].Floods
}

func (sim *simulation) recordFirstToken(r *execution) {
	took := sim.clock.now.Sub(r.request.arrived) + sim.plan.CallerDelay
	if sim.measuresLatency(r.team) {
		sim.firstTokens = append(sim.firstTokens, took.Seconds())
	}
}

// complete ends a request that its engine has finished and charges its final cost.
func (sim *simulation) complete(e *engine, r *execution) {
	sim.completed++
	if sim.measuresLatency(r.team) {
		sim.latencies = append(sim.latencies, sim.clock.now.Sub(r.request.arrived).Seconds())
	}
	delete(sim.requests, r.request.id)
	s := sim.sidecarOf(e)
	cost := int64(math.Ceil(r.served))
	sim.afterEngineDelay(s, e.zone, func() {
		s.queue.Finish(sim.clock.now, r.id, cost)
		sim.advance(s)
	})
}

func (sim *simulation) sidecarOf(e *engine) *sidecar {
	if sim.central() {
		return sim.sidecars[0]
	}
	for _, s := range sim.sidecars {
		if s.engines[0] == e {
			return s
		}
	}
	return nil
}

// sample measures the fairness gap and the utilisation.
func (sim *simulation) sample() {
	anyWaiting := false
	for i := range sim.waiting {
		sim.waiting[i] = 0
	}
	for _, g := range sim.gateways {
		if g.partitioned {
			continue
		}
		for i := range sim.plan.Teams {
			n := g.placer.TeamWaiting(teamID(i))
			sim.waiting[i] += n
			anyWaiting = anyWaiting || n > 0
		}
	}
	busy, slots := 0, 0
	for _, e := range sim.engines {
		e.progress()
		busy += len(e.slots)
		slots += e.batch
	}
	if anyWaiting && sim.clock.now.Sub(epoch) > warmUp {
		sim.busySlotSum += float64(busy)
		sim.slotSum += float64(slots)
	}
	sim.gap.sample(sim.clock.now.Sub(epoch), sim.service, sim.waiting)
}
