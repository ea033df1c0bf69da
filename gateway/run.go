package main

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/gateway/internal/caller"
	"baobabpaddle/gateway/internal/serve"
	"baobabpaddle/gateway/internal/sidecar"
)

// headTimeout is how long the head of a request may take to arrive, so that one that never
// does can't hold up a drain without a limit.
const headTimeout = 10 * time.Second

type runCommand struct {
	program.SettingsFlag
}

// Run runs the gateway until a signal arrives, and then drains it.
func (c *runCommand) Run() error {
	return program.RunUntilSignal(c.SettingsFlag, run)
}

// components holds the components of a running gateway that uses sidecars.
type components struct {
	settings    Settings
	log         *slog.Logger
	dialer      link.Dialer
	metrics     *telemetry.Metrics
	client      *controller.Client
	coordinator *sidecar.Coordinator
	dispatcher  *sidecar.Dispatcher
	handler     *caller.Handler
	conns       *serve.Conns
}

// run runs the gateway until the context ends, and then drains it.
func run(ctx context.Context, s Settings) error {
	log := telemetry.NewLogger(os.Stderr, "gateway "+s.Name)
	cred, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Gateway,
		Name: s.Name,
	})
	if err != nil {
		return err
	}
	p := newComponents(s, cred, log)
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	listener, err := listenForCallers(s)
	if err != nil {
		return err
	}
	if err := program.ServeAdmin(runCtx, s.AdminListen, p.metrics, p.ready, log); err != nil {
		return err
	}
	go p.client.Run(runCtx)
	go p.coordinator.Run(runCtx)
	go p.conns.Run(runCtx)
	server := p.newServer()
	go p.serve(server, p.conns.Listener(listener))
	log.Info("gateway started", "listen", s.Listen)
	<-ctx.Done()
	p.drain(listener, server)
	log.Info("gateway stopped")
	return nil
}

// newServer returns the server for the connections of conns.
func (p *components) newServer() *http.Server {
	server := program.NewReporter("callers", p.metrics, p.log).Server(p.conns.Handler(p.handler))
	server.ConnState = p.conns.ConnState
	server.ConnContext = p.conns.ConnContext
	return server
}

// serve accepts callers' connections once there is a configuration. Until then connections
// stay in the listener's backlog, and readyz reports that the gateway is not ready.
func (p *components) serve(server *http.Server, listener net.Listener) {
	<-p.client.Synced()
	_ = server.Serve(listener)
}

// newComponents returns the components, connected to each other and not running.
func newComponents(s Settings, cred *credential.Credential, log *slog.Logger) *components {
	p := &components{
		settings: s,
		log:      log,
		metrics:  telemetry.NewMetrics(),
		dialer: link.Dialer{
			Credential: cred,
			Stats:      &link.Stats{},
		},
	}
	p.dialer.Panicked = program.NewReporter("fleet", p.metrics, log).LinkPanicked
	p.client = controller.NewClient(controller.ClientSettings{
		Controllers: s.Controllers,
		Hello: wire.Hello{
			Address: s.Listen,
			Zone:    s.Zone,
		},
	}, p.dialer, log, func() {})
	placerSettings := share.PlacerSettings{
		MaxWaiting: s.MaxWaiting,
	}
	if s.DisableAffinity {
		placerSettings.AffinityLookahead = 1
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.coordinator = sidecar.NewCoordinator(s.Name, placerSettings, p.client, p.dialer, random, log)
	p.dispatcher = sidecar.NewDispatcher(p.coordinator, sidecar.NewRunner(cred), p.client, p.client, log)
	p.handler = caller.New(p.client, p.dispatcher, p.metrics)
	p.conns = serve.NewConns(math.MaxInt, func() time.Duration { return math.MaxInt64 }, func() time.Duration { return headTimeout })
	p.registerMetrics()
	return p
}

// listenForCallers listens on the callers' address. Without a certificate, which means without
// TLS, the address must be on loopback.
func listenForCallers(s Settings) (net.Listener, error) {
	address, err := netip.ParseAddrPort(s.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "listen")
	}
	if s.CallerCertFile == "" && !address.Addr().IsLoopback() {
		return nil, merry.New("listen: want a loopback address or a caller_cert_file")
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "listen")
	}
	if s.CallerCertFile == "" {
		return listener, nil
	}
	pair, err := tls.LoadX509KeyPair(s.CallerCertFile, s.CallerKeyFile)
	if err != nil {
		return nil, merry.Prepend(err, "caller_cert_file")
	}
	return tls.NewListener(listener, &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}), nil
}

// ready returns an error until the gateway has a configuration.
func (p *components) ready() error {
	select {
	case <-p.client.Synced():
		return nil
	default:
		return merry.New("no configuration yet")
	}
}

// drain refuses new requests and waits until those in flight are answered, or for
// DrainSeconds if set.
func (p *components) drain(listener net.Listener, server *http.Server) {
	p.log.Info("gateway drains", "waiting", p.coordinator.Waiting())
	p.handler.Drain()
	var deadline time.Time
	if p.settings.DrainSeconds > 0 {
		deadline = time.Now().Add(time.Duration(p.settings.DrainSeconds) * time.Second)
	}
	if cut := finish(listener, server, p.conns, deadline); cut > 0 {
		p.log.Warn("drain deadline passed, requests in flight are cut off", "in_flight", cut)
	}
	p.dispatcher.Wait()
}

// registerMetrics registers the metrics of a gateway that uses sidecars.
func (p *components) registerMetrics() {
	m := p.metrics
	m.Gauge("gateway_waiting", func() float64 { return float64(p.coordinator.Waiting()) })
	m.Gauge("gateway_sidecars_linked", func() float64 { return float64(p.coordinator.Linked()) })
	m.Gauge("gateway_revision", func() float64 { return float64(p.client.View().Revision) })
	m.Gauge("gateway_teams_known", func() float64 { return float64(p.client.Teams().Len()) })
	m.Gauge("link_bytes_in", func() float64 { return float64(p.dialer.Stats.BytesIn.Load()) })
	m.Gauge("link_bytes_out", func() float64 { return float64(p.dialer.Stats.BytesOut.Load()) })
}
