package dispatch

import (
	"fmt"
	"slices"
	"time"

	"baobabpaddle/fleet/quarantine"
)

const (
	// engineRestart is the time for which a modelled engine that crashed is down by default, and
	// refusedDial the time in which a gateway learns that it can't connect.
	engineRestart = 3200 * time.Millisecond
	refusedDial   = time.Millisecond
	// maxAttempts is the number of engines that a gateway tries for one request.
	maxAttempts = 2
	// chatTokens is the mean length of the part of a modelled prompt that is not shared.
	chatTokens = 628
	// commonSegment is the first segment of all modelled prompts.
	commonSegment = 1
)

// segments returns the subjects of a prompt with the given shared segments.
func segments(ids ...uint64) []quarantine.Subject {
	out := make([]quarantine.Subject, len(ids))
	for i, id := range ids {
		out[i].ID = id
	}
	return out
}

// modelRequest is a request of a crashModel, over all engines that it is sent to.
type modelRequest struct {
	request  Request
	engine   string
	start    int // of the engine, which counts its starts
	attempts int
	begun    bool // the caller has events of an answer
	crashing bool
}

// crashModel models engines that crash when they begin to answer a prompt with certain
// segments, or later in the answer. All requests at a crashed engine break off; gateways send
// them again, and it is back after restartTime.
type crashModel struct {
	*simulation
	// answerTime is the time from the begin of an answer to its end, and crashAfter, unless it
	// is nil, returns the time from the begin of an answer to the crash that it causes.
	answerTime  time.Duration
	restartTime time.Duration // of an engine that crashed
	crashAfter  func() time.Duration
	crashing    map[uint64]bool // segments that crash engines
	downTill    map[string]time.Time
	starts      map[string]int
	inFlight    map[string][]*modelRequest // requests at each engine
	// crashes are the times at which an engine crashed because of a request, and reached
	// those at which a request with a crashing segment was sent to a running engine.
	crashes []time.Time
	reached []time.Time
	// sound counts the requests without a crashing segment, and refused those that were
	// refused, by reason.
	sound   tally
	refused map[Reason]int
	// refusedForGood is the number of refusals of sound requests, first ones and repeats, that ask
	// for no retry although an engine may take the request later.
	refusedForGood int
	// crashingRefused are the decisions to refuse a request with a crashing segment.
	crashingRefused []Decision
}

func newCrashModel(seed uint64, engines int, crashing ...uint64) *crashModel {
	m := &crashModel{
		simulation:  newSimulation(seed, engines),
		answerTime:  2300 * time.Millisecond,
		restartTime: engineRestart,
		crashing:    make(map[uint64]bool),
		downTill:    make(map[string]time.Time),
		starts:      make(map[string]int),
		inFlight:    make(map[string][]*modelRequest),
		refused:     make(map[Reason]int),
	}
	m.scheduler.settings.Trials = true
	for _, segment := range crashing {
		m.crashing[segment] = true
	}
	return m
}

// chat returns a request whose prompt has the common segment, the given shared segments
// and one of its own.
func (m *crashModel) chat(shared ...uint64) *modelRequest {
	r := m.request(fmt.Sprintf("t%02d", m.random.IntN(16)), requestKind{
		class:     "chat",
		tokens:    chatTokens,
		output:    290,
		objective: 400 * time.Millisecond,
		spread:    0.5,
	})
	r.Idempotent = true
	own := r.Prompt.Segments[0]
	r.Prompt.Segments = nil
	q := &modelRequest{}
	for _, id := range append([]uint64{commonSegment}, shared...) {
		r.Prompt.Segments = append(r.Prompt.Segments, PromptSegment{
			ID:     id,
			Tokens: 99,
		})
		r.Prompt.Tokens += 99
		q.crashing = q.crashing || m.crashing[id]
	}
	r.Prompt.Segments = append(r.Prompt.Segments, own)
	q.request = r
	if !q.crashing {
		m.sound.requested++
	}
	return q
}

