package gateway

import (
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/trace"
)

// sampleInterval is the pause between two samples of the scheduler.
const sampleInterval = time.Second

// sample is the state of the scheduler at one time.
type sample struct {
	loads map[string]dispatch.ServiceLoad // by service
	share float64                         // most tokens that a team may have within the window
	teams int                             // teams with an account
	short int                             // teams with a shortfall
	// limited is the number of upstreams that state a rate limit.
	limited int
	// cold is the number of cold upstreams. refusedCold and refusedLimited are the requests
	// refused in this term since all upstreams were cold, or had limits that were used up.
	cold           int
	refusedCold    uint64
	refusedLimited uint64
	// segments and requests are the numbers of quarantined prompt segments and requests.
	segments int
	requests int
	evidence dispatch.EvidenceCounts
	// streams is the number of streams in the replicated history.
	streams int
}

// metricsSampler publishes samples of the scheduler as gauges. A service gets its
// gauges when it is first seen; their number is bounded by the configuration.
type metricsSampler struct {
	metrics *telemetry.Metrics
	latest  atomic.Pointer[sample]
	seen    map[string]bool
	next    time.Time
}

func newMetricsSampler(m *telemetry.Metrics) *metricsSampler {
	s := &metricsSampler{
		metrics: m,
		seen:    make(map[string]bool),
	}
	s.latest.Store(&sample{})
	m.Gauge("controller_team_share_tokens", func() float64 { return s.latest.Load().share })
	m.Gauge("controller_teams_short", func() float64 { return float64(s.latest.Load().short) })
	m.Gauge("controller_segments_quarantined", func() float64 { return float64(s.latest.Load().segments) })
	m.Gauge("controller_requests_quarantined", func() float64 { return float64(s.latest.Load().requests) })
	m.Gauge(`controller_suspects_cleared_total{by="answer"}`, func() float64 { return float64(s.latest.Load().evidence.ClearedByAnswers) })
	m.Gauge(`controller_suspects_cleared_total{by="lasting_answer"}`, func() float64 { return float64(s.latest.Load().evidence.ClearedByLasting) })
	m.Gauge("controller_lasting_answers_crashed_total", func() float64 { return float64(s.latest.Load().evidence.LastingCrashed) })
	m.Gauge("controller_upstreams_rate_limited", func() float64 { return float64(s.latest.Load().limited) })
	m.Gauge("controller_upstreams_cold", func() float64 { return float64(s.latest.Load().cold) })
	m.Gauge(`controller_paced_refusals_total{by="cold"}`, func() float64 { return float64(s.latest.Load().refusedCold) })
	m.Gauge(`controller_paced_refusals_total{by="rate_limit"}`, func() float64 { return float64(s.latest.Load().refusedLimited) })
	m.Gauge("controller_streams_recorded", func() float64 { return float64(s.latest.Load().streams) })
	m.Gauge("controller_teams_counted", func() float64 { return float64(s.latest.Load().teams) })
	return s
}

// update takes a sample if one is due. It returns the teams that are short in it, and
// nil if none was taken. Streams returns the number of streams in the replicated history.
func (s *metricsSampler) update(now time.Time, scheduler *dispatch.Scheduler, streams func() int) []dispatch.Shortfall {
	if now.Before(s.next) {
		return nil
	}
	s.next = now.Add(sampleInterval)
	next := &sample{
		loads: make(map[string]dispatch.ServiceLoad),
	}
	for _, l := range scheduler.ServiceLoads(now) {
		next.loads[l.Service] = l
		s.register(l.Service)
	}
	next.share, next.teams = scheduler.ShareLevel()
	short := scheduler.Shortfalls(now)
	next.short = len(short)
	register := scheduler.Quarantine()
	next.segments, next.requests = register.QuarantinedOf(quarantine.Segment), register.QuarantinedOf(quarantine.Request)
	next.evidence = scheduler.EvidenceCounts()
	next.limited = len(scheduler.RateLimits())
	next.cold = scheduler.ColdUpstreams(now)
	next.refusedCold, next.refusedLimited = scheduler.PacedRefusals(true), scheduler.PacedRefusals(false)
	next.streams = streams()
	s.latest.Store(next)
	return short
}

// register registers the gauges of a service once.
func (s *metricsSampler) register(service string) {
	if s.seen[service] {
		return
	}
	s.seen[service] = true
	label := `{service="` + service + `"}`
	of := func(value func(dispatch.ServiceLoad) float64) func() float64 {
		return func() float64 { return value(s.latest.Load().loads[service]) }
	}
	s.metrics.Gauge(`controller_upstreams_listed`+label, of(func(l dispatch.ServiceLoad) float64 { return float64(l.Listed) }))
	s.metrics.Gauge(`controller_upstreams_usable`+label, of(func(l dispatch.ServiceLoad) float64 { return float64(l.Usable) }))
	s.metrics.Gauge(`controller_upstream_slots`+label, of(func(l dispatch.ServiceLoad) float64 { return float64(l.Slots) }))
	s.metrics.Gauge(`controller_upstream_running`+label, of(func(l dispatch.ServiceLoad) float64 { return float64(l.Running) }))
	s.metrics.Gauge(`controller_upstream_unread_tokens`+label, of(func(l dispatch.ServiceLoad) float64 { return float64(l.PrefillBacklog) }))
}

// reportObservations logs suspensions of upstreams and shortfalls of teams since the
// last call, and updates the gauges.
func (h *Hub) reportObservations(now time.Time) {
	trace.LogUpstreamChanges(h.log, now, h.scheduler.SuspensionChanges())
	trace.LogShortfalls(h.log, now.Sub(h.servingSince), h.sampler.update(now, h.scheduler, h.recordedStreams))
}
