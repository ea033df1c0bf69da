package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/controller/internal/forward"
	"baobabpaddle/controller/internal/node"
	"baobabpaddle/controller/internal/operator"
	"baobabpaddle/controller/internal/order"
	"baobabpaddle/controller/internal/platform"
	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
)

// drainTimeout bounds the wait for open requests when the controller stops.
const drainTimeout = 5 * time.Second

// runCommand runs a controller of a fleet whose controllers are added and removed by
// operators.
type runCommand struct {
	program.SettingsFlag
}

// Run runs the controller until a signal.
func (c *runCommand) Run() error {
	return program.RunUntilSignal(c.SettingsFlag, run)
}

// runProcess holds the parts of a `controller run` process.
type runProcess struct {
	settings   Settings
	credential *credential.Credential
	dialer     link.Dialer
	replica    *replica.Replica
	hub        *node.Hub
	accounts   *node.Accounts
	forward    *forward.Forwarder
	metrics    *telemetry.Metrics
}

// run runs the controller until the context ends or its replica fails.
func run(ctx context.Context, s Settings) error {
	log := telemetry.NewLogger(os.Stderr, "controller "+s.Name)
	cred, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Controller,
		Name: s.Name,
	})
	if err != nil {
		return err
	}
	store, restored, err := disk.Open(s.DataFolder)
	if err != nil {
		return err
	}
	defer store.Close()
	metrics := telemetry.NewMetrics()
	dialer := link.Dialer{
		Credential: cred,
		Stats:      &link.Stats{},
		Panicked:   program.NewReporter("fleet", metrics, log).LinkPanicked,
	}
	r, err := replica.New(replica.Settings{
		SnapshotEvery:      s.SnapshotEvery,
		DisableGroupCommit: s.DisableGroupCommit,
	}, store, restored, dialer, nil, log)
	if err != nil {
		return err
	}
	p := &runProcess{
		settings:   s,
		credential: cred,
		dialer:     dialer,
		replica:    r,
		hub:        node.New(r, log),
		accounts:   node.NewAccounts(r),
		forward:    forward.New(r, cred),
		metrics:    metrics,
	}
	p.registerMetrics()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := cred.Listen(s.Listen)
	if err != nil {
		return err
	}
	if err := program.ServeAdmin(ctx, s.AdminListen, p.metrics, p.ready, log); err != nil {
		return err
	}
	server := program.NewReporter("fleet", p.metrics, log).Server(p.handler(ctx))
	go server.Serve(listener)
	go p.hub.Run(ctx)
	go p.accounts.Run(ctx)
	go order.New(r, p.forward, order.NewSidecarClient(cred), s.Name, s.WeightStoreBytesPerSecond, log).Run(ctx)
	if s.PlatformListURL != "" {
		go platform.Poll(ctx, s.PlatformListURL, p.hub.SetLeavingHosts)
	}
	log.Info("controller started", "listen", s.Listen, "replica", store.Identity().ReplicaID)
	err = r.Run(ctx)
	cancel()
	drainCtx, stop := context.WithTimeout(context.Background(), drainTimeout)
	defer stop()
	_ = server.Shutdown(drainCtx) // requests that are open after the deadline are cut off
	log.Info("controller stopped", "cause", err)
	return err
}

// ready returns nil if a majority confirmed recently that this controller's copy of the
// replicated state is current.
func (p *runProcess) ready() error {
	if !p.hub.Current() {
		return merry.New("not confirmed current by a quorum")
	}
	return nil
}

// handler returns all routes. Each requires a credential of one of the roles that need
// it.
func (p *runProcess) handler(ctx context.Context) http.Handler {
	c := p.credential
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathReplica, c.Require(p.replica.Handler(), credential.Controller))
	mux.Handle("GET "+wire.PathNode, c.Require(p.hub.Handler(ctx, p.dialer), credential.Gateway, credential.Sidecar))
	mux.Handle("GET "+wire.PathAccount, c.Require(p.accounts.Handler(ctx, p.dialer), credential.Sidecar))
	unary := rpc.NewControllerServer(node.NewUnary(p.replica, p.forward))
	mux.Handle(unary.PathPrefix(), c.Require(node.WithPeer(c, unary),
		credential.Gateway, credential.Sidecar, credential.Controller))
	api := operator.New(p.replica, p.forward, p.status)
	mux.Handle("/v1/", c.Require(api.Handler(), credential.Operator))
	return mux
}

// status returns the status that operators read.
func (p *runProcess) status() operator.Status {
	out := operator.Status{
		Status:          p.replica.Status(),
		LeaderAddress:   p.replica.LeaderAddress(),
		Current:         p.hub.Current(),
		Nodes:           p.hub.NodeCount(),
		BackloggedTeams: p.accounts.BackloggedTeams(),
	}
	p.replica.View(func(s *state.State) {
		out.Claims = len(s.Claims)
		out.Disks = len(s.Disks)
		out.Teams = len(s.Resources[resource.KindTeam])
	})
	return out
}

// registerMetrics registers the gauges of the controller.
func (p *runProcess) registerMetrics() {
	m := p.metrics
	m.Gauge("controller_is_leader", func() float64 {
		if p.replica.IsLeader() {
			return 1
		}
		return 0
	})
	m.Gauge("controller_current", func() float64 {
		if p.hub.Current() {
			return 1
		}
		return 0
	})
	m.Gauge("controller_term", func() float64 { return float64(p.replica.Status().Term) })
	m.Gauge("controller_commit_index", func() float64 { return float64(p.replica.Status().Commit) })
	m.Gauge("controller_revision", func() float64 { return float64(p.replica.Status().Revision) })
	m.Gauge("controller_log_bytes", func() float64 { return float64(p.replica.Status().LogBytes) })
	m.Gauge("controller_nodes", func() float64 { return float64(p.hub.NodeCount()) })
	m.Gauge("controller_backlogged_teams", func() float64 { return float64(p.accounts.BackloggedTeams()) })
	m.Gauge("link_bytes_in", func() float64 { return float64(p.dialer.Stats.BytesIn.Load()) })
	m.Gauge("link_bytes_out", func() float64 { return float64(p.dialer.Stats.BytesOut.Load()) })
}
