package main

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/settings"
)

// ServeSettings are the settings of `controller serve`.
type ServeSettings struct {
	// Name is the controller's name in logs.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Zones are the names of all availability zones of the deployment. Orders about other
	// zones are refused; without the list every zone is taken to exist.
	Zones []string `json:"zones,omitempty"`
	// Address is the IP address by which the fleet's processes reach the host.
	Address string `json:"address"`
	// ListenAddress is the IP address to listen on for the fleet's processes where it
	// differs from Address; empty means that it is the same.
	ListenAddress string `json:"listen_address,omitempty"`
	// Port is the port on which the fleet's processes reach controllers, the same on all
	// hosts.
	Port int `json:"port"`
	// OperatorListen is the address for operators.
	OperatorListen string `json:"operator_listen"`
	// AdminListen is the loopback address for metrics and health; empty means none.
	AdminListen string `json:"admin_listen,omitempty"`
	// MetricsListen is the address where metrics are read from other hosts; empty
	// means none.
	MetricsListen string `json:"metrics_listen,omitempty"`
	// DataFolder is the folder of the log and the snapshots, which must survive a
	// restart; empty on hosts without a disk.
	DataFolder string `json:"data_folder,omitempty"`
	// Seeds are the addresses for operators of some controllers, by which the others are
	// discovered.
	Seeds []string `json:"seeds"`
	// FirstStart states that the whole fleet starts for the first time; only then may a
	// controller bootstrap the replicated group.
	FirstStart bool `json:"first_start,omitempty"`
	// ToleratedHosts is the number of hosts with a disk that may be lost at once.
	ToleratedHosts int `json:"tolerated_hosts"`
	// MemoryMB bounds the memory of the process, in MiB; zero means no bound.
	MemoryMB int `json:"memory_mb,omitempty"`
	// Limits bounds what the process holds for those that connect to it.
	Limits HeldLimits `json:"limits,omitempty"`
	// ListAddress is the address at which the platform serves its list of upstreams.
	ListAddress string `json:"list_address"`
	// ListLagMillis is how long after a change the platform's list shows it, at most; zero means
	// defaultListLag.
	ListLagMillis float64 `json:"list_lag_ms,omitempty"`
	// ColdExcess and ColdSlack are what the platform tolerates at cold upstreams: in a second
	// ColdExcess times the requests that their service declares, and ColdSlack more. Zero means
	// that it isn't known.
	ColdExcess float64 `json:"cold_excess,omitempty"`
	ColdSlack  float64 `json:"cold_slack,omitempty"`
	// Credential authenticates the controller to others.
	Credential credential.Settings `json:"credential"`
}

// Limits of the settings.
const (
	maxPort           = 65535
	maxToleratedHosts = 3
	maxMemoryMB       = 1 << 20
	maxListLagMillis  = 60_000
)

// Check implements settings.Checker.
func (s *ServeSettings) Check() error {
	if _, err := netip.ParseAddr(s.Address); err != nil {
		return merry.Errorf("address: %q is no IP address", s.Address)
	}
	if _, err := netip.ParseAddr(s.ListenAddress); s.ListenAddress != "" && err != nil {
		return merry.Errorf("listen_address: %q is no IP address", s.ListenAddress)
	}
	return settings.FirstError(
		settings.NotEmpty("name", s.Name),
		settings.Between("port", s.Port, 1, maxPort),
		settings.Address("operator_listen", s.OperatorListen),
		settings.OptionalLoopback("admin_listen", s.AdminListen),
		settings.OptionalAddress("metrics_listen", s.MetricsListen),
		settings.Addresses("seeds", s.Seeds),
		settings.Between("tolerated_hosts", s.ToleratedHosts, 0, maxToleratedHosts),
		settings.Between("memory_mb", s.MemoryMB, 0, maxMemoryMB),
		s.Limits.Check(),
		settings.Address("list_address", s.ListAddress),
		s.checkCold(),
		s.checkListLag(),
		s.Credential.Check(),
	)
}

// checkCold checks ColdExcess and ColdSlack.
func (s *ServeSettings) checkCold() error {
	if s.ColdExcess < 0 || s.ColdSlack < 0 {
		return merry.New("cold_excess, cold_slack: must not be negative")
	}
	return nil
}

// checkListLag checks ListLagMillis.
func (s *ServeSettings) checkListLag() error {
	if s.ListLagMillis < 0 || s.ListLagMillis > maxListLagMillis {
		return merry.Errorf("list_lag_ms: must be from 0 to %d", maxListLagMillis)
	}
	return nil
}

// peerAddress returns the address by which the fleet's processes reach this controller.
func (s *ServeSettings) peerAddress() string { return s.Address + ":" + strconv.Itoa(s.Port) }

// listen returns the address to listen on for the fleet's processes.
func (s *ServeSettings) listen() string {
	if s.ListenAddress == "" {
		return s.peerAddress()
	}
	return s.ListenAddress + ":" + strconv.Itoa(s.Port)
}

// seedAddresses returns the addresses by which the fleet's processes reach the seeds.
func (s *ServeSettings) seedAddresses() []string {
	out := make([]string, len(s.Seeds))
	for i, seed := range s.Seeds {
		out[i] = netip.MustParseAddrPort(seed).Addr().String() + ":" + strconv.Itoa(s.Port)
	}
	return out
}

// listLag returns how long after a change the platform's list shows it.
func (s *ServeSettings) listLag() time.Duration {
	if s.ListLagMillis > 0 {
		return time.Duration(s.ListLagMillis * float64(time.Millisecond))
	}
	return defaultListLag
}

// Timings and limits of `controller serve`. The timings are shorter than the defaults,
// since gateways stop serving keys a few seconds after the last proof that their
// configuration is the newest.
const (
	serveElectionTimeout   = 500 * time.Millisecond
	serveStartTimeout      = 150 * time.Millisecond
	serveHeartbeatInterval = 100 * time.Millisecond
	serveReplaceAfter      = 2500 * time.Millisecond
	serveLinkHeartbeat     = 300 * time.Millisecond
	serveDialTimeout       = 400 * time.Millisecond
	serveMaxBackoff        = 300 * time.Millisecond
	// serveMaxVoters is the largest number of voting controllers.
	serveMaxVoters = 7
	// serveMaxLogBytes keeps the log and two snapshots well within small disks.
	serveMaxLogBytes = 8 << 20
	// listInterval is the pause between two reads of the platform's list by the leader.
	listInterval = 700 * time.Millisecond
	// defaultListLag allows for a platform whose list is brought up to date every second.
	defaultListLag = time.Second
)
