package main

import (
	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/settings"
)

// Settings are the settings of a sidecar. Its upstreams are not among them: they are the
// upstream resources that name its address.
type Settings struct {
	// Name is the sidecar's name in logs and credentials, unique among sidecars.
	Name string `json:"name"`
	// Zone is the availability zone of the host.
	Zone string `json:"zone"`
	// Listen is the IP address and port for gateways and controllers.
	Listen string `json:"listen"`
	// Address is the address by which others reach the sidecar, as written in the
	// upstream resources; empty if it is the same as Listen.
	Address string `json:"address,omitempty"`
	// AdminListen is the loopback address that serves metrics and health checks
	// without TLS; empty means that they are not served.
	AdminListen string `json:"admin_listen,omitempty"`
	// Controllers are the controllers' addresses in order of preference.
	Controllers []string `json:"controllers"`
	// Balance, from 0 to 1, trades fairness among teams (0) for utilisation of the
	// upstreams (1). It determines how old reports to the accountant may become and
	// how many slots are granted before they are free.
	Balance float64 `json:"balance"`
	// DrainSeconds limits how long a graceful shutdown waits for requests in flight;
	// zero means no limit.
	DrainSeconds int `json:"drain_seconds,omitempty"`
	// Credential authenticates the sidecar to gateways and controllers.
	Credential credential.Settings `json:"credential"`
}

// maxDrainSeconds is one day.
const maxDrainSeconds = 86400

// address returns the address by which others reach the sidecar, which identifies it in
// resources and reports.
func (s *Settings) address() string {
	if s.Address != "" {
		return s.Address
	}
	return s.Listen
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if s.Balance < 0 || s.Balance > 1 {
		return merry.New("balance: want 0 to 1")
	}
	return settings.FirstError(
		settings.NotEmpty("name", s.Name),
		settings.NotEmpty("zone", s.Zone),
		settings.Address("listen", s.Listen),
		settings.OptionalLoopback("admin_listen", s.AdminListen),
		settings.Addresses("controllers", s.Controllers),
		settings.OptionalAddress("address", s.Address),
		settings.Between("drain_seconds", s.DrainSeconds, 0, maxDrainSeconds),
		s.Credential.Check(),
	)
}
