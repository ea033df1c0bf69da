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
	incarnationBytes = 8
	registerPause    = 200 * time.Millisecond
	stopTimeout      = 2 * time.Second
	drainPoll        = 50 * time.Millisecond
	// lateRequests is longer than a gateway takes from a grant to sending the
	// request under a claim.
	lateRequests = 5 * time.Second
)

type runCommand struct {
	program.SettingsFlag
}

// Run runs the sidecar until a signal and then drains it.
func (c *runCommand) Run() error {
	return program.RunUntilSignal(c.SettingsFlag, run)
}

// parts are the running parts of a sidecar.
type parts struct {
	settings    Settings
	incarnation string
	log         *slog.Logger
	dialer      link.Dialer
	metrics     *telemetry.Metrics
	client      *controller.Client
	reporter    *accountant.Reporter
	control     *gateway.Scheduler
	server      *gateway.Server
	engines     *engine.Engines
	registered  chan struct{}
}

func run(ctx context.Context, s Settings) error {
	log := telemetry.NewLogger(os.Stderr, "sidecar "+s.Name)
	proof, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Sidecar,
		Name: s.Name,
	})
	if err != nil {
		return err
	}
	p, err := newParts(s, proof, log)
	if err != nil {
		return err
	}
	// Parts outlive the signal until everything in flight has ended.
	life, end := context.WithCancel(context.Background())
	defer end()
	listener, err := proof.Listen(s.Listen)
	if err != nil {
		return err
	}
	p.registerMetrics()
	if err := program.ServeAdmin(life, s.AdminListen, p.metrics, p.ready); err != nil {
		return err
	}
	p.start(life)
	server := program.NewServer(p.handler(life, proof))
	go server.Serve(listener)
	log.Info("sidecar started", "listen", s.Listen, "incarnation", p.incarnation)
	<-ctx.Done()
	p.drain(server)
	log.Info("sidecar stopped")
	return nil
}

func newParts(s Settings, proof *credential.Credential, log *slog.Logger) (*parts, error) {
	var id [incarnationBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return nil, merry.Prepend(err, "incarnation")
	}
	p := &parts{
		settings:    s,
		incarnation: hex.EncodeToString(id[:]),
		log:         log,
		metrics:     telemetry.NewMetrics(),
		registered:  make(chan struct{}),
		dialer: link.Dialer{
			Credential: proof,
			Stats:      &link.Stats{},
		},
	}
	p.client = controller.NewClient(controller.ClientSettings{
		Controllers: s.Controllers,
		Hello: wire.Hello{
			Address:     s.address(),
			Zone:        s.Zone,
			Incarnation: p.incarnation,
		},
	}, p.dialer, log, p.configure)
	p.reporter = accountant.New(p.incarnation, p.dialer, p.client.Leader)
	p.control = gateway.NewScheduler(p.incarnation, share.SettingsForBalance(s.Balance), p.reporter)
	upstreams := upstream.NewClient()
	p.server = gateway.NewServer(p.incarnation, p.control, p.client, upstreams, p.client, p.metrics, log)
	p.engines = engine.New(s.address(), p.client, upstreams, p.control, log)
	return p, nil
}

func (p *parts) start(ctx context.Context) {
	go p.control.Run(ctx)
	go p.client.Run(ctx)
	go p.reporter.Run(ctx, p.control)
	go p.engines.Run(ctx)
	go p.register(ctx)
}

// register makes the incarnation known before any claim may name it.
func (p *parts) register(ctx context.Context) {
	command := state.Command{
		Start: &state.SidecarStart{
			Sidecar:     p.settings.address(),
			Incarnation: p.incarnation,
		},
	}
	for ctx.Err() == nil {
		if result, err := p.client.Execute(ctx, command); err == nil && result.Code == state.CodeOK {
			close(p.registered)
			p.configure()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerPause):
		}
	}
}

// configure makes the queues match the configuration. Until the incarnation is
// registered nothing is offered.
func (p *parts) configure() {
	select {
	case <-p.registered:
	default:
		return
	}
	var upstreams []gateway.UpstreamConfig
	view := p.client.View()
	for _, u := range view.UpstreamsOfSidecar(p.settings.address()) {
		service := view.Services[u.Service]
		if service == nil {
			continue
		}
		upstreams = append(upstreams, gateway.UpstreamConfig{
			ID:         u.ID,
			Service:    service.ID,
			MaxRunning: u.MaxRunning,
			Leaving:    u.State == resource.UpstreamDraining || p.client.IsLeaving(u.Host),
		})
	}
	p.control.SetUpstreams(upstreams)
}

func (p *parts) ready() error {
	select {
	case <-p.registered:
	default:
		return merry.New("not registered with the controllers")
	}
	select {
	case <-p.client.Synced():
		return nil
	default:
		return merry.New("no configuration yet")
	}
}

func (p *parts) handler(ctx context.Context, proof *credential.Credential) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", proof.Require(p.server.Handler(ctx, p.dialer), credential.Gateway))
	mux.Handle("POST "+wire.PathOrder, proof.Require(http.HandlerFunc(p.engines.ServeOrder), credential.Controller))
	return mux
}

// drain ends all new work, waits until everything in flight has ended, and
// stays for a while to refuse what was granted a place and comes late: a request
// that is refused is known not to have run, one that finds nobody is not.
func (p *parts) drain(server *http.Server) {
	p.log.Info("sidecar drains", "running", p.control.Running())
	ctx := context.Background()
	if p.settings.DrainSeconds > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(p.settings.DrainSeconds)*time.Second)
		defer cancel()
	}
	p.control.Drain()
	if !p.waitForRuns(ctx) {
		p.log.Warn("drain deadline passed", "running", p.control.Running())
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = server.Shutdown(stop) // streams whose gateways still read have this long
}

// waitForRuns returns true when nothing is in flight and the time for late
// requests has passed, false when the context ended first.
func (p *parts) waitForRuns(ctx context.Context) bool {
	calm := time.Now().Add(lateRequests)
	for time.Now().Before(calm) {
		if p.control.Outstanding() > 0 {
			calm = time.Now().Add(lateRequests)
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainPoll):
		}
	}
	p.server.Wait() // outcomes are still being recorded
	return true
}

func (p *parts) registerMetrics() {
	m := p.metrics
	m.Gauge("sidecar_running", func() float64 { return float64(p.control.Running()) })
	m.Gauge("sidecar_waiting", func() float64 { return float64(p.control.Waiting()) })
	m.Gauge("sidecar_runs_known", func() float64 { return float64(p.server.Runs()) })
	m.Gauge("sidecar_revision", func() float64 { return float64(p.client.View().Revision) })
	m.Gauge("link_bytes_in", func() float64 { return float64(p.dialer.Stats.BytesIn.Load()) })
	m.Gauge("link_bytes_out", func() float64 { return float64(p.dialer.Stats.BytesOut.Load()) })
}
