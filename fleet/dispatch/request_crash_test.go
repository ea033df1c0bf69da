package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// plainWork is the longest time of a modelled request at an upstream of a plain service.
	plainWork = 25 * time.Millisecond
	// plainRunToCrash is the time from the arrival of a crashing request to the crash.
	plainRunToCrash = 50 * time.Millisecond
	// maxReachedThrice is the number of times that a request may reach upstreams later than
	// crashGrace after it crashed the third.
	maxReachedThrice = 3
)

// plainRequest is a request of a plainModel, over all upstreams that it is sent to.
type plainRequest struct {
	request  Request
	upstream string
	start    int // of the upstream, which counts its starts
	attempts int
	safe     bool // may be sent to two upstreams
	crashing bool
	answered bool
	refused  bool
}

// plainModel models upstreams of a plain service that crash when they run certain requests.
// All requests at a crashed upstream break off, and it is back after engineRestart.
type plainModel struct {
	scheduler *Scheduler
	now       time.Time
	random    *rand.Rand
	upstreams int
	crashing  map[uint64]bool // digests of requests that crash upstreams
	downTill  map[string]time.Time
	starts    map[string]int
	inFlight  map[string][]*plainRequest
	events    []event
	nextID    uint64
	crashes   map[uint64][]time.Time // by the digest of the request
	reached   map[uint64][]time.Time // the same, arrivals at running upstreams
	requests  []*plainRequest
}

func newPlainModel(seed uint64, upstreams int, crashing ...uint64) *plainModel {
	m := &plainModel{
		now:       epoch,
		random:    rand.New(rand.NewPCG(seed, 5)),
		upstreams: upstreams,
		crashing:  make(map[uint64]bool),
		downTill:  make(map[string]time.Time),
		starts:    make(map[string]int),
		inFlight:  make(map[string][]*plainRequest),
		crashes:   make(map[uint64][]time.Time),
		reached:   make(map[uint64][]time.Time),
	}
	for _, digest := range crashing {
		m.crashing[digest] = true
	}
	m.scheduler = m.newScheduler()
	return m
}

func (m *plainModel) newScheduler() *Scheduler {
	s := New(Settings{
		Trials: true,
	}, rand.New(rand.NewPCG(m.random.Uint64(), 1)))
	s.SetConfiguration(table())
	list := upstreams(m.upstreams)
	for i := range list {
		list[i].Service, list[i].Slots = "plain", 6
	}
	s.SetUpstreams(list)
	return s
}

// changeLeader replaces the Scheduler by a new one, which gets what gateways report.
func (m *plainModel) changeLeader() {
	old := m.scheduler
	m.scheduler = m.newScheduler()
	for _, placement := range old.Placements() {
		m.scheduler.RecordPlacement(m.now, placement, true)
	}
	m.scheduler.Quarantine().Merge(m.now, old.Quarantine().Records(m.now))
}

// send has a new request placed.
func (m *plainModel) send(digest uint64, safe bool) *plainRequest {
	q := &plainRequest{
		request: Request{
			Service:    "plain",
			Zone:       zoneA,
			Digest:     digest,
			Objective:  100 * time.Millisecond,
			Idempotent: safe,
		},
		safe:     safe,
		crashing: m.crashing[digest],
	}
	m.requests = append(m.requests, q)
	m.submit(q)
	return q
}

