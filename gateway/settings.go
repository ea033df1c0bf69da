package main

import (
	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/settings"
)

// Settings are the settings of a gateway that uses sidecars.
type Settings struct {
	// Name is the gateway's name in logs and credentials. It must be unique.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Listen is the IP address and port for callers.
	Listen string `json:"listen"`
	// CallerCertFile and CallerKeyFile are the certificate and key for TLS with callers.
	// Without them Listen must be on loopback.
	CallerCertFile string `json:"caller_cert_file,omitempty"`
	CallerKeyFile  string `json:"caller_key_file,omitempty"`
	// AdminListen is the loopback address for metrics and health checks, which have no TLS;
	// empty means none.
	AdminListen string `json:"admin_listen,omitempty"`
	// Controllers are the controllers' addresses in order of preference.
	Controllers []string `json:"controllers"`
	// MaxWaiting is the maximum number of waiting requests per team; zero means 1000.
	MaxWaiting int `json:"max_waiting,omitempty"`
	// DisableAffinity turns off the preference for upstreams that have the prompt's prefix
	// in their cache.
	DisableAffinity bool `json:"disable_affinity,omitempty"`
	// DrainSeconds is the maximum duration of a graceful shutdown; zero means no limit.
	DrainSeconds int `json:"drain_seconds,omitempty"`
	// Credential authenticates the gateway to the fleet's other processes.
	Credential credential.Settings `json:"credential"`
}

const (
	maxDrainSeconds = 86400
	maxWaitingLimit = 1_000_000
)

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if (s.CallerCertFile == "") != (s.CallerKeyFile == "") {
		return merry.New("caller_cert_file: want both caller_cert_file and caller_key_file, or neither")
	}
	return settings.FirstError(
		settings.NotEmpty("name", s.Name),
		settings.NotEmpty("zone", s.Zone),
		settings.Address("listen", s.Listen),
		settings.OptionalLoopback("admin_listen", s.AdminListen),
		settings.Addresses("controllers", s.Controllers),
		settings.Between("max_waiting", s.MaxWaiting, 0, maxWaitingLimit),
		settings.Between("drain_seconds", s.DrainSeconds, 0, maxDrainSeconds),
		s.Credential.Check(),
	)
}
