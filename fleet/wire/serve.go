package wire

import (
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/state"
)

// PathServe is the gateways' link to the leading controller, where requests are
// placed.
const PathServe = "/link/serve"

// Serve is a frame between a gateway and a controller.
type Serve struct {
	// Hello is the gateway's first word.
	Hello *ServeHello `cbor:"1,keyasint,omitempty"`
	// Ping asks for a proof that the configuration is the newest.
	Ping uint64 `cbor:"2,keyasint,omitempty"`
	// Places asks where requests go.
	Places []dispatch.Request `cbor:"3,keyasint,omitempty"`
	// Sent tells of requests at upstreams that the leader has not placed.
	Sent []Sent `cbor:"4,keyasint,omitempty"`
	// Begun names requests whose answers have begun.
	Begun []uint64 `cbor:"5,keyasint,omitempty"`
	// Ended tells how work on requests ended.
	Ended []Ended `cbor:"6,keyasint,omitempty"`

	// Accounts are what teams were given through this gateway, for a new leader.
	Accounts []dispatch.Account `cbor:"16,keyasint,omitempty"`
	// Words are what upstreams have said of themselves to this gateway.
	Words []dispatch.Notice `cbor:"17,keyasint,omitempty"`
	// Refused is what the gateway refused without asking since its last frame with a
	// ping.
	Refused []dispatch.GatewayRefusals `cbor:"20,keyasint,omitempty"`

	// Welcome is the controller's first word.
	Welcome *Welcome `cbor:"10,keyasint,omitempty"`
	// Pong answers a ping: the configuration told so far was the newest when the
	// ping arrived.
	Pong uint64 `cbor:"11,keyasint,omitempty"`
	// Configuration is the one in force, when it changed.
	Configuration *state.Configuration `cbor:"12,keyasint,omitempty"`
	// Change is what changed in the configuration since the one that the gateway has.
	Change *configuration.Change `cbor:"18,keyasint,omitempty"`
	// Upstreams is what changed in the platform's list, or all of it.
	Upstreams *Upstreams `cbor:"13,keyasint,omitempty"`
	// Decisions answer Places.
	Decisions []dispatch.Decision `cbor:"14,keyasint,omitempty"`
	// Portion is the part of the fleet's requests that came through this gateway lately;
	// zero is not known.
	Portion float64 `cbor:"19,keyasint,omitempty"`
	// Gateways is how many gateways are linked, when it changed.
	Gateways int `cbor:"15,keyasint,omitempty"`
}

// ServeHello introduces a gateway.
type ServeHello struct {
	// Name is the gateway's, with its start, so that two starts differ.
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Version is the configuration's that is in force at the gateway.
	Version uint64 `cbor:"3,keyasint"`
	// Sum is that of the list of upstreams which the gateway has.
	Sum uint64 `cbor:"4,keyasint,omitempty"`
}

// Welcome tells a gateway whether it has found the leader.
type Welcome struct {
	Leads bool `cbor:"1,keyasint"`
	// Leader is the leader's address as far as it is known.
	Leader string `cbor:"2,keyasint,omitempty"`
	// Controllers are the addresses of all controllers.
	Controllers []string `cbor:"3,keyasint,omitempty"`
}

// Sent tells that a request is at an upstream.
type Sent struct {
	ID       uint64          `cbor:"1,keyasint"`
	Upstream string          `cbor:"2,keyasint"`
	Team     string          `cbor:"3,keyasint,omitempty"`
	Prompt   dispatch.Prompt `cbor:"4,keyasint,omitempty"`
	// Begun tells that the answer has begun.
	Begun bool `cbor:"5,keyasint,omitempty"`
	// Counted tells that the accounts of teams have the request: it was at its upstream
	// before the link was made.
	Counted bool `cbor:"6,keyasint,omitempty"`
}

// Ended tells how an upstream's work on a request ended.
type Ended struct {
	ID     uint64           `cbor:"1,keyasint"`
	Ending dispatch.Outcome `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether the frame carries nothing.
func (s *Serve) Empty() bool {
	return s.Hello == nil && s.Ping == 0 && len(s.Places) == 0 && len(s.Sent) == 0 && len(s.Begun) == 0 &&
		len(s.Ended) == 0 && s.Welcome == nil && s.Pong == 0 && s.Configuration == nil && s.Upstreams == nil &&
		len(s.Decisions) == 0 && s.Gateways == 0 && len(s.Accounts) == 0 && len(s.Words) == 0 && len(s.Refused) == 0 && s.Change == nil && s.Portion == 0
}
