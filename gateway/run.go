package main

import (
	"context"
	"crypto/tls"
	"log/slog"
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
	"baobabpaddle/gateway/internal/sidecar"
)

type runCommand struct {
	program.SettingsFlag
}

// Run runs the gateway until a signal and then drains it.
func (c *runCommand) Run() error {
	return program.RunUntilSignal(c.SettingsFlag, run)
}

// parts are the running parts of a gateway.
type parts struct {
	settings   Settings
	log        *slog.Logger
	dialer     link.Dialer
	metrics    *telemetry.Metrics
	client     *controller.Client
	control    *sidecar.Coordinator
	dispatcher *sidecar.Dispatcher
	handler    *caller.Handler
}

func run(ctx context.Context, s Settings) error {
	log := telemetry.NewLogger(os.Stderr, "gateway "+s.Name)
	proof, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Gateway,
		Name: s.Name,
	})
	if err != nil {
		return err
	}
	p := newParts(s, proof, log)
	life, end := context.WithCancel(context.Background())
	defer end()
	listener, err := listenForCallers(s)
	if err != nil {
		return err
	}
	if err := program.ServeAdmin(life, s.AdminListen, p.metrics, p.ready); err != nil {
		return err
	}
	go p.client.Run(life)
	go p.control.Run(life)
	server := program.NewServer(p.handler)
	go p.serve(server, listener)
	log.Info("gateway started", "listen", s.Listen)
	<-ctx.Done()
	p.drain(server)
	log.Info("gateway stopped")
	return nil
}

// serve takes callers once there is a configuration; until then they wait in
// the listener's queue, and readyz says no.
func (p *parts) serve(server *http.Server, listener net.Listener) {
	<-p.client.Synced()
	_ = server.Serve(listener)
}

func newParts(s Settings, proof *credential.Credential, log *slog.Logger) *parts {
	p := &parts{
		settings: s,
		log:      log,
		metrics:  telemetry.NewMetrics(),
		dialer: link.Dialer{
			Credential: proof,
			Stats:      &link.Stats{},
		},
	}
	p.client = controller.NewClient(controller.ClientSettings{
		Controllers: s.Controllers,
		Hello: wire.Hello{
			Address: s.Listen,
			Zone:    s.Zone,
		},
	}, p.dialer, log, func() {})
	placing := share.PlacerSettings{
		MaxWaiting: s.MaxWaiting,
	}
	if s.DisableAffinity {
		placing.AffinityLookahead = 1
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.control = sidecar.NewCoordinator(s.Name, placing, p.client, p.dialer, random, log)
	p.dispatcher = sidecar.NewDispatcher(p.control, sidecar.NewRunner(proof), p.client, p.client, log)
	p.handler = caller.New(p.client, p.dispatcher, p.metrics)
	p.registerMetrics()
	return p
}

// listenForCallers opens the callers' address, with TLS unless it is on loopback.
func listenForCallers(s Settings) (net.Listener, error) {
	address, err := netip.ParseAddrPort(s.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "listen")
	}
	if s.CallerCertFile == "" && !address.Addr().IsLoopback() {
		return nil, merry.New("listen: is not on loopback and there is no caller_cert_file")
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

func (p *parts) ready() error {
	select {
	case <-p.client.Synced():
		return nil
	default:
		return merry.New("no configuration yet")
	}
}

// drain refuses new requests and waits until all in flight have their answers.
func (p *parts) drain(server *http.Server) {
	p.log.Info("gateway drains", "waiting", p.control.Waiting())
	p.handler.Drain()
	ctx := context.Background()
	if p.settings.DrainSeconds > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(p.settings.DrainSeconds)*time.Second)
		defer cancel()
	}
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn("drain deadline passed", "cause", err)
	}
	p.dispatcher.Wait()
}

func (p *parts) registerMetrics() {
	m := p.metrics
	m.Gauge("gateway_waiting", func() float64 { return float64(p.control.Waiting()) })
	m.Gauge("gateway_sidecars_linked", func() float64 { return float64(p.control.Linked()) })
	m.Gauge("gateway_revision", func() float64 { return float64(p.client.View().Revision) })
	m.Gauge("gateway_teams_known", func() float64 { return float64(p.client.Teams().Len()) })
	m.Gauge("link_bytes_in", func() float64 { return float64(p.dialer.Stats.BytesIn.Load()) })
	m.Gauge("link_bytes_out", func() float64 { return float64(p.dialer.Stats.BytesOut.Load()) })
}
