package origin

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Sizes of the model.
const (
	modelControllers = 3
	modelGateways    = 4
	modelSteps       = 400
	// recentStreams is the number of streams that callers may take up.
	recentStreams = 12
)

// outOfStepFleet is a fleet in which a controller that is cut off or stands still goes on
// believing that it leads, and gateways that are cut off or stand still act late. Each controller
// has its own copy of the history, which may lack changes. Identifiers of upstreams are not used
// again; addresses may be, so an upstream that has ended looks like one that refuses.
type outOfStepFleet struct {
	random *rand.Rand
	now    time.Time
	// log is the committed part of the replicated log.
	log         []modelEntry
	controllers []*modelController
	// leader is the controller that a majority follows, or nil.
	leader   *modelController
	gateways []*laggingGateway
	// engines are the versions of all upstreams that were ever started, by identifier, and
	// running those of which the process is there; listed is the platform's list.
	engines map[int]Version
	running map[int]bool
	listed  []int
	streams []modelStream
	// unconfirmedProof has leaders take the only version in their own copy of the history for
	// proof, without a read that a majority confirms.
	unconfirmedProof bool

	joined, continued, refused, continuedOutOfStep, refusedOutOfStep int
}

// modelEntry is a committed change and the time of its leader.
type modelEntry struct {
	at     time.Time
	change Change
}

// modelController is a controller. Its keeper is nil unless it believes that it leads.
type modelController struct {
	history  *History
	applied  int
	keeper   *Keeper
	proposed *Change
	// cutOff reports that it can't read the platform's list either.
	cutOff bool
	// published is the list that it sends to gateways.
	published map[int]Version
	// reads are the take-ups that wait for a confirmed read.
	reads []modelTakeUp
}

// laggingGateway is a gateway. It handles frames of its leader, decisions included, and its
// callers' requests only while it isn't frozen.
type laggingGateway struct {
	leader   *modelController // nil while it is cut off from all
	frozen   bool
	begun    *Register
	unsent   []Batch
	list     map[int]Version
	provenAt time.Time
	inbox    []modelFrame
}

// modelFrame is a list of upstreams, or the decision to continue a stream at a version.
type modelFrame struct {
	list    map[int]Version
	proven  time.Time
	takeUp  modelTakeUp
	version string
}

// modelTakeUp is a caller's request that continues a stream.
type modelTakeUp struct {
	gateway *laggingGateway
	stream  modelStream
}

// modelStream is a stream and the upstream that began it.
type modelStream struct {
	id    Stream
	truth Version
	at    time.Time
}

func newOutOfStepFleet(seed uint64) *outOfStepFleet {
	f := &outOfStepFleet{
		random:  rand.New(rand.NewPCG(seed, 8)),
		now:     start,
		engines: make(map[int]Version),
		running: make(map[int]bool),
	}
	for range modelControllers {
		c := &modelController{
			history: &History{
				Complete: true,
			},
		}
		c.history.Initialize()
		f.controllers = append(f.controllers, c)
	}
	for range modelGateways {
		f.gateways = append(f.gateways, newLaggingGateway())
	}
	f.startEngines(v1, 2)
	f.elect()
	return f
}

func newLaggingGateway() *laggingGateway {
	return &laggingGateway{
		begun: NewRegister(),
	}
}

// play does random steps. Callers take streams up at random gateways.
func (f *outOfStepFleet) play() {
	for range modelSteps {
		f.now = f.now.Add(time.Duration(f.random.IntN(200)) * time.Millisecond)
		if f.random.IntN(300) == 0 {
			f.now = f.now.Add(MinVersionRetention)
		}
		f.step()
		if len(f.streams) > 0 && f.random.IntN(2) == 0 {
			s := f.streams[len(f.streams)-1-f.random.IntN(min(len(f.streams), recentStreams))]
			f.takeUp(modelTakeUp{
				gateway: f.gateways[f.random.IntN(len(f.gateways))],
				stream:  s,
			})
		}
	}
}

// step does one random thing.
func (f *outOfStepFleet) step() {
	g := f.gateways[f.random.IntN(len(f.gateways))]
	c := f.leader
	if f.random.IntN(3) == 0 {
		c = f.controllers[f.random.IntN(len(f.controllers))]
	}
	switch n := f.random.IntN(120); {
	case n < 2: // a release, or a rollback
		f.startEngines([]Version{v1, v2}[f.random.IntN(2)], 1+f.random.IntN(2))
	case n < 3: // an upstream leaves; it runs on for a time
		if len(f.listed) > 1 {
			f.listed = slices.Delete(f.listed, 0, 1)
		}
	case n < 4: // an upstream that has left ends
		f.endUpstream()
	case n < 5: // a gateway is killed; what it didn't report is lost
		f.killGateway(g)
	case n < 6: // a gateway is cut off
		g.leader, g.inbox = nil, nil
	case n < 8: // a gateway stands still
		g.frozen = true
	case n < 12:
		g.frozen = false
	case n < 14: // a majority follows another controller, also if the one before doesn't know
		f.elect()
	case n < 17: // a controller finds out that it doesn't lead
		if c != f.leader {
			f.depose(c)
		}
	case n < 18: // all hosts lose power
		if f.random.IntN(4) == 0 {
			f.losePower()
		}
	case n < 32:
		f.lead(c)
	case n < 42:
		f.commit(c)
	case n < 52:
		f.confirm(c)
	case n < 70:
		f.link(g)
	case n < 95:
		f.receive(g)
	default:
		f.begin(g)
	}
}

// endUpstream ends an upstream that is not listed.
func (f *outOfStepFleet) endUpstream() {
	for _, id := range slices.Sorted(maps.Keys(f.running)) {
		if !slices.Contains(f.listed, id) {
			delete(f.running, id)
			return
		}
	}
}

