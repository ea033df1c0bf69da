package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Constants of the models.
const (
	service        = share.ServiceID(1)
	tickEvery      = 50 * time.Millisecond
	progressEvery  = 250 * time.Millisecond
	sampleEvery    = 500 * time.Millisecond
	loadEvery      = time.Second
	frameOverhead  = 78  // bytes of framing, TLS, TCP and IP for one frame
	heartbeatBytes = 110 // a heartbeat and its acknowledgement
	faultAt        = 100 * time.Second
	faultFor       = 30 * time.Second
	// RecoveryTime is the stated time after a fault in which the gap is back
	// within its bound.
	RecoveryTime = 120 * time.Second
	settleBefore = 5 * time.Second
	zones        = 3
	// firstNumber is the number of the first team: numbers grow with a fleet's history.
	firstNumber = 1000
)

// request is one caller's request.
type request struct {
	id      uint64
	team    int
	gateway int
	cost    float64
	prefix  uint64
	arrived time.Time
	started bool
	inside  share.Request
}

// sidecar is one queue with its engines; the dispatcher is one with all.
type sidecar struct {
	name        string
	zone        int
	queue       *share.Queue
	engines     []*engine
	incarnation int
	cut         bool
	accountant  *share.Accountant // its own, for gossip
	arrived     map[uint64]*arrival
	packer      wire.ReportPacker
	bytes       int64
	frames      int64
}

// arrival is a request that has come to a sidecar.
type arrival struct {
	request *request
	engine  *engine
}

// gateway is one placer.
type gateway struct {
	name   string
	index  int
	zone   int
	placer *share.Placer
	told   map[string]map[share.TeamID]bool // the weights told to each sidecar
	cut    bool
	bytes  int64
	frames int64
}

type world struct {
	plan     Plan
	strategy Strategy
	clock    clock
	random   *rand.Rand
	gateways []*gateway
	sidecars []*sidecar
	engines  []*engine
	byName   map[string]*sidecar
	requests map[uint64]*request
	nextID   uint64

	accountant     *share.Accountant
	accountantZone int

	service     []float64
	waiting     []int
	gap         gapMeter
	firstTokens []float64
	latencies   []float64
	notRun      int
	endedCount  int
	cacheHits   int
	cacheMisses int
	busy        float64
	capacity    float64
}

// Run measures one strategy on one plan and seed.
func Run(plan Plan, strategy Strategy, seed uint64) Result {
	w := &world{
		plan:     plan,
		strategy: strategy,
		clock: clock{
			now: epoch,
		},
		random:   rand.New(rand.NewPCG(seed, 1)),
		byName:   make(map[string]*sidecar),
		requests: make(map[uint64]*request),
		service:  make([]float64, len(plan.Teams)),
		waiting:  make([]int, len(plan.Teams)),
	}
	w.gap.init(plan.Teams)
	w.build(seed)
	w.traffic()
	w.schedule()
	w.clock.runUntil(epoch.Add(plan.Duration))
	return w.result()
}

func (w *world) weight(team share.TeamID) float64 { return w.plan.Teams[team-firstNumber].Weight }

// teamID names a team as a fleet with some history would.
func teamID(i int) share.TeamID { return share.TeamID(firstNumber + i) }

// central reports whether one place decides for all engines.
func (w *world) central() bool { return w.strategy == Dispatcher || w.strategy == Ideal }

func (w *world) newAccountant() *share.Accountant {
	return share.NewAccountant(share.AccountantSettings{
		Service: service,
	}, w.weight)
}

func (w *world) newQueue() *share.Queue {
	settings := share.SettingsForBalance(w.plan.Balance)
	settings.Service = service
	if w.strategy == FIFO {
		settings.Order = share.OrderArrival
	}
	if w.strategy == Ideal {
		settings.PipelineFactor = 0
	}
	return share.NewQueue(settings, w.weight)
}

func (w *world) build(seed uint64) {
	w.accountant = w.newAccountant()
	w.accountantZone = 1
	declared := max(w.plan.MaxRunning, w.plan.Batch)
	for i := range w.plan.Engines {
		w.engines = append(w.engines, &engine{
			world:   w,
			id:      share.UpstreamID(firstNumber + teamCount + i),
			zone:    i % zones,
			batch:   w.plan.Batch,
			rate:    w.plan.SlotRate,
			speed:   1,
			updated: epoch,
		})
	}
	if w.central() {
		w.addSidecar(0, w.engines, declared)
	} else {
		for i, e := range w.engines {
			w.addSidecar(i, []*engine{e}, declared)
		}
	}
	for i := range w.plan.Gateways {
		settings := share.PlacerSettings{
			Service:           service,
			AffinityLookahead: 1,
		}
		if w.plan.Affinity {
			settings.AffinityLookahead = share.DefaultAffinityLookahead
		}
		g := &gateway{
			name:   fmt.Sprintf("gateway-%d", i),
			index:  i,
			zone:   i % zones,
			placer: share.NewPlacer(settings, rand.New(rand.NewPCG(seed, uint64(i)+100))),
			told:   make(map[string]map[share.TeamID]bool),
		}
		w.gateways = append(w.gateways, g)
		for _, s := range w.sidecars {
			g.told[s.name] = make(map[share.TeamID]bool)
			g.placer.SetSidecar(s.name, engineNames(s))
		}
	}
}

