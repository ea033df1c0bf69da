package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/controller/internal/forward"
	"baobabpaddle/controller/internal/gateway"
	"baobabpaddle/controller/internal/operator"
	"baobabpaddle/controller/internal/peer"
	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/controller/rpc"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/platform"
)

// memoryPart is the part of the process's memory that the runtime may use before
// it collects garbage harder.
const memoryPart = 0.8

type serveCommand struct {
	program.DeploymentSettingsFlag
}

// Run runs the controller until a signal.
func (c *serveCommand) Run() error {
	return program.RunWithReload(c.Path(platform.SettingsPath), serve)
}

// serving are the running parts of a controller that serves.
type serving struct {
	settings ServeSettings
	log      *slog.Logger
	peers    *peer.Peers
	member   *peer.Member
	hub      *gateway.Hub
	forward  *forward.Forwarder
	metrics  *telemetry.Metrics
	stats    *link.Stats
	// listRead is when the platform's list was last read, in Unix nanoseconds.
	listRead atomic.Int64
}

func serve(ctx context.Context, s ServeSettings, changes <-chan ServeSettings) error {
	out := telemetry.NewWriter(os.Stdout)
	defer out.Close()
	log := telemetry.NewLogger(out, "controller "+s.Name)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	}
	proof, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Controller,
		Name: s.Name,
	})
	if err != nil {
		return err
	}
	p := newServing(s, proof, log)
	listener, err := proof.Listen(s.listen())
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", s.OperatorListen)
	if err != nil {
		return merry.Prepend(err, "operator_listen")
	}
	if err := program.ServeAdmin(ctx, s.AdminListen, p.metrics, p.ready); err != nil {
		return err
	}
	if err := program.ServeMetrics(ctx, s.MetricsListen, p.metrics); err != nil {
		return err
	}
	p.metrics.RegisterLog(out)
	dialer := p.dialer(proof)
	fleet := program.NewServer(p.handler(ctx, proof, dialer))
	go fleet.Serve(listener)
	api := operator.NewConfigurations(p.member, p.forward, p.peers, s.ToleratedHosts, p.log)
	outer := program.NewServer(api.Handler())
	go outer.Serve(operators)
	go program.WatchPauses(ctx, log)
	go p.peers.Run(ctx)
	go p.hub.Run(ctx)
	go p.readList(ctx)
	log.Info("controller started", "listen", s.listen(), "disk", s.DataFolder != "", "first_start", s.FirstStart)
	go func() {
		for changed := range changes {
			log.Info("settings read again", "seeds", changed.Seeds)
			p.peers.SetSeeds(changed.peers())
		}
	}()
	p.member.Run(ctx)
	log.Info("controller stopped")
	fleet.Close()
	outer.Close()
	return nil
}

func (p *serving) dialer(proof *credential.Credential) link.Dialer {
	return link.Dialer{
		Credential:  proof,
		Heartbeat:   serveLinkHeartbeat,
		DialTimeout: serveDialTimeout,
		MaxBackoff:  serveMaxBackoff,
		Stats:       p.stats,
	}
}

func newServing(s ServeSettings, proof *credential.Credential, log *slog.Logger) *serving {
	p := &serving{
		settings: s,
		log:      log,
		metrics:  telemetry.NewMetrics(),
		stats:    &link.Stats{},
	}
	p.peers = peer.NewPeers(membership.Controller{
		Address:         s.peerAddress(),
		OperatorAddress: s.OperatorListen,
		HasDisk:         s.DataFolder != "",
		FirstStart:      s.FirstStart,
	}, s.peers(), proof, log)
	p.member = peer.NewMember(s.DataFolder, replica.Settings{
		Raft: raft.Settings{
			ElectionTimeout:   serveElectionTimeout,
			HeartbeatInterval: serveHeartbeatInterval,
			StartTimeout:      serveStartTimeout,
			MaxVoters:         serveMaxVoters,
			ReplaceAfter:      serveReplaceAfter,
		},
		MaxLogBytes: serveMaxLogBytes,
	}, p.peers, p.dialer(proof), log)
	p.hub = gateway.New(p.member, p.peers, p.metrics, log)
	p.forward = forward.New(p.member, proof)
	p.registerMetrics()
	return p
}

func (p *serving) handler(ctx context.Context, proof *credential.Credential, dialer link.Dialer) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathReplica, proof.Require(p.member.Handler(ctx, dialer), credential.Controller))
	mux.Handle("GET "+wire.PathServe, proof.Require(p.hub.Handler(ctx, dialer), credential.Gateway))
	unary := rpc.NewControllerServer(peer.NewUnary(p.member, p.forward))
	mux.Handle(unary.PathPrefix(), proof.Require(unary, credential.Controller))
	return mux
}

func (p *serving) ready() error {
	if p.settings.DataFolder != "" && p.member.Replica() == nil {
		return peer.ErrNoReplica
	}
	return nil
}

// readList reads the platform's list while this controller leads.
func (p *serving) readList(ctx context.Context) {
	list := platform.NewUpstreamList(p.settings.ListAddress)
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	failed := false
	for {
		if p.member.IsLeader() {
			upstreams, err := list.Upstreams(ctx)
			if err == nil {
				p.listRead.Store(time.Now().UnixNano())
				p.hub.SetUpstreams(ctx, upstreams)
			}
			if failed != (err != nil) {
				failed = err != nil
				p.log.Info("list of upstreams", "readable", !failed, "cause", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.hub.ListWanted():
		}
	}
}
