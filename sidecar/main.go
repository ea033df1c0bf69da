// Program sidecar decides which request runs next on the upstreams of one host. It runs
// beside each upstream host; gateways send requests, and controllers send orders, to
// these upstreams only through it. The entry point of the service is run in run.go.
package main

import (
	"baobabpaddle/fleet/program"
)

type commandLine struct {
	Version       program.VersionFlag                       `help:"Print the version."`
	Run           runCommand                                `cmd:"" help:"Run the sidecar."`
	CheckSettings program.CheckCommand[Settings, *Settings] `cmd:"" help:"Check a settings file."`
}

func main() {
	program.Run("sidecar", "Decides what runs next on the upstreams of one host.", &commandLine{})
}
