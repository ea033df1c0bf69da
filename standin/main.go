// Program standin simulates the systems around the fleet for tests and the demo: a model
// engine, a booking service that records every run, and the platform's list of hosts.
// Each is a subcommand, a field of commandLine, and serves HTTP until a signal.
package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/program"
	"baobabpaddle/standin/internal/booking"
	"baobabpaddle/standin/internal/engine"
	"baobabpaddle/standin/internal/platform"
)

const stopTimeout = 5 * time.Second

type commandLine struct {
	Version  program.VersionFlag `help:"Print the version."`
	Engine   engineCommand       `cmd:"" help:"A model engine."`
	Booking  bookingCommand      `cmd:"" help:"A booking service."`
	Platform platformCommand     `cmd:"" help:"The platform's list of hosts."`
}

func main() {
	program.Run("standin", "Simulates engines, a booking service and the platform.", &commandLine{})
}

type engineCommand struct {
	Listen          string        `required:"" help:"IP address and port."`
	MaxRunning      int           `default:"16" help:"Requests in one batch."`
	TokensPerSecond float64       `default:"30" help:"Tokens per second of each request."`
	PrefillSecond   float64       `default:"4000" help:"Prompt tokens read per second."`
	LoadLag         time.Duration `default:"1s" help:"Age of load reports."`
	ChecksFencing   bool          `help:"Refuse orders with an old fencing token."`
}

// Run serves the engine until a signal.
func (c *engineCommand) Run() error {
	return serve(c.Listen, engine.New(engine.Settings{
		MaxRunning:             c.MaxRunning,
		TokensPerSecond:        c.TokensPerSecond,
		PrefillTokensPerSecond: c.PrefillSecond,
		LoadLag:                c.LoadLag,
		ChecksFencing:          c.ChecksFencing,
	}).Handler())
}

type bookingCommand struct {
	Listen string        `required:"" help:"IP address and port."`
	Work   time.Duration `default:"5ms" help:"Time one call takes."`
}

// Run serves the booking service until a signal.
func (c *bookingCommand) Run() error { return serve(c.Listen, booking.New(c.Work).Handler()) }

type platformCommand struct {
	Listen string `required:"" help:"IP address and port."`
}

// Run serves the list of hosts until a signal.
func (c *platformCommand) Run() error { return serve(c.Listen, platform.New().Handler()) }

// serve serves HTTP at the address until a signal, and then waits up to stopTimeout for
// requests in flight.
func serve(address string, handler http.Handler) error {
	ctx, cancel := program.SignalContext()
	defer cancel()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prepend(err, "--listen")
	}
	server := program.NewServer(handler)
	go server.Serve(listener)
	<-ctx.Done()
	stop, end := context.WithTimeout(context.Background(), stopTimeout)
	defer end()
	return server.Shutdown(stop)
}
