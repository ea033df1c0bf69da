package origin

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// schedules returns the number of random schedules that a test plays.
func schedules() int {
	if n, err := strconv.Atoi(os.Getenv("BAOBABPADDLE_SCHEDULES")); err == nil {
		return n
	}
	return 1500
}

// modelGateway is a gateway of the model: the versions of its list, the streams that it knows,
// and reports that have not left it.
type modelGateway struct {
	published []Version
	begun     *Register
	unsent    []Batch
	linked    bool
	// provenAt is when the leader last confirmed its list.
	provenAt time.Time
}

// modelFleet is a fleet with one leader at a time. Changes are committed by a majority after
// some time or not at all, and lost with a leader that ends before.
type modelFleet struct {
	random   *rand.Rand
	now      time.Time
	history  *History
	keeper   *Keeper // nil without a leader
	proposed *Change
	listed   []Version
	gateways []*modelGateway
	// truth are the versions that began the streams, by attempt.
	truth   map[Stream]Version
	begunAt map[Stream]time.Time
	order   []Stream
	next    Stream
}

// TestNoScheduleJoinsVersions plays releases, rollbacks, cut links, killed gateways, changes of
// the leader and losses of power of all hosts at random moments. No stream that is taken up may
// go on at another version than the one that began it.
func TestNoScheduleJoinsVersions(t *testing.T) {
	is := is.New(t)
	continued, refused := 0, 0
	for seed := range schedules() {
		f := newModelFleet(uint64(seed))
		for range 300 {
			f.now = f.now.Add(time.Duration(f.random.IntN(200)) * time.Millisecond)
			if f.random.IntN(400) == 0 {
				f.now = f.now.Add(MinVersionRetention)
			}
			f.step()
			if len(f.order) == 0 || f.random.IntN(3) > 0 {
				continue
			}
			s := f.order[len(f.order)-1-f.random.IntN(min(len(f.order), 20))]
			if f.now.Sub(f.begunAt[s]) > MaxReturn {
				continue
			}
			g := f.gateways[f.random.IntN(len(f.gateways))]
			name, ok := f.takeUp(g, s)
			if !ok {
				if g.linked {
					refused++
				}
				continue
			}
			continued++
			if name != f.truth[s].Name {
				t.Fatalf("seed %d: a stream that began at %s goes on at %s", seed, f.truth[s].Name, name)
			}
		}
	}
	t.Logf("%d continued, %d refused", continued, refused)
	is.True(continued > 1000) // streams do go on
}

func newModelFleet(seed uint64) *modelFleet {
	f := &modelFleet{
		random: rand.New(rand.NewPCG(seed, 7)),
		now:    start,
		history: &History{
			Complete: true,
		},
		truth:   make(map[Stream]Version),
		begunAt: make(map[Stream]time.Time),
		listed:  []Version{v1},
	}
	f.history.Initialize()
	for range 3 {
		f.gateways = append(f.gateways, &modelGateway{
			begun: NewRegister(),
		})
	}
	return f
}

// step does one random thing.
func (f *modelFleet) step() {
	g := f.gateways[f.random.IntN(len(f.gateways))]
	switch f.random.IntN(22) {
	case 0: // a release or a rollback begins, goes on or ends
		f.listed = [][]Version{{v1}, {v1, v2}, {v2}, {v2, v1}}[f.random.IntN(4)]
	case 1: // a gateway is killed
		*g = modelGateway{
			begun: NewRegister(),
		}
	case 2: // a link is cut
		g.linked = false
	case 3: // the leader ends; its change may have been committed
		if f.random.IntN(2) == 0 {
			f.commit()
		}
		f.keeper, f.proposed = nil, nil
	case 4: // all hosts lose power
		if f.random.IntN(4) > 0 {
			break
		}
		f.keeper, f.proposed = nil, nil
		for _, g := range f.gateways {
			*g = modelGateway{
				begun: NewRegister(),
			}
		}
	case 5, 6, 7, 8:
		f.lead()
	case 9, 10, 11:
		f.commit()
	case 12, 13, 14:
		f.link(g)
	default:
		f.begin(g)
	}
}

// lead elects a leader if there is none, and has it read the list, publish it and propose.
func (f *modelFleet) lead() {
	if f.keeper == nil {
		f.keeper = NewKeeper(f.now, f.history)
		for _, g := range f.gateways {
			g.linked = false
		}
	}
	var published []Version
	for _, v := range f.listed {
		if f.keeper.List(f.now, v) {
			published = append(published, v)
		}
	}
	for _, g := range f.gateways {
		if g.linked {
			g.published, g.provenAt = published, f.now
		}
	}
	if f.proposed != nil {
		return
	}
	if c, ok := f.keeper.Removal(f.now, MinVersionRetention); ok {
		f.proposed = &c
		return
	}
	if f.keeper.Pending() {
		c := f.keeper.Next()
		f.proposed = &c
	}
}

// commit ends the leader's proposal: it is committed, or it failed.
func (f *modelFleet) commit() {
	if f.proposed == nil {
		return
	}
	c := *f.proposed
	f.proposed = nil
	if f.random.IntN(5) == 0 {
		f.keeper.Done(c, nil)
		return
	}
	f.history.Apply(f.now, c)
	f.keeper.Done(c, f.history)
}

// link links a gateway to the leader, to which it reports its streams.
func (f *modelFleet) link(g *modelGateway) {
	if f.keeper == nil {
		return
	}
	reports := g.unsent
	if !g.linked {
		reports = g.begun.Latest("", 100)
	}
	g.linked, g.unsent = true, nil
	f.keeper.Report(f.now, reports, func(s Stream, o Origin) bool {
		recorded, ok := f.history.Find(s)
		return ok && recorded == o
	})
}

// begin begins a stream at a version that a gateway knows. A gateway that is cut off for long
// begins none.
func (f *modelFleet) begin(g *modelGateway) {
	if len(g.published) == 0 || f.now.Sub(g.provenAt) > MaxListAge {
		return
	}
	v := g.published[f.random.IntN(len(g.published))]
	f.next++
	f.truth[f.next] = v
	f.begunAt[f.next] = f.now
	f.order = append(f.order, f.next)
	o := Origin{
		Service: v.Service,
		Version: v.Name,
	}
	g.begun.Record(f.now, f.next, o)
	g.unsent = AppendBatch(g.unsent, f.next, o)
}

// takeUp returns the version at which a stream goes on that its caller takes up at a gateway,
// or false if it is refused.
func (f *modelFleet) takeUp(g *modelGateway, s Stream) (string, bool) {
	if o, ok := g.begun.Find(s); ok {
		return o.Version, o.Known()
	}
	if !g.linked || f.keeper == nil {
		return "", false
	}
	recorded, ok := f.history.Find(s)
	o, answer := f.keeper.Find(s, "llm", only("llm"), recorded, ok)
	switch answer {
	case Found:
		return o.Version, true
	case Unconfirmed:
		return f.history.Single("llm")
	}
	return "", false
}