// submit has a request placed and sent to the engine.
func (m *crashModel) submit(q *modelRequest) {
	m.nextID++
	q.request.ID = m.nextID
	q.request.Resumed = q.attempts > 0
	d := m.scheduler.Place(m.now, gateway, q.request)
	if d.Upstream == "" {
		if !q.crashing && d.Reason == Quarantined && d.RetryAfter == 0 {
			m.refusedForGood++
		}
		if q.crashing {
			m.crashingRefused = append(m.crashingRefused, d)
		} else if q.attempts == 0 {
			m.refused[d.Reason]++
		}
		return
	}
	q.attempts++
	q.engine, q.start = d.Upstream, m.starts[d.Upstream]
	q.request.Excluded = append(slices.Clip(q.request.Excluded), d.Upstream)
	key := Key{
		Gateway: gateway,
		ID:      q.request.ID,
	}
	if m.now.Before(m.downTill[d.Upstream]) {
		m.at(m.now.Add(refusedDial), func() {
			m.scheduler.RecordEnd(m.now, key, ConnectionRefused)
			m.again(q)
		})
		return
	}
	if q.crashing {
		m.reached = append(m.reached, m.now)
	}
	m.inFlight[q.engine] = append(m.inFlight[q.engine], q)
	e := m.engines[d.Upstream]
	begin := m.now
	if e.freeAt.After(begin) {
		begin = e.freeAt
	}
	prefill := time.Duration(m.scheduler.placed[key].uncached / e.prefillSpeed * float64(time.Millisecond))
	e.freeAt = begin.Add(prefill)
	m.at(e.freeAt.Add(30*time.Millisecond), func() { m.begin(q, key) })
}

// begin has the engine begin to answer a request, unless it crashed meanwhile.
func (m *crashModel) begin(q *modelRequest, key Key) {
	if m.starts[q.engine] != q.start {
		return
	}
	if q.crashing && m.crashAfter == nil {
		m.crashes = append(m.crashes, m.now)
		m.crash(q.engine)
		return
	}
	m.scheduler.RecordStart(m.now, key)
	if q.crashing {
		m.at(m.now.Add(m.crashAfter()), func() {
			if m.starts[q.engine] == q.start {
				m.crashes = append(m.crashes, m.now)
				m.crash(q.engine)
			}
		})
		return
	}
	if !q.begun {
		q.begun = true
		m.sound.started++
	}
	m.at(m.now.Add(m.answerTime), func() {
		if m.starts[q.engine] != q.start {
			return
		}
		m.remove(q)
		m.scheduler.RecordEnd(m.now, key, Answered)
	})
}

// crash ends an engine and all requests that it has.
func (m *crashModel) crash(engine string) {
	broken := m.inFlight[engine]
	m.inFlight[engine] = nil
	m.starts[engine]++
	m.downTill[engine] = m.now.Add(m.restartTime)
	m.engines[engine].freeAt = m.downTill[engine]
	for _, q := range broken {
		key := Key{
			Gateway: gateway,
			ID:      q.request.ID,
		}
		m.at(m.now.Add(refusedDial), func() {
			m.scheduler.RecordEnd(m.now, key, Crashed)
			m.again(q)
		})
	}
}

// again sends a request to another engine if it may be sent to one.
func (m *crashModel) again(q *modelRequest) {
	if q.attempts < maxAttempts {
		m.submit(q)
	}
}

func (m *crashModel) remove(q *modelRequest) {
	m.inFlight[q.engine] = slices.DeleteFunc(m.inFlight[q.engine], func(other *modelRequest) bool { return other == q })
}

// reachedAfterBound returns the number of requests with a crashing segment that reached
// running engines later than crashGrace after the fifth crash.
func (m *crashModel) reachedAfterBound() int {
	if len(m.crashes) < 5 {
		return 0
	}
	bound, n := m.crashes[4].Add(crashGrace), 0
	for _, t := range m.reached {
		if t.After(bound) {
			n++
		}
	}
	return n
}

// changeLeader replaces the Scheduler by a new one, which gets what gateways report.
func (m *crashModel) changeLeader(engines int) {
	old := m.scheduler
	m.scheduler = New(Settings{
		Trials: true,
	}, old.random)
	m.scheduler.SetConfiguration(table())
	m.scheduler.SetUpstreams(upstreams(engines))
	m.scheduler.AddAccounts(m.now, old.Accounts(m.now))
	for _, placement := range old.Placements() {
		m.scheduler.RecordPlacement(m.now, placement, true)
	}
	m.scheduler.Quarantine().Merge(m.now, old.Quarantine().Records(m.now))
}
