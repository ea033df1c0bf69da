package main

import (
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/state"
)

// registerMetrics registers the gauges of the controller.
func (p *serveProcess) registerMetrics() {
	m := p.metrics
	m.Gauge("controller_is_leader", func() float64 {
		if p.member.IsLeader() {
			return 1
		}
		return 0
	})
	m.Gauge("controller_leader_known", p.replicaGauge(func(r *replica.Replica) float64 {
		if r.Status().Leader != 0 {
			return 1
		}
		return 0
	}))
	m.Gauge("controller_voters", p.replicaGauge(func(r *replica.Replica) float64 {
		members := r.Status().Members
		return float64(members.Voters())
	}))
	m.Gauge("controller_voters_linked", p.replicaGauge(func(r *replica.Replica) float64 { return float64(r.LinkedVoters()) }))
	m.Gauge("controller_voters_heard", p.replicaGauge(func(r *replica.Replica) float64 { return float64(r.HeardVoters()) }))
	m.Gauge("controller_replica_stops_total", func() float64 { return float64(p.member.ReplicaStops()) })
	m.Gauge("controller_members_index", p.replicaGauge(func(r *replica.Replica) float64 { return float64(r.Status().MembersIndex) }))
	m.Gauge("controller_term", p.replicaGauge(func(r *replica.Replica) float64 { return float64(r.Status().Term) }))
	m.Gauge("controller_commit_index", p.replicaGauge(func(r *replica.Replica) float64 { return float64(r.Status().Commit) }))
	m.Gauge("controller_log_bytes", p.replicaGauge(func(r *replica.Replica) float64 { return float64(r.Status().LogBytes) }))
	m.Gauge("controller_configuration_version", p.replicaGauge(func(r *replica.Replica) float64 {
		var version uint64
		r.View(func(s *state.State) { version = s.Configuration.Version })
		return float64(version)
	}))
	m.Gauge("controller_evacuated_zones", func() float64 { return float64(p.hub.EvacuatedZones()) })
	m.Gauge("controller_gateways_linked", func() float64 { return float64(p.hub.GatewayCount()) })
	m.Gauge("controller_list_age_seconds", func() float64 {
		if at := p.listReadAt.Load(); at > 0 {
			return time.Since(time.Unix(0, at)).Seconds()
		}
		return -1 // not read yet
	})
	m.Gauge("link_bytes_in", func() float64 { return float64(p.stats.BytesIn.Load()) })
	m.Gauge("link_bytes_out", func() float64 { return float64(p.stats.BytesOut.Load()) })
}

// replicaGauge returns a gauge of this controller's replica, which is zero while none
// runs.
func (p *serveProcess) replicaGauge(value func(*replica.Replica) float64) func() float64 {
	return func() float64 {
		if r := p.member.Replica(); r != nil {
			return value(r)
		}
		return 0
	}
}
