package controller

import (
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/room"
	"baobabpaddle/fleet/steady"
)

// View is an immutable snapshot of the state that a gateway serves from.
type View struct {
	// Table is the configuration in force, or nil when none is known yet.
	Table *configuration.Table
	// Upstreams are the listed upstreams by identifier.
	Upstreams map[string]dispatch.Upstream
	// ListAsOf is a time whose state Upstreams shows; zero before one is known.
	ListAsOf steady.Time
	// ProvenUntil is the time until which teams' keys may be served: the configuration
	// was the newest at most Settings.ProofLifetime before it. Without this bound, a
	// gateway that is cut off would keep serving revoked keys.
	ProvenUntil steady.Time
	// Gateways is the number of gateways linked to the leader, including this one.
	Gateways int
	// EvacuatedZones are the availability zones whose upstreams get no requests.
	EvacuatedZones map[string]bool
	// RateLimits are the rate limits that upstreams state, in requests a second.
	RateLimits map[string]float64
	// Zone is what the leader told last about the room of the gateway's zone, and ZoneAt when
	// it came; zero before that.
	Zone   room.View
	ZoneAt time.Time
	// Leader is the address of the leader that the gateway is linked to, or empty.
	Leader string
}

// Proven reports whether the configuration is proven to be recent enough to serve teams'
// keys.
func (v *View) Proven() bool { return v.Table != nil && steady.Now().Before(v.ProvenUntil) }

// ListRecent reports whether the list of upstreams is recent enough to begin streams that
// callers may resume. The software versions of an older one may be forgotten by then.
func (v *View) ListRecent() bool {
	return steady.Now().Before(v.ProvenUntil.Add(origin.MaxListAge))
}

// Ready reports whether the gateway can serve: its configuration is proven to be recent and
// it has upstreams.
func (v *View) Ready() bool { return v.Proven() && len(v.Upstreams) > 0 }
