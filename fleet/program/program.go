// Package program is what every program of the fleet has in common: its
// command line, its signals and its admin listener.
package program

import (
	"context"
	"errors"
	"fmt"
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
	readHeaderTimeout = 10 * time.Second
	exitBadUsage      = 2
)

// VersionFlag prints the version and ends the program.
type VersionFlag bool

// BeforeReset implements kong's hook for a flag that acts at once.
func (VersionFlag) BeforeReset(app *kong.Kong) error {
	fmt.Fprintln(app.Stdout, app.Model.Name, Version)
	app.Exit(0)
	return nil
}

// Run parses the command line into cli and runs the chosen command. It ends the
// program with a status that is not zero on errors.
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
			os.Exit(exitBadUsage)
		}
		os.Exit(1)
	}
}

// SignalContext returns a context that ends at the first SIGTERM or interrupt. A
// second one ends the program at once.
func SignalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-received
		cancel()
		<-received
		os.Exit(1)
	}()
	return ctx, cancel
}

// ServeAdmin serves /metrics, /healthz and /readyz at the address until the context
// ends. Ready returns nil or why the program is not ready. An empty address
// serves nothing.
func ServeAdmin(ctx context.Context, address string, metrics *telemetry.Metrics, ready func() error) error {
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
	server := NewServer(mux)
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go server.Serve(listener)
	return nil
}

// ServeMetrics serves /metrics alone, at an address that others reach, until the context
// ends. An empty address serves nothing.
func ServeMetrics(ctx context.Context, address string, metrics *telemetry.Metrics) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prepend(err, "metrics_listen")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	server := NewServer(mux)
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go server.Serve(listener)
	return nil
}

// NewServer returns a server with the fleet's time limits.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
}
