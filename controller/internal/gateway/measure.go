package gateway

import (
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/trace"
)

// sampleInterval is how often the figures of the placing core are taken.
const sampleInterval = time.Second

// sample are what the placing core knew when it was last measured.
type sample struct {
	totals map[string]dispatch.ServiceLoad
	share  float64
	teams  int
	short  int
}

// metricsSampler publishes the core's figures. Services get gauges as they are seen;
// their number is that of the configuration.
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
	m.Gauge("controller_teams_counted", func() float64 { return float64(s.latest.Load().teams) })
	return s
}

// update measures the core if it is time, and returns the teams that are short then.
func (s *metricsSampler) update(now time.Time, core *dispatch.Scheduler) []dispatch.Shortfall {
	if now.Before(s.next) {
		return nil
	}
	s.next = now.Add(sampleInterval)
	f := &sample{
		totals: make(map[string]dispatch.ServiceLoad),
	}
	for _, t := range core.ServiceLoads(now) {
		f.totals[t.Service] = t
		s.register(t.Service)
	}
	f.share, f.teams = core.ShareLevel()
	short := core.Shortfalls(now)
	f.short = len(short)
	s.latest.Store(f)
	return short
}

// register adds the gauges of a service.
func (s *metricsSampler) register(service string) {
	if s.seen[service] {
		return
	}
	s.seen[service] = true
	label := `{service="` + service + `"}`
	of := func(value func(dispatch.ServiceLoad) float64) func() float64 {
		return func() float64 { return value(s.latest.Load().totals[service]) }
	}
	s.metrics.Gauge(`controller_upstreams_listed`+label, of(func(t dispatch.ServiceLoad) float64 { return float64(t.Listed) }))
	s.metrics.Gauge(`controller_upstreams_usable`+label, of(func(t dispatch.ServiceLoad) float64 { return float64(t.Usable) }))
	s.metrics.Gauge(`controller_upstream_slots`+label, of(func(t dispatch.ServiceLoad) float64 { return float64(t.Slots) }))
	s.metrics.Gauge(`controller_upstream_running`+label, of(func(t dispatch.ServiceLoad) float64 { return float64(t.Running) }))
	s.metrics.Gauge(`controller_upstream_unread_tokens`+label, of(func(t dispatch.ServiceLoad) float64 { return float64(t.PrefillBacklog) }))
}

// reportObservations logs and measures what the core has learned.
func (h *Hub) reportObservations(now time.Time) {
	trace.LogUpstreamChanges(h.log, now, h.scheduler.SuspensionChanges())
	trace.LogShortfalls(h.log, now.Sub(h.servingSince), h.sampler.update(now, h.scheduler))
}
