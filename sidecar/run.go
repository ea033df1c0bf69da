package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/sidecar/internal/accountant"
	"baobabpaddle/sidecar/internal/engine"
	"baobabpaddle/sidecar/internal/gateway"
	"baobabpaddle/sidecar/internal/upstream"
)

const (
	incarnationBytes      = 8
	registerRetryInterval = 200 * time.Millisecond
	// stopTimeout is how long streams to gateways may continue after the drain.
	stopTimeout = 2 * time.Second
)

type runCommand struct {
	program.SettingsFlag
}

// Run runs the sidecar until a signal and then drains it.
func (c *runCommand) Run() error {
	return program.RunUntilSignal(c.SettingsFlag, run)
}

// sidecar holds the components of a running sidecar.
type sidecar struct {
	settings    Settings
	incarnation string // random, identifies this run of the process
	log         *slog.Logger
	dialer      link.Dialer
	metrics     *telemetry.Metrics
	client      *controller.Client
	reporter    *accountant.Reporter
	scheduler   *gateway.Scheduler
	server      *gateway.Server
	engines     *engine.Engines
	registered  chan struct{} // closed when the controllers know the incarnation
}

// run runs a sidecar until the context ends, and then drains it.
func run(ctx context.Context, settings Settings) error {
	log := telemetry.NewLogger(os.Stderr, "sidecar "+settings.Name)
	cred, err := credential.Load(settings.Credential, credential.Peer{
		Role: credential.Sidecar,
		Name: settings.Name,
	})
	if err != nil {
		return err
	}
	s, err := newSidecar(settings, cred, log)
	if err != nil {
		return err
	}
	// The components outlive ctx, until all requests in flight have ended.
	lifetime, end := context.WithCancel(context.Background())
	defer end()
	listener, err := cred.Listen(settings.Listen)
	if err != nil {
		return err
	}
	s.registerMetrics()
	if err := program.ServeAdmin(lifetime, settings.AdminListen, s.metrics, s.ready, s.log); err != nil {
		return err
	}
	s.start(lifetime)
	server := program.NewReporter("fleet", s.metrics, log).Server(s.handler(lifetime, cred))
	server.ConnContext = gateway.BoundConn
	go server.Serve(listener)
	log.Info("sidecar started", "listen", settings.Listen, "incarnation", s.incarnation)
	<-ctx.Done()
	s.drain(server)
	log.Info("sidecar stopped")
	return nil
}

// newSidecar returns a sidecar whose components have not been started.
func newSidecar(settings Settings, cred *credential.Credential, log *slog.Logger) (*sidecar, error) {
	var id [incarnationBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return nil, merry.Prepend(err, "generating the incarnation")
	}
	s := &sidecar{
		settings:    settings,
		incarnation: hex.EncodeToString(id[:]),
		log:         log,
		metrics:     telemetry.NewMetrics(),
		registered:  make(chan struct{}),
		dialer: link.Dialer{
			Credential: cred,
			Stats:      &link.Stats{},
		},
	}
	s.dialer.Panicked = program.NewReporter("fleet", s.metrics, log).LinkPanicked
	s.client = controller.NewClient(controller.ClientSettings{
		Controllers: settings.Controllers,
		Hello: wire.Hello{
			Address:     settings.address(),
			Zone:        settings.Zone,
			Incarnation: s.incarnation,
		},
	}, s.dialer, log, s.configure)
	s.reporter = accountant.New(s.incarnation, s.dialer, s.client.Leader)
	s.scheduler = gateway.NewScheduler(s.incarnation, share.SettingsForBalance(settings.Balance), s.reporter)
	upstreams := upstream.NewClient()
	s.server = gateway.NewServer(s.incarnation, s.scheduler, s.client, upstreams, s.client, s.metrics, log)
	s.engines = engine.New(settings.address(), s.client, upstreams, s.scheduler, log)
	return s, nil
}