func (w *world) addSidecar(i int, engines []*engine, declared int) {
	s := &sidecar{
		name:    fmt.Sprintf("sidecar-%02d", i),
		zone:    engines[0].zone,
		queue:   w.newQueue(),
		engines: engines,
		arrived: make(map[uint64]*arrival),
	}
	if w.strategy == Gossip {
		s.accountant = w.newAccountant()
	}
	for _, e := range engines {
		s.queue.SetUpstream(e.id, declared, false)
	}
	w.sidecars = append(w.sidecars, s)
	w.byName[s.name] = s
}

func engineNames(s *sidecar) []share.UpstreamID {
	var out []share.UpstreamID
	for _, e := range s.engines {
		out = append(out, e.id)
	}
	return out
}

// delay is the one-way time between two availability zones.
func (w *world) delay(a, b int) time.Duration {
	if w.strategy == Ideal {
		return 0
	}
	if a == b {
		return w.plan.ZoneDelay / 4
	}
	return w.plan.ZoneDelay
}

// frameBytes is what a frame takes on the wire.
func frameBytes(frame any) int64 {
	data, err := link.Encode(frame)
	if err != nil {
		panic(err) // frames of the cores always encode
	}
	return int64(len(data)) + frameOverhead
}

func (w *world) schedule() {
	w.clock.every(tickEvery, func() {
		for _, s := range w.sidecars {
			s.queue.Tick(w.clock.now)
			w.report(s)
			w.advance(s)
		}
		for _, g := range w.gateways {
			g.placer.Tick(w.clock.now)
			w.carryOut(g)
		}
	})
	w.clock.every(progressEvery, w.chargeProgress)
	w.clock.every(sampleEvery, w.sample)
	w.clock.every(loadEvery, w.loadReports)
	w.scheduleFault()
}

// chargeProgress tells queues what their runs have received.
func (w *world) chargeProgress() {
	for _, s := range w.sidecars {
		for _, e := range s.engines {
			e.progress()
			for _, r := range e.places {
				if r.served > 0 {
					w.toSidecar(s, e.zone, func() { s.queue.RecordService(w.clock.now, r.id, int64(r.served)) })
				}
			}
		}
	}
}

// toSidecar delivers what an engine tells its queue; only a dispatcher is away
// from its engines.
func (w *world) toSidecar(s *sidecar, zone int, do func()) {
	if w.strategy == Dispatcher && zone != s.zone {
		w.clock.after(w.plan.ZoneDelay, do)
		return
	}
	do()
}

func (w *world) loadReports() {
	if w.plan.LoadLag == 0 {
		return
	}
	for _, s := range w.sidecars {
		for _, e := range s.engines {
			load := share.Load{
				Sequence: uint64(w.clock.now.Sub(epoch)/loadEvery) + 1,
				At:       w.clock.now,
				Running:  len(e.places),
				Waiting:  len(e.inside),
			}
			w.clock.after(w.plan.LoadLag, func() {
				if l := s.queue.Limit(e.id); l != nil {
					l.Report(w.clock.now, load)
				}
			})
		}
	}
}

// serve counts service that a team has received.
func (w *world) serve(team int, units float64) { w.service[team] += units }

// light reports whether the team's latencies are measured.
func (w *world) light(team int) bool {
	return w.plan.Teams[team].ArrivalRate >= 0 && !w.plan.Teams[team].Floods
}

func (w *world) firstToken(r *running) {
	took := w.clock.now.Sub(r.request.arrived) + w.plan.CallerDelay
	if w.light(r.team) {
		w.firstTokens = append(w.firstTokens, took.Seconds())
	}
}

// ended settles a request that its engine has finished.
func (w *world) ended(e *engine, r *running) {
	w.endedCount++
	if w.light(r.team) {
		w.latencies = append(w.latencies, w.clock.now.Sub(r.request.arrived).Seconds())
	}
	delete(w.requests, r.request.id)
	s := w.sidecarOf(e)
	cost := int64(math.Ceil(r.served))
	w.toSidecar(s, e.zone, func() {
		s.queue.Finish(w.clock.now, r.id, cost)
		w.advance(s)
	})
}

func (w *world) sidecarOf(e *engine) *sidecar {
	if w.central() {
		return w.sidecars[0]
	}
	for _, s := range w.sidecars {
		if s.engines[0] == e {
			return s
		}
	}
	return nil
}

// sample measures the gap and the utilisation.
func (w *world) sample() {
	anyWaiting := false
	for i := range w.waiting {
		w.waiting[i] = 0
	}
	for _, g := range w.gateways {
		if g.cut {
			continue
		}
		for i := range w.plan.Teams {
			n := g.placer.TeamWaiting(teamID(i))
			w.waiting[i] += n
			anyWaiting = anyWaiting || n > 0
		}
	}
	busy, places := 0, 0
	for _, e := range w.engines {
		e.progress()
		busy += len(e.places)
		places += e.batch
	}
	if anyWaiting && w.clock.now.Sub(epoch) > settleBefore {
		w.busy += float64(busy)
		w.capacity += float64(places)
	}
	w.gap.sample(w.clock.now.Sub(epoch), w.service, w.waiting)
}

// sendWork carries a frame between a gateway and a sidecar.
func (w *world) sendWork(g *gateway, s *sidecar, frame wire.Work, deliver func()) {
	if g.cut {
		return
	}
	size := frameBytes(frame)
	g.bytes += size
	g.frames++
	s.bytes += size
	s.frames++
	w.clock.after(w.delay(g.zone, s.zone), func() {
		if !g.cut {
			deliver()
		}
	})
}
