package main

import (
	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/settings"
)

// Settings are the settings of `controller run`, `controller init` and `controller
// restore`.
type Settings struct {
	// Name is the controller's name in logs and credentials.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Listen is the address for operators, nodes and other controllers.
	Listen string `json:"listen"`
	// AdminListen is the loopback address for metrics and health, which have no
	// TLS; empty means none.
	AdminListen string `json:"admin_listen,omitempty"`
	// DataFolder is the folder of the log and the snapshots, which must survive a
	// restart.
	DataFolder string `json:"data_folder"`
	// ReplicaID is the identifier that `controller init` writes to the data folder; it
	// is not zero.
	ReplicaID uint64 `json:"replica_id"`
	// BootstrapMembers are the controllers of a new fleet, this one among them.
	BootstrapMembers []raft.Member `json:"bootstrap_members,omitempty"`
	// SnapshotEvery is the number of entries after which the log is compacted; zero means
	// 4096.
	SnapshotEvery uint64 `json:"snapshot_every,omitempty"`
	// DisableGroupCommit syncs the disk for each entry alone, as a baseline for
	// measurements of group commit.
	DisableGroupCommit bool `json:"disable_group_commit,omitempty"`
	// PlatformListURL is where the platform lists live and leaving hosts.
	PlatformListURL string `json:"platform_list_url,omitempty"`
	// WeightStoreBytesPerSecond is the rate of the store of model weights, by which the
	// loads of models are spaced; zero means unlimited.
	WeightStoreBytesPerSecond int64 `json:"weight_store_bytes_per_second,omitempty"`
	// Credential authenticates the controller to others.
	Credential credential.Settings `json:"credential"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if s.ReplicaID == 0 {
		return merry.New("replica_id: must not be zero")
	}
	if s.WeightStoreBytesPerSecond < 0 {
		return merry.New("weight_store_bytes_per_second: must not be negative")
	}
	for _, m := range s.BootstrapMembers {
		if err := settings.Address("bootstrap_members", m.Address); err != nil || m.ID == 0 {
			return merry.New("bootstrap_members: want an id that is not zero and an address for each")
		}
	}
	return settings.FirstError(
		settings.NotEmpty("name", s.Name),
		settings.NotEmpty("zone", s.Zone),
		settings.Address("listen", s.Listen),
		settings.NotEmpty("data_folder", s.DataFolder),
		settings.OptionalLoopback("admin_listen", s.AdminListen),
		s.Credential.Check(),
	)
}