// submit has a request placed and sent to the upstream.
func (m *plainModel) submit(q *plainRequest) {
	m.nextID++
	q.request.ID = m.nextID
	q.request.Resumed = q.attempts > 0
	d := m.scheduler.Place(m.now, gateway, q.request)
	if d.Upstream == "" {
		q.refused = q.refused || d.Reason == Quarantined
		return
	}
	q.attempts++
	q.upstream, q.start = d.Upstream, m.starts[d.Upstream]
	q.request.Excluded = append(slices.Clip(q.request.Excluded), d.Upstream)
	key := Key{
		Gateway: gateway,
		ID:      q.request.ID,
	}
	if m.now.Before(m.downTill[d.Upstream]) {
		m.at(refusedDial, func() {
			m.scheduler.RecordEnd(m.now, key, ConnectionRefused)
			m.submit(q)
		})
		return
	}
	m.inFlight[d.Upstream] = append(m.inFlight[d.Upstream], q)
	if q.crashing {
		m.reached[q.request.Digest] = append(m.reached[q.request.Digest], m.now)
		m.at(plainRunToCrash, func() {
			if m.starts[q.upstream] == q.start {
				m.crashes[q.request.Digest] = append(m.crashes[q.request.Digest], m.now)
				m.crash(q.upstream)
			}
		})
		return
	}
	m.at(time.Duration(m.random.Int64N(int64(plainWork))), func() {
		if m.starts[q.upstream] != q.start {
			return
		}
		q.answered = true
		m.inFlight[q.upstream] = slices.DeleteFunc(m.inFlight[q.upstream], func(o *plainRequest) bool { return o == q })
		m.scheduler.RecordStart(m.now, key)
		m.scheduler.RecordEnd(m.now, key, Answered)
	})
}

// crash ends an upstream and all requests that it has.
func (m *plainModel) crash(upstream string) {
	broken := m.inFlight[upstream]
	m.inFlight[upstream] = nil
	m.starts[upstream]++
	m.downTill[upstream] = m.now.Add(engineRestart)
	for _, q := range broken {
		key := Key{
			Gateway: gateway,
			ID:      q.request.ID,
		}
		m.at(refusedDial, func() {
			m.scheduler.RecordEnd(m.now, key, Crashed)
			if q.safe && q.attempts < maxAttempts {
				m.submit(q)
			}
		})
	}
}

func (m *plainModel) at(after time.Duration, run func()) {
	m.events = append(m.events, event{
		at:  m.now.Add(after),
		run: run,
	})
}

// play runs the model for a time and calls arrive once a millisecond.
func (m *plainModel) play(span time.Duration, arrive func()) {
	for end := m.now.Add(span); m.now.Before(end); m.now = m.now.Add(time.Millisecond) {
		m.scheduler.WeighEvidence(m.now)
		arrive()
		ready := m.events
		m.events = nil
		for _, e := range ready {
			if e.at.After(m.now) {
				m.events = append(m.events, e)
				continue
			}
			e.run()
		}
	}
}

// perSecond reports whether an event of a Poisson process of the given rate occurs within
// this millisecond.
func (m *plainModel) perSecond(rate float64) bool { return m.random.Float64() < rate/1000 }

// sound submits sound requests: bookings of which each is another one, look-ups of ten
// popular targets, and look-ups of one caller that repeats itself.
func (m *plainModel) sound() {
	if m.perSecond(20) {
		m.send(1<<32+m.random.Uint64N(1<<32), false)
	}
	if m.perSecond(15) {
		m.send(100+m.random.Uint64N(10), true)
	}
	if m.perSecond(10) {
		m.send(200, true)
	}
}

// reachedAfterBound returns the number of times that a request reached upstreams later than
// crashGrace after it had crashed the third.
func (m *plainModel) reachedAfterBound(digest uint64) int {
	if len(m.crashes[digest]) < 3 {
		return 0
	}
	bound, n := m.crashes[digest][2].Add(crashGrace), 0
	for _, t := range m.reached[digest] {
		if t.After(bound) {
			n++
		}
	}
	return n
}

// countSound returns the sound requests, those that were answered and those that were ever
// refused as quarantined.
func (m *plainModel) countSound() (requested, answered, refused int) {
	for _, q := range m.requests {
		if q.crashing {
			continue
		}
		requested++
		if q.answered {
			answered++
		}
		if q.refused {
			refused++
		}
	}
	return requested, answered, refused
}