// start starts the components, which run until the context ends.
func (s *sidecar) start(ctx context.Context) {
	go s.scheduler.Run(ctx)
	go s.client.Run(ctx)
	go s.reporter.Run(ctx, s.scheduler)
	go s.engines.Run(ctx)
	go s.register(ctx)
}

// register registers the incarnation with the controllers, with retries, and then offers
// the upstreams to gateways. Claims may name only registered incarnations.
func (s *sidecar) register(ctx context.Context) {
	command := state.Command{
		Start: &state.SidecarStart{
			Sidecar:     s.settings.address(),
			Incarnation: s.incarnation,
		},
	}
	for ctx.Err() == nil {
		if result, err := s.client.Execute(ctx, command); err == nil && result.Code == state.CodeOK {
			close(s.registered)
			s.configure()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryInterval):
		}
	}
}

// configure passes the upstreams in the configuration to the scheduler. It does nothing
// until the incarnation is registered, so that no upstream is offered before.
func (s *sidecar) configure() {
	select {
	case <-s.registered:
	default:
		return
	}
	var upstreams []gateway.UpstreamConfig
	view := s.client.View()
	for _, u := range view.UpstreamsOfSidecar(s.settings.address()) {
		service := view.Services[u.Service]
		if service == nil {
			continue
		}
		upstreams = append(upstreams, gateway.UpstreamConfig{
			ID:         u.ID,
			Service:    service.ID,
			MaxRunning: u.MaxRunning,
			Leaving:    u.State == resource.UpstreamDraining || s.client.IsLeaving(u.Host),
		})
	}
	s.scheduler.SetUpstreams(upstreams)
}

// ready returns nil if the sidecar is registered and has a configuration, or the reason
// that /readyz reports.
func (s *sidecar) ready() error {
	select {
	case <-s.registered:
	default:
		return merry.New("not registered with the controllers")
	}
	select {
	case <-s.client.Synced():
		return nil
	default:
		return merry.New("no configuration yet")
	}
}

// handler returns the routes of the sidecar. Orders are accepted from controllers only,
// everything else from gateways only.
func (s *sidecar) handler(ctx context.Context, cred *credential.Credential) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", cred.Require(s.server.Handler(ctx, s.dialer), credential.Gateway))
	mux.Handle("POST "+wire.PathOrder, cred.Require(http.HandlerFunc(s.engines.ServeOrder), credential.Controller))
	return mux
}

// drain stops new work, waits until all requests in flight have ended, and continues to
// serve for lateArrivalWindow to refuse requests that were granted a slot but arrive late.
// A request that is refused is known not to have run; after a failed connection the
// gateway would not know.
func (s *sidecar) drain(server *http.Server) {
	s.log.Info("sidecar draining; waiting for requests in flight", "running", s.scheduler.Running())
	ctx := context.Background()
	if s.settings.DrainSeconds > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(s.settings.DrainSeconds)*time.Second)
		defer cancel()
	}
	s.scheduler.Drain()
	if !s.server.WaitForRuns(ctx) {
		s.log.Warn("sidecar drain timed out; stopping with requests in flight", "running", s.scheduler.Running())
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = server.Shutdown(stop) // waits for streams that gateways still read
}

// registerMetrics registers the gauges; the server registers its own histograms.
func (s *sidecar) registerMetrics() {
	m := s.metrics
	m.Gauge("sidecar_running", func() float64 { return float64(s.scheduler.Running()) })
	m.Gauge("sidecar_waiting", func() float64 { return float64(s.scheduler.Waiting()) })
	m.Gauge("sidecar_runs_known", func() float64 { return float64(s.server.Runs()) })
	m.Gauge("sidecar_revision", func() float64 { return float64(s.client.View().Revision) })
	m.Gauge("link_bytes_in", func() float64 { return float64(s.dialer.Stats.BytesIn.Load()) })
	m.Gauge("link_bytes_out", func() float64 { return float64(s.dialer.Stats.BytesOut.Load()) })
}
