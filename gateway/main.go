// Program gateway accepts callers' requests, places them and sends them to upstreams: the
// command run through sidecars (run.go), the command serve directly (serve.go). It runs on
// the entry hosts behind the platform's load balancer and has no durable state.
package main

import (
	"baobabpaddle/fleet/program"
)

type commandLine struct {
	Version       program.VersionFlag                       `help:"Print the version."`
	Run           runCommand                                `cmd:"" help:"Run the gateway."`
	Serve         serveCommand                              `cmd:"" help:"Run a gateway that reaches upstreams by itself."`
	CheckSettings program.CheckCommand[Settings, *Settings] `cmd:"" help:"Check a settings file."`
}

func main() {
	program.CatchHangups()
	program.Run("gateway", "Takes callers' requests and brings them to upstreams.", &commandLine{})
}
