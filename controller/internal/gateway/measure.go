package gateway

import (
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/trace"
)

// measureInterval is how often the figures of the placing core are taken.
const measureInterval = time.Second

// figures are what the placing core knew when it was last measured.
type figures struct {
	totals map[string]dispatch.ServiceLoad
	share  float64
	teams  int
	short  int
}

// measures publishes the core's figures. Services get gauges as they are seen;
// their number is that of the configuration.
type measures struct {
	metrics *telemetry.Metrics
	latest  atomic.Pointer[figures]
	seen    map[string]bool
	next    time.Time
}

func newMeasures(m *telemetry.Metrics) *measures {
	s := &measures{
		metrics: m,
		seen:    make(map[string]bool),
	}
	s.latest.Store(&figures{})
	m.Gauge("controller_team_share_tokens", func() float64 { return s.latest.Load().share })
	m.Gauge("controller_teams_short", func() float64 { return float64(s.latest.Load().short) })
	m.Gauge("controller_teams_counted", func() float64 { return float64(s.latest.Load().teams) })
	return s
}

// take measures the core if it is time, and returns the teams that are short then.
func (s *measures) take(now time.Time, core *dispatch.Scheduler) []dispatch.Shortfall {
	if now.Before(s.next) {
		return nil
	}
	s.next = now.Add(measureInterval)
	f := &figures{
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
func (s *measures) register(service string) {
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

// note logs and measures what the core has learned.
func (h *Hub) note(now time.Time) {
	trace.LogUpstreamChanges(h.log, now, h.core.SuspensionChanges())
	trace.LogShortfalls(h.log, now.Sub(h.servesSince), h.measures.take(now, h.core))
}
