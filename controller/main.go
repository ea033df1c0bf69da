// Program controller keeps the fleet's durable state with its peers, serves
// operators, and tells gateways and sidecars what is in force.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"os"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/settings"
	"baobabpaddle/fleet/state"
)

const diskIDBytes = 16

type commandLine struct {
	Version       program.VersionFlag                       `help:"Print the version."`
	Run           runCommand                                `cmd:"" help:"Run the controller."`
	Serve         serveCommand                              `cmd:"" help:"Run a controller that finds the others by itself."`
	Init          initCommand                               `cmd:"" help:"Prepare an empty data folder."`
	Restore       restoreCommand                            `cmd:"" help:"Prepare an empty data folder from a backup."`
	CheckSettings program.CheckCommand[Settings, *Settings] `cmd:"" help:"Check a settings file."`
}

func main() {
	program.CatchHangups()
	program.Run("controller", "Keeps the fleet's durable state.", &commandLine{})
}

type initCommand struct {
	program.SettingsFlag
	Join bool `help:"Join a running fleet instead of starting a new one."`
}

// Run prepares the data folder.
func (c *initCommand) Run() error {
	s, err := program.LoadSettings[Settings](c.SettingsFlag)
	if err != nil {
		return err
	}
	identity, err := newIdentity(s, c.Join)
	if err != nil {
		return err
	}
	return disk.Init(s.DataFolder, identity)
}

func newIdentity(s Settings, join bool) (disk.Identity, error) {
	var id [diskIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return disk.Identity{}, merry.Prepend(err, "disk id")
	}
	identity := disk.Identity{
		ReplicaID: s.ReplicaID,
		DiskID:    hex.EncodeToString(id[:]),
	}
	if join {
		return identity, nil
	}
	members := raft.Members{}
	for _, m := range s.BootstrapMembers {
		m.Voter = true
		members.List = append(members.List, m)
	}
	if _, ok := members.Find(s.ReplicaID); !ok {
		return identity, merry.Prepend(settings.ErrInvalid, "bootstrap_members: this replica_id is not among them")
	}
	identity.Members = &members
	return identity, nil
}

type restoreCommand struct {
	program.SettingsFlag
	Backup string `required:"" type:"path" help:"File from 'baobabctl backup'."`
}

// Run prepares a data folder that holds the backup's state.
func (c *restoreCommand) Run() error {
	s, err := program.LoadSettings[Settings](c.SettingsFlag)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(c.Backup)
	if err != nil {
		return merry.Prepend(err, "backup")
	}
	machine, err := state.Restore(data)
	if err != nil {
		return merry.Prepend(err, "backup")
	}
	machine.Disks = nil // the new replicas stand on disks of their own
	if data, err = machine.Snapshot(); err != nil {
		return err
	}
	identity, err := newIdentity(s, false)
	if err != nil {
		return err
	}
	if err := disk.Init(s.DataFolder, identity); err != nil {
		return err
	}
	store, restored, err := disk.Open(s.DataFolder)
	if err != nil {
		return err
	}
	defer store.Close()
	restored.Snapshot.Data = data
	return store.SaveSnapshot(restored.Snapshot, restored.HardState, nil)
}
