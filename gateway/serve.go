package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/gateway/internal/controller"
	"baobabpaddle/gateway/internal/serve"
	"baobabpaddle/gateway/internal/upstream"
	"baobabpaddle/platform"
)

type serveCommand struct {
	program.DeploymentSettingsFlag
}

// Run runs the gateway until a signal arrives, and then drains it.
func (c *serveCommand) Run() error {
	return program.RunWithReload(c.Path(platform.SettingsPath), serveCallers)
}

// serveComponents holds the components of a running gateway that reaches upstreams directly.
type serveComponents struct {
	settings ServeSettings
	log      *slog.Logger
	link     *controller.Link
	client   *upstream.Client
	handler  *serve.Handler
	metrics  *telemetry.Metrics
	draining atomic.Bool
}

// serveCallers runs the gateway until the context ends, and then drains it. Of changed
// settings it applies the seeds only.
func serveCallers(ctx context.Context, s ServeSettings, changes <-chan ServeSettings) error {
	out := telemetry.NewWriter(os.Stdout)
	defer out.Close()
	log := telemetry.NewLogger(out, "gateway "+s.Name)
	s.Answers.setDefaults()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(s.heapBytes(0))
		debug.SetGCPercent(gcPercent)
	}
	cred, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Gateway,
		Name: s.Name,
	})
	if err != nil {
		return err
	}
	p := newServeComponents(s, cred, log)
	callerListener, err := program.ListenBounded(ctx, s.Listen, program.CallerBuffers)
	if err != nil {
		return merry.Prepend(err, "listen")
	}
	readyListener, err := program.ListenBounded(ctx, s.ReadyListen, program.CheckBuffers)
	if err != nil {
		return merry.Prepend(err, "ready_listen")
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := program.ServeAdmin(runCtx, s.AdminListen, p.metrics, p.ready, log); err != nil {
		return err
	}
	if err := program.ServeMetrics(runCtx, s.MetricsListen, p.metrics, log); err != nil {
		return err
	}
	p.metrics.RegisterLog(out)
	go program.WatchPauses(runCtx, log)
	go p.link.Run(runCtx)
	go p.prune(runCtx)
	server := p.newServer()
	go p.handler.Conns().Run(runCtx)
	go p.handler.Lag().Run(runCtx)
	go p.handler.Load().Run(runCtx, log)
	go server.Serve(p.handler.Conns().Listener(callerListener))
	program.ServeLimited(program.CheckLimits("ready"), readyListener, http.HandlerFunc(p.answerReady), p.metrics, log)
	go p.limitMemory(runCtx)
	log.Info("gateway started", "listen", s.Listen)
	go func() {
		for changed := range changes {
			log.Info("settings read again", "seeds", changed.Seeds)
			p.link.SetSeeds(changed.controllerAddresses())
		}
	}()
	<-ctx.Done()
	p.drain(callerListener, server)
	log.Info("gateway stopped")
	return nil
}

// newServer returns the server for callers' connections.
func (p *serveComponents) newServer() *http.Server {
	server := program.NewServer(p.handler)
	server.ErrorLog = program.NewReporter("callers", p.metrics, p.log).ErrorLog()
	server.ConnState = p.handler.Conns().ConnState
	server.ConnContext = p.handler.Conns().ConnContext
	server.MaxHeaderBytes = maxCallerHeadBytes
	return server
}

// newServeComponents returns the components, connected to each other and not running.
func newServeComponents(s ServeSettings, cred *credential.Credential, log *slog.Logger) *serveComponents {
	p := &serveComponents{
		settings: s,
		log:      log,
		metrics:  telemetry.NewMetrics(),
	}
	p.link = controller.New(controller.Settings{
		// The name differs at each start, so that the leader does not mix up the requests of
		// two runs of the process.
		Name:          s.Name + "/" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Zone:          s.Zone,
		Host:          s.host(),
		Seeds:         s.controllerAddresses(),
		ProofLifetime: s.proofLifetime(),
	}, link.Dialer{
		Credential:  cred,
		Heartbeat:   serveLinkHeartbeat,
		DialTimeout: serveDialTimeout,
		Stats:       &link.Stats{},
		Panicked:    program.NewReporter("fleet", p.metrics, log).LinkPanicked,
	}, log)
	protocol := platform.Headers{}
	p.client = upstream.New(upstream.Limits{
		HeadBytes: s.Answers.HeadBytes,
		Interim:   s.Answers.Interim,
		Conns:     s.maxUpstreamConns(),
	}, func(status int, h http.Header) string { return protocol.ReadReply(status, h).ID })
	p.handler = serve.New(serve.Settings{
		Zone:     s.Zone,
		MaxConns: s.maxConns(),

		Limits: serve.Limits{
			BufferedBytes:  s.Answers.HeldBytes,
			AnswerBytes:    s.Answers.AnswerBytes,
			EventBytes:     s.Answers.EventBytes,
			TotalBodyBytes: s.heldBytes(),
		},
		UnreadyDelay:   unreadyDelay,
		ProcessorShare: s.ProcessorShare,
		Retry: serve.RetrySettings{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Window: time.Duration(s.RetryWindowSeconds * float64(time.Second)),
		},
	}, p.link, p.client, protocol, p.metrics, log)
	p.registerMetrics()
	return p
}

// prune closes idle connections to upstreams until the context ends.
func (p *serveComponents) prune(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.client.Prune(now)
		}
	}
}

// limitMemory adapts the limit of the Go runtime's memory to the number of callers'
// connections until the context ends.
func (p *serveComponents) limitMemory(ctx context.Context) {
	if p.settings.MemoryMB == 0 {
		return
	}
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	last := p.settings.heapBytes(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Setting the limit stops the process for a moment, so small changes are left out.
		if limit := p.settings.heapBytes(p.handler.Conns().Open()); max(limit-last, last-limit) > last/memoryStep {
			debug.SetMemoryLimit(limit)
			last = limit
		}
	}
}

// ready returns the reason why the gateway should get no new connections, or nil.
func (p *serveComponents) ready() error {
	if p.draining.Load() {
		return merry.New("draining")
	}
	if p.handler.Load().Overloaded() {
		return merry.New("more callers than the processor can serve")
	}
	if !p.link.View().Ready() {
		return merry.New("no configuration that is known to be recent, or no upstreams")
	}
	return nil
}

// answerReady answers a readiness check of the load balancer.
func (p *serveComponents) answerReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain makes the gateway report not ready, serves until the load balancer must have noticed,
// and waits for the requests in flight until killMargin after the grace period.
func (p *serveComponents) drain(callerListener net.Listener, server *http.Server) {
	started := time.Now()
	p.draining.Store(true)
	end := started.Add(time.Duration(p.settings.GraceSeconds * float64(time.Second)))
	p.handler.Drain(end)
	p.log.Info("gateway drains", "in_flight", p.handler.InFlight())
	deadline := end.Add(killMargin)
	for time.Now().Before(deadline) {
		if p.handler.InFlight() == 0 && time.Since(started) > unreadyDelay {
			break
		}
		time.Sleep(drainPollInterval)
	}
	p.finish(callerListener, server, deadline)
}

// finish stops the server, at the latest at the deadline.
func (p *serveComponents) finish(callerListener net.Listener, server *http.Server, deadline time.Time) {
	if cut := finish(callerListener, server, p.handler.Conns(), deadline); cut > 0 {
		p.log.Warn("requests are cut off by the end of the grace period", "in_flight", cut)
	}
}
