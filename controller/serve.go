package main

import (
	"context"
	"log/slog"
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
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/platform"
)

// memoryLimitFraction is the fraction of the settings' memory_mb that the Go runtime may
// use. Near that limit it collects garbage more often. The rest is for the program's text, for
// what has arrived and is not read, and for what the runtime uses beyond the limit meanwhile.
const memoryLimitFraction = 0.65

// serveCommand runs a controller that discovers the others.
type serveCommand struct {
	program.DeploymentSettingsFlag
}

// Run runs the controller until a signal.
func (c *serveCommand) Run() error {
	return program.RunWithReload(c.Path(platform.SettingsPath), serve)
}

// serveProcess holds the parts of a `controller serve` process.
type serveProcess struct {
	settings ServeSettings
	log      *slog.Logger
	peers    *peer.Peers
	member   *peer.Member
	hub      *gateway.Hub
	forward  *forward.Forwarder
	streams  *gateway.StreamHolder
	metrics  *telemetry.Metrics
	stats    *link.Stats
	// listReadAt is when the platform's list was last read, in Unix nanoseconds.
	listReadAt atomic.Int64
}

// serve runs the controller until the context ends. Of changed settings it applies the
// seeds and the zones only.
func serve(ctx context.Context, s ServeSettings, changes <-chan ServeSettings) error {
	out := telemetry.NewWriter(os.Stdout)
	defer out.Close()
	log := telemetry.NewLogger(out, "controller "+s.Name)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	}
	cred, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Controller,
		Name: s.Name,
	})
	if err != nil {
		return err
	}
	p := newServeProcess(s, cred, log)
	listener, err := cred.Listen(s.listen())
	if err != nil {
		return err
	}
	if err := program.BoundListener(listener, program.LinkBuffers); err != nil {
		return err
	}
	operatorListener, err := program.ListenBounded(ctx, s.OperatorListen, program.DocumentBuffers)
	if err != nil {
		return merry.Prepend(err, "operator_listen")
	}
	if err := program.ServeAdmin(ctx, s.AdminListen, p.metrics, p.ready, log); err != nil {
		return err
	}
	if err := program.ServeMetrics(ctx, s.MetricsListen, p.metrics, log); err != nil {
		return err
	}
	p.metrics.RegisterLog(out)
	dialer := p.dialer(cred)
	fleetServer := program.ServeLimited(s.fleetServer(), listener, p.handler(ctx, cred, dialer), p.metrics, log)
	api := operator.NewConfigurationAPI(p.member, p.forward, p.peers, s.ToleratedHosts, p.metrics, p.log)
	api.SetZones(s.Zones)
	operatorServer := program.ServeLimited(s.operatorServer(), operatorListener, api.Handler(), p.metrics, log)
	go program.WatchPauses(ctx, log)
	go p.peers.Run(ctx)
	go p.hub.Run(ctx)
	go p.streams.Run(ctx)
	go p.pollUpstreams(ctx)
	log.Info("controller started", "listen", s.listen(), "disk", s.DataFolder != "", "first_start", s.FirstStart)
	go func() {
		for changed := range changes {
			log.Info("settings read again", "seeds", changed.Seeds, "zones", changed.Zones)
			p.peers.SetSeeds(changed.seedAddresses())
			api.SetZones(changed.Zones)
		}
	}()
	p.member.Run(ctx)
	log.Info("controller stopped")
	fleetServer.Close()
	operatorServer.Close()
	return nil
}

// dialer returns the dialer for links to other controllers.
func (p *serveProcess) dialer(cred *credential.Credential) link.Dialer {
	return link.Dialer{
		Credential:  cred,
		Heartbeat:   serveLinkHeartbeat,
		DialTimeout: serveDialTimeout,
		MaxBackoff:  serveMaxBackoff,
		Stats:       p.stats,
		Panicked:    program.NewReporter("fleet", p.metrics, p.log).LinkPanicked,
	}
}

// newServeProcess returns the parts of a controller; nothing runs yet.
func newServeProcess(s ServeSettings, cred *credential.Credential, log *slog.Logger) *serveProcess {
	p := &serveProcess{
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
	}, s.seedAddresses(), s.ToleratedHosts, cred, log)
	p.member = peer.NewMember(s.DataFolder, replica.Settings{
		Raft: raft.Settings{
			ElectionTimeout:   serveElectionTimeout,
			HeartbeatInterval: serveHeartbeatInterval,
			StartTimeout:      serveStartTimeout,
			MaxVoters:         serveMaxVoters,
			ReplaceAfter:      serveReplaceAfter,
		},
		MaxLogBytes: serveMaxLogBytes,
	}, p.peers, p.dialer(cred), log)
	p.hub = gateway.New(p.member, p.peers, p.metrics, log)
	p.hub.SetColdAllowance(dispatch.ColdAllowance{
		Excess: s.ColdExcess,
		Slack:  s.ColdSlack,
	})
	p.forward = forward.New(p.member, cred)
	p.streams = gateway.NewStreamHolder(p.forward, log)
	p.registerMetrics()
	return p
}

// recordStreamsMethod is the unary call of gateways.
const recordStreamsMethod = "RecordStreams"

// handler returns the routes for the fleet's processes.
func (p *serveProcess) handler(ctx context.Context, cred *credential.Credential, dialer link.Dialer) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathReplica, cred.Require(p.member.Handler(), credential.Controller))
	mux.Handle("GET "+wire.PathServe, cred.Require(p.hub.Handler(ctx, dialer), credential.Gateway))
	unary := rpc.NewControllerServer(peer.NewUnary(p.member, p.forward, p.streams))
	mux.Handle(unary.PathPrefix(), cred.Require(unary, credential.Controller))
	mux.Handle(unary.PathPrefix()+recordStreamsMethod, cred.Require(unary, credential.Gateway))
	return mux
}

// ready returns nil if the replica of a controller with a disk runs.
func (p *serveProcess) ready() error {
	if p.settings.DataFolder != "" && p.member.Replica() == nil {
		return peer.ErrNoReplica
	}
	return nil
}

// pollUpstreams reads the platform's list while this controller leads.
func (p *serveProcess) pollUpstreams(ctx context.Context) {
	list := platform.NewUpstreamList(p.settings.ListAddress)
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	failed := false
	for {
		if term := p.hub.Term(); term.Leads() {
			asOf := time.Now().Add(-p.settings.listLag())
			upstreams, err := list.Upstreams(ctx)
			if err == nil {
				p.listReadAt.Store(time.Now().UnixNano())
				p.hub.SetUpstreams(ctx, term, asOf, upstreams)
			}
			if failed != (err != nil) {
				failed = err != nil
				p.log.Info("readability of the list of upstreams changed", "readable", !failed, "cause", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.hub.ListRequests():
		}
	}
}