// check logs the result of a seed and checks the bound of each crashing request.
func (m *plainModel) check(t *testing.T, is *is.I, seed uint64) {
	t.Helper()
	is.Helper()
	requested, answered, refused := m.countSound()
	text := ""
	for digest := range m.crashing {
		text += fmt.Sprintf(" %d: %d crashes, %d after the bound;", digest, len(m.crashes[digest]), m.reachedAfterBound(digest))
	}
	t.Logf("seed %d:%s %d of %d sound requests answered, %d refused", seed, text, answered, requested, refused)
	for digest := range m.crashing {
		is.True(len(m.crashes[digest]) >= 3) // otherwise it proves nothing
		is.True(m.reachedAfterBound(digest) <= maxReachedThrice)
	}
	is.True(100*refused <= requested) // sound requests beside it are no suspects for long
}

// TestRequestStopsCrashingUpstreams guards against one request to a plain service, which has
// no prompt segments, that ends one upstream after the other as it comes again.
func TestRequestStopsCrashingUpstreams(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		m := newPlainModel(seed, 3, 7)
		m.play(30*time.Second, func() {
			m.sound()
			if m.perSecond(2) {
				m.send(7, seed%2 == 0)
			}
		})
		m.check(t, is, seed)
		requested, answered, _ := m.countSound()
		is.True(100*answered >= 85*requested)
	}
}

// TestSeveralRequestsCrashUpstreams: three requests crash upstreams at the same time, two of
// them safe ones that gateways send to two upstreams.
func TestSeveralRequestsCrashUpstreams(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		m := newPlainModel(seed, 6, 7, 8, 9)
		m.play(40*time.Second, func() {
			m.sound()
			for digest := range m.crashing {
				if m.perSecond(0.8) {
					m.send(digest, digest != 7)
				}
			}
		})
		m.check(t, is, seed)
	}
}

// TestRequestCrashesUpstreamsAcrossLeaders: leaders change again and again while a request
// crashes upstreams. What gateways know of it outlasts them.
func TestRequestCrashesUpstreamsAcrossLeaders(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		m := newPlainModel(seed, 3, 7)
		for range 6 {
			m.play(5*time.Second, func() {
				m.sound()
				if m.perSecond(3) {
					m.send(7, true)
				}
			})
			m.changeLeader()
		}
		m.check(t, is, seed)
	}
}

// TestUnrelatedCrashesRefuseNoRequest guards against refusals of sound requests, popular ones
// too, because upstreams crash for reasons of their own: one, half of them or all, again and
// again.
func TestUnrelatedCrashesRefuseNoRequest(t *testing.T) {
	for _, together := range []int{1, 2, 4} {
		for seed := range uint64(10) {
			is := is.New(t)
			m := newPlainModel(seed, 4)
			next := m.now
			m.play(40*time.Second, func() {
				m.sound()
				if !m.now.Before(next) {
					next = m.now.Add(5 * time.Second)
					for i := range together {
						m.crash(engineName(i))
					}
				}
			})
			requested, _, refused := m.countSound()
			t.Logf("%d together, seed %d: %d of %d sound requests refused", together, seed, refused, requested)
			is.True(200*refused <= requested)
		}
	}
}

// TestRequestOfModelIsToldFromItsSegments guards against refusals of sound requests with the
// same rare segment as a request that crashes engines.
func TestRequestOfModelIsToldFromItsSegments(t *testing.T) {
	const rareSegment, digest = 5, 4242
	for seed := range uint64(5) {
		is := is.New(t)
		m := newCrashModel(seed, 9)
		beside, refused := 0, 0
		m.play(30*time.Second, func() {
			if m.perSecond(80) {
				m.submit(m.chat())
			}
			if m.perSecond(3) {
				q := m.chat(rareSegment)
				beside++
				before := m.refused[Quarantined]
				m.submit(q)
				refused += m.refused[Quarantined] - before
			}
			if m.perSecond(2) {
				q := m.chat(rareSegment)
				m.sound.requested--
				q.crashing, q.request.Digest = true, digest
				m.submit(q)
			}
		})
		m.logCrashes(t, seed)
		t.Logf("seed %d: %d of %d sound requests with the segment refused", seed, refused, beside)
		is.True(len(m.crashes) >= 3)
		after := 0
		for _, at := range m.reached {
			if at.After(m.crashes[2].Add(crashGrace)) {
				after++
			}
		}
		is.True(after <= maxReachedThrice)
		is.True(10*refused <= 2*beside)
	}
}
