package main

import "baobabpaddle/fleet/steady"

// registerMetrics registers the gauges of a gateway that reaches upstreams directly.
func (p *serveComponents) registerMetrics() {
	m := p.metrics
	m.Gauge("gateway_in_flight", func() float64 { return float64(p.handler.InFlight()) })
	m.Gauge("gateway_callers_connections", func() float64 { return float64(p.handler.Conns().Open()) })
	m.Gauge("gateway_linked", func() float64 {
		if p.link.View().Leader != "" {
			return 1
		}
		return 0
	})
	m.Gauge("gateway_configuration_version", func() float64 {
		if t := p.link.View().Table; t != nil {
			return float64(t.Configuration.Version)
		}
		return 0
	})
	m.Gauge("gateway_proof_left_seconds", func() float64 {
		return p.link.View().ProvenUntil.Sub(steady.Now()).Seconds()
	})
	m.Gauge("gateway_evacuated_zones", func() float64 { return float64(len(p.link.View().EvacuatedZones)) })
	m.Gauge("gateway_upstreams_listed", func() float64 { return float64(len(p.link.View().Upstreams)) })
	m.Gauge("gateway_unplaced", func() float64 {
		waiting, _ := p.handler.Waiting()
		return float64(waiting)
	})
	m.Gauge("gateway_expected_wait_seconds", func() float64 {
		_, wait := p.handler.Waiting()
		return wait.Seconds()
	})
	m.Gauge("gateway_resting", func() float64 {
		if p.handler.Load().Overloaded() {
			return 1
		}
		return 0
	})
}
