// Package program holds what the fleet's programs have in common: the command line,
// settings files and their reloading, signals, and the listeners for health checks
// and metrics. Run is the entry point of each program.
package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/settings"
	"baobabpaddle/fleet/telemetry"
)

// Version is the version of all programs, which are released together.
const Version = "0.1.0"

const (
	// readHeaderTimeout bounds the time that a client may take to send a request's
	// headers.
	readHeaderTimeout = 10 * time.Second
	// exitInvalidSettings is the exit status for an invalid settings file.
	exitInvalidSettings = 2
)

// VersionFlag is a command line flag that prints the version and ends the program.
type VersionFlag bool

// BeforeReset implements the kong hook of flags that act before the rest of the
// command line is validated.
func (VersionFlag) BeforeReset(app *kong.Kong) error {
	fmt.Fprintln(app.Stdout, app.Model.Name, Version)
	app.Exit(0)
	return nil
}

// Run parses the command line into cli and runs the selected command, which may
// take bindings as arguments. On an error it prints the error to standard error and
// ends the program with status 2 for invalid settings and 1 otherwise.
func Run(name, description string, cli any, bindings ...any) {
	command := kong.Parse(cli,
		kong.Name(name),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Bind(bindings...),
	)
	if err := command.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", name, err)
		if errors.Is(err, settings.ErrInvalid) {
			os.Exit(exitInvalidSettings)
		}
		os.Exit(1)
	}
}

// SignalContext returns a context that is canceled at the first SIGTERM or interrupt. A
// further SIGTERM changes nothing: whoever stops a host may ask more than once, and what is in
// flight keeps its time. A further interrupt, from a terminal, ends the program immediately
// with status 1.
func SignalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	go func() {
		for s := range received {
			if s == os.Interrupt && ctx.Err() != nil {
				os.Exit(1)
			}
			cancel()
		}
	}()
	return ctx, cancel
}

// ServeAdmin starts to serve /metrics, /healthz and /readyz at the address until the
// context ends, and returns. ready returns nil, or the reason why the program is not
// ready, which /readyz answers with status 503. An empty address serves nothing.
func ServeAdmin(ctx context.Context, address string, metrics *telemetry.Metrics, ready func() error, log *slog.Logger) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prepend(err, "admin_listen")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	server := ServeLimited(CheckLimits("admin"), listener, mux, metrics, log)
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	return nil
}

// ServeMetrics starts to serve /metrics at the address until the context ends, and
// returns. Unlike ServeAdmin it is meant for an address that other hosts can reach.
// An empty address serves nothing.
func ServeMetrics(ctx context.Context, address string, metrics *telemetry.Metrics, log *slog.Logger) error {
	if address == "" {
		return nil
	}
	listener, err := ListenBounded(ctx, address, CheckBuffers)
	if err != nil {
		return merry.Prepend(err, "metrics_listen")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	server := ServeLimited(CheckLimits("metrics"), listener, mux, metrics, log)
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	return nil
}

// NewServer returns an HTTP server with the fleet's timeout for reading headers.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
}
