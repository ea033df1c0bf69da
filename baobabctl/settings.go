package main

import (
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/settings"
)

// Settings are the contents of the settings file.
type Settings struct {
	// Controllers are the controllers' addresses, IP address and port. They are tried
	// in this order.
	Controllers []string `json:"controllers"`
	// Credential authenticates the operator.
	Credential credential.Settings `json:"credential"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	return settings.FirstError(
		settings.Addresses("controllers", s.Controllers),
		s.Credential.Check(),
	)
}
