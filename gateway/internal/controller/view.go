package controller

import (
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/steady"
)

// View is what a gateway knows, as one immutable picture.
type View struct {
	// Table is the configuration in force, or nil when none is known yet.
	Table *configuration.Table
	// Upstreams are the listed upstreams by identifier.
	Upstreams map[string]dispatch.Upstream
	// ProvenUntil is until when the configuration is known to be recent enough
	// to serve teams' keys.
	ProvenUntil steady.Time
	// Gateways is how many gateways serve, this one included.
	Gateways int
	// Leader is the address of the leader that the gateway is linked to; empty
	// without a link.
	Leader string
}

// Proven reports whether the configuration may still be used for keys.
func (v *View) Proven() bool { return v.Table != nil && steady.Now().Before(v.ProvenUntil) }

// Ready reports whether the gateway can serve.
func (v *View) Ready() bool { return v.Proven() && len(v.Upstreams) > 0 }
