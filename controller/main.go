// Program controller keeps the durable state of the fleet in a log that it replicates
// with other controllers. It serves operators and sends the state to gateways and
// sidecars.
//
// It has two modes. Under `controller run`, operators add and remove the controllers; they
// serve gateways and sidecars, and order the loads of models. Under `controller serve`,
// controllers discover each other; the leader places the requests of all gateways.
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

// diskIDBytes is the size of a disk identifier before its encoding.
const diskIDBytes = 16

// commandLine is the program's command line.
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

// initCommand prepares a data folder for `controller run`.
type initCommand struct {
	program.SettingsFlag
	Join bool `help:"Join a running fleet instead of starting a new one."`
}

// Run prepares the data folder. It returns an error if the folder is in use already.
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

// newIdentity returns the identity of a replica on a new disk. Unless the replica joins a
// fleet, the identity holds the bootstrap members as voters, and the replica must be
// among them.
func newIdentity(s Settings, join bool) (disk.Identity, error) {
	var id [diskIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return disk.Identity{}, merry.Prepend(err, "generate the disk identifier")
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

// restoreCommand prepares a data folder from a backup.
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
		return merry.Prepend(err, "read the backup")
	}
	machine, err := state.Restore(data)
	if err != nil {
		return merry.Prepend(err, "decode the backup")
	}
	machine.Disks = nil // the new replicas have other disks
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
