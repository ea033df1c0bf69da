package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
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
	eventQueue
	scheduler *Scheduler
	random    *rand.Rand
	upstreams int
	// others are the last of the upstreams, which serve another service. With soundAtPlain
	// they are the only ones that requests crash.
	others       int
	soundAtPlain bool
	crashing     map[uint64]bool // digests of requests that crash upstreams
	downTill     map[string]time.Time
	starts       map[string]int
	inFlight     map[string][]*plainRequest
	nextID       uint64
	crashes      map[uint64][]time.Time // by the digest of the request
	reached      map[uint64][]time.Time // the same, arrivals at running upstreams
	requests     []*plainRequest
}

// newTwoServiceModel returns a model with upstreams of a second service.
func newTwoServiceModel(seed uint64, upstreams, others int, crashing ...uint64) *plainModel {
	m := newPlainModel(seed, upstreams, crashing...)
	m.others = others
	m.scheduler = m.newScheduler()
	return m
}

func newPlainModel(seed uint64, upstreams int, crashing ...uint64) *plainModel {
	m := &plainModel{
		eventQueue: eventQueue{
			now: epoch,
		},
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
		if i >= m.upstreams-m.others {
			list[i].Service = "other"
		}
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
func (m *plainModel) send(digest uint64, safe bool) { m.sendTo("plain", digest, safe) }

// sendTo has a new request placed at a service.
func (m *plainModel) sendTo(service string, digest uint64, safe bool) {
	q := &plainRequest{
		request: Request{
			Service:    service,
			Zone:       zoneA,
			Digest:     digest,
			Objective:  100 * time.Millisecond,
			Idempotent: safe,
		},
		safe:     safe,
		crashing: m.crashing[digest] && (service != "plain" || !m.soundAtPlain),
	}
	m.requests = append(m.requests, q)
	m.submit(q)
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
		m.at(m.now.Add(refusedDial), func() {
			m.scheduler.RecordEnd(m.now, key, ConnectionRefused)
			m.submit(q)
		})
		return
	}
	m.inFlight[d.Upstream] = append(m.inFlight[d.Upstream], q)
	if q.crashing {
		m.reached[q.request.Digest] = append(m.reached[q.request.Digest], m.now)
		m.at(m.now.Add(plainRunToCrash), func() {
			if m.starts[q.upstream] == q.start {
				m.crashes[q.request.Digest] = append(m.crashes[q.request.Digest], m.now)
				m.crash(q.upstream)
			}
		})
		return
	}
	m.at(m.now.Add(time.Duration(m.random.Int64N(int64(plainWork)))), func() {
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
		m.at(m.now.Add(refusedDial), func() {
			m.scheduler.RecordEnd(m.now, key, Crashed)
			if q.safe && q.attempts < maxAttempts {
				m.submit(q)
			}
		})
	}
}

// play runs the model for a time and calls arrive once a millisecond.
func (m *plainModel) play(span time.Duration, arrive func()) {
	m.eventQueue.play(span, func() {
		m.scheduler.WeighEvidence(m.now)
		arrive()
	})
}

// sound submits sound requests: bookings of which each is another one, look-ups of ten
// popular targets, and look-ups of one caller that repeats itself.
func (m *plainModel) sound() {
	if perSecond(m.random, 20) {
		m.send(1<<32+m.random.Uint64N(1<<32), false)
	}
	if perSecond(m.random, 15) {
		m.send(100+m.random.Uint64N(10), true)
	}
	if perSecond(m.random, 10) {
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
