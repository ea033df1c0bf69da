// Program baobabctl is the operators' command-line tool: it applies, reads, watches and
// deletes resources, shows the status of the controllers, changes their membership,
// takes backups, issues credentials, evacuates availability zones, and explains from logs
// what happened to a request. The subcommands are the fields of commandLine; those that call controllers embed
// controllerFlags.
package main

import (
	"baobabpaddle/fleet/program"
)

type commandLine struct {
	Version    program.VersionFlag `help:"Print the version."`
	Apply      applyCommand        `cmd:"" help:"Create or change the resources in a file."`
	Get        getCommand          `cmd:"" help:"Show resources."`
	Watch      watchCommand        `cmd:"" help:"Follow changes of resources."`
	Delete     deleteCommand       `cmd:"" help:"Delete a resource."`
	Drain      drainCommand        `cmd:"" help:"Give an upstream no new work, or take that back."`
	Status     statusCommand       `cmd:"" help:"Show every controller's status."`
	Claim      claimCommand        `cmd:"" help:"Show what is recorded of a non-idempotent request."`
	Member     memberCommand       `cmd:"" help:"Change the membership of the controllers."`
	Backup     backupCommand       `cmd:"" help:"Write the fleet's state to a file."`
	Keys       keysCommand         `cmd:"" help:"Make certificates and callers' keys."`
	Quarantine quarantineCommand   `cmd:"" help:"Show and release prompt segments that crashed upstreams."`
	Evacuation evacuationCommand   `cmd:"" help:"Evacuate availability zones."`
	Explain    explainCommand      `cmd:"" help:"Show from logs what became of a request, and why."`
}

func main() {
	program.Run("baobabctl", "Operates a baobabpaddle fleet.", &commandLine{})
}
