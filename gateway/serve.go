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

// Run runs the gateway until a signal and then drains it.
func (c *serveCommand) Run() error {
	return program.RunWithReload(c.Path(platform.SettingsPath), serveCallers)
}

// serving are the running parts of a gateway that serves.
type serving struct {
	settings ServeSettings
	log      *slog.Logger
	link     *controller.Link
	client   *upstream.Client
	handler  *serve.Handler
	metrics  *telemetry.Metrics
	draining atomic.Bool
}

func serveCallers(ctx context.Context, s ServeSettings, changes <-chan ServeSettings) error {
	out := telemetry.NewWriter(os.Stdout)
	defer out.Close()
	log := telemetry.NewLogger(out, "gateway "+s.Name)
	s.Answers.fill()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
		debug.SetGCPercent(gcPercent)
	}
	proof, err := credential.Load(s.Credential, credential.Peer{
		Role: credential.Gateway,
		Name: s.Name,
	})
	if err != nil {
		return err
	}
	p := newServing(s, proof, log)
	// Callers that vanish are noticed by the limits on idle time and on requests.
	noKeepAlive := net.ListenConfig{
		KeepAlive: -1,
	}
	callers, err := noKeepAlive.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return merry.Prepend(err, "listen")
	}
	balancer, err := net.Listen("tcp", s.ReadyListen)
	if err != nil {
		return merry.Prepend(err, "ready_listen")
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	if err := program.ServeAdmin(life, s.AdminListen, p.metrics, p.ready); err != nil {
		return err
	}
	if err := program.ServeMetrics(life, s.MetricsListen, p.metrics); err != nil {
		return err
	}
	p.metrics.RegisterLog(out)
	go program.WatchPauses(life, log)
	go p.link.Run(life)
	go p.prune(life)
	server := program.NewServer(p.handler)
	server.ConnState = p.handler.Conns().ConnState
	server.ConnContext = p.handler.Conns().ConnContext
	server.MaxHeaderBytes = maxHeadBytes
	go p.handler.Conns().Run(life)
	go p.handler.Lag().Run(life)
	go p.handler.Load().Run(life, log)
	go server.Serve(p.handler.Conns().Listener(callers))
	ready := program.NewServer(http.HandlerFunc(p.answerReady))
	go ready.Serve(balancer)
	log.Info("gateway started", "listen", s.Listen)
	go func() {
		for changed := range changes {
			log.Info("settings read again", "seeds", changed.Seeds)
			p.link.SetSeeds(changed.peers())
		}
	}()
	<-ctx.Done()
	p.drain(callers, server)
	log.Info("gateway stopped")
	return nil
}

func newServing(s ServeSettings, proof *credential.Credential, log *slog.Logger) *serving {
	p := &serving{
		settings: s,
		log:      log,
		metrics:  telemetry.NewMetrics(),
	}
	p.link = controller.New(controller.Settings{
		// Another start has another name, so that its requests aren't mixed up.
		Name:          s.Name + "/" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Zone:          s.Zone,
		Seeds:         s.peers(),
		ProofLifetime: s.proofLifetime(),
	}, link.Dialer{
		Credential:  proof,
		Heartbeat:   serveLinkHeartbeat,
		DialTimeout: serveDialTimeout,
		Stats:       &link.Stats{},
	}, log)
	protocol := platform.Headers{}
	p.client = upstream.New(upstream.Limits{
		HeadBytes: s.Answers.HeadBytes,
		Interim:   s.Answers.Interim,
	}, func(status int, h http.Header) string { return protocol.ReadReply(status, h).ID })
	p.handler = serve.New(serve.Settings{
		Zone:     s.Zone,
		MaxConns: s.maxConns(),

		Limits: serve.Limits{
			BufferedBytes:  s.Answers.HeldBytes,
			AnswerBytes:    s.Answers.AnswerBytes,
			EventBytes:     s.Answers.EventBytes,
			TotalBodyBytes: s.bodyBytes(),
		},
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

func (p *serving) prune(ctx context.Context) {
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

func (p *serving) ready() error {
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

func (p *serving) answerReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain stops being ready, keeps answering until the balancer has noticed, and
// waits for what is in flight.
func (p *serving) drain(callers net.Listener, server *http.Server) {
	started := time.Now()
	p.draining.Store(true)
	end := started.Add(time.Duration(p.settings.GraceSeconds * float64(time.Second)))
	p.handler.Drain(end)
	p.log.Info("gateway drains", "in_flight", p.handler.InFlight())
	last := end.Add(killMargin)
	for time.Now().Before(last) {
		if p.handler.InFlight() == 0 && time.Since(started) > unreadyTime {
			break
		}
		time.Sleep(drainLook)
	}
	p.finish(callers, server, last)
}

// finish ends the server: no more connections, then none that is idle, and the rest
// once all requests are answered, those whose heads are being read included, or at a
// time when it must end. The server's own Shutdown drops requests that are read after
// it began.
func (p *serving) finish(callers net.Listener, server *http.Server, last time.Time) {
	callers.Close()
	p.handler.Conns().CloseIdle()
	for p.handler.Conns().Busy() > 0 || p.handler.InFlight() > 0 {
		if !time.Now().Before(last) {
			p.log.Warn("requests are cut off by the end of the grace period", "in_flight", p.handler.InFlight())
			break
		}
		time.Sleep(drainLook)
		p.handler.Conns().CloseIdle()
	}
	server.Close()
}