// killGateway ends a gateway's process, with all that it has not reported.
func (f *outOfStepFleet) killGateway(g *laggingGateway) {
	for _, c := range f.controllers {
		c.reads = slices.DeleteFunc(c.reads, func(t modelTakeUp) bool { return t.gateway == g })
	}
	*g = *newLaggingGateway()
}

// startEngines starts upstreams under new identifiers.
func (f *outOfStepFleet) startEngines(v Version, n int) {
	for range n {
		id := len(f.engines)
		f.engines[id], f.running[id] = v, true
		f.listed = append(f.listed, id)
	}
}

// elect has a majority follow a controller, which applies all that is committed. What the leader
// before proposed may be committed or not; that one may go on believing that it leads, with some
// of the gateways.
func (f *outOfStepFleet) elect() {
	if f.leader != nil && f.leader.proposed != nil && f.random.IntN(2) == 0 {
		f.log = append(f.log, modelEntry{
			at:     f.now,
			change: *f.leader.proposed,
		})
	}
	if f.leader != nil {
		f.leader.cutOff = f.random.IntN(2) == 0
		for _, g := range f.gateways {
			if g.leader == f.leader && f.random.IntN(2) == 0 {
				g.leader, g.inbox = nil, nil
			}
		}
	}
	f.leader = f.controllers[f.random.IntN(len(f.controllers))]
	f.depose(f.leader)
	f.leader.cutOff = false
	f.catchUp(f.leader)
	f.leader.keeper = NewKeeper(f.now, f.leader.history)
}

// catchUp applies what is committed.
func (f *outOfStepFleet) catchUp(c *modelController) {
	for ; c.applied < len(f.log); c.applied++ {
		c.history.Apply(f.log[c.applied].at, f.log[c.applied].change)
	}
}

// depose ends the leadership that a controller believes in.
func (f *outOfStepFleet) depose(c *modelController) {
	c.keeper, c.proposed, c.published, c.reads = nil, nil, nil, nil
	for _, g := range f.gateways {
		if g.leader == c {
			g.leader, g.inbox = nil, nil
		}
	}
}

// losePower ends all processes. The log stays.
func (f *outOfStepFleet) losePower() {
	for _, c := range f.controllers {
		f.depose(c)
	}
	for _, g := range f.gateways {
		*g = *newLaggingGateway()
	}
	f.leader = nil
	f.elect()
}

// lead has a controller that believes to lead read the list, publish it and propose.
func (f *outOfStepFleet) lead(c *modelController) {
	if c.keeper == nil || c.cutOff {
		return
	}
	c.published = make(map[int]Version)
	for _, id := range f.listed {
		if c.keeper.List(f.now, f.engines[id]) {
			c.published[id] = f.engines[id]
		}
	}
	for _, g := range f.gateways {
		if g.leader == c {
			f.publish(c, g)
		}
	}
	if c.proposed != nil {
		return
	}
	if change, ok := c.keeper.Removal(f.now, MinVersionRetention); ok {
		c.proposed = &change
	} else if c.keeper.Pending() {
		change = c.keeper.Next()
		c.proposed = &change
	}
}

// publish sends a gateway the list, with the proof that the controller led.
func (f *outOfStepFleet) publish(c *modelController, g *laggingGateway) {
	frame := modelFrame{
		list: maps.Clone(c.published),
	}
	if c == f.leader {
		frame.proven = f.now
	}
	g.inbox = append(g.inbox, frame)
}

// commit ends a controller's proposal. Only the leader's can be committed.
func (f *outOfStepFleet) commit(c *modelController) {
	if c.proposed == nil {
		return
	}
	change := *c.proposed
	c.proposed = nil
	if c != f.leader || f.random.IntN(5) == 0 {
		c.keeper.Done(change, nil)
		return
	}
	f.log = append(f.log, modelEntry{
		at:     f.now,
		change: change,
	})
	f.catchUp(c)
	c.keeper.Done(change, c.history)
}

// link has a gateway report its streams to the controller that it is linked to, which may lead no
// longer. A new link needs a leader that a majority confirms.
func (f *outOfStepFleet) link(g *laggingGateway) {
	if g.frozen {
		return
	}
	if g.leader == nil {
		g.leader = f.leader
		g.unsent = g.begun.Latest("", 100)
		if g.leader.published != nil {
			f.publish(g.leader, g)
		}
	}
	reports := g.unsent
	g.unsent = nil
	g.leader.keeper.Report(f.now, reports, func(s Stream, o Origin) bool {
		recorded, ok := g.leader.history.Find(s)
		return ok && recorded == o
	})
}

// begin begins a stream at an upstream of the gateway's list.
func (f *outOfStepFleet) begin(g *laggingGateway) {
	if g.frozen || g.provenAt.IsZero() || f.now.Sub(g.provenAt) > MaxListAge {
		return
	}
	id, ok := f.choose(g, "")
	if !ok {
		return
	}
	s := modelStream{
		id:    Stream(len(f.streams) + 1),
		truth: f.engines[id],
		at:    f.now,
	}
	f.streams = append(f.streams, s)
	o := Origin{
		Service: g.list[id].Service,
		Version: g.list[id].Name,
	}
	g.begun.Record(f.now, s.id, o)
	g.unsent = AppendBatch(g.unsent, s.id, o)
}

// choose returns an upstream of the gateway's list that runs, of a version unless that is empty.
func (f *outOfStepFleet) choose(g *laggingGateway, version string) (id int, ok bool) {
	ids := slices.Sorted(maps.Keys(g.list))
	f.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if f.running[id] && (version == "" || g.list[id].Name == version) {
			return id, true
		}
	}
	return 0, false
}
