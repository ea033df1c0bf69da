// Package wire defines the frames that the fleet's processes exchange over
// links. A frame carries whatever waits to be sent; absent parts cost nothing.
package wire

import (
	"time"

	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
)

// The paths of links.
const (
	// PathWork is the gateways' link to a sidecar.
	PathWork = "/link/work"
	// PathNode is the gateways' and sidecars' link to any controller.
	PathNode = "/link/node"
	// PathAccount is the sidecars' link to the leading controller.
	PathAccount = "/link/account"
	// PathReplica is the controllers' link to each other.
	PathReplica = "/link/replica"
)

// Work is a frame between a gateway and a sidecar.
type Work struct {
	// Offer is the sidecar's first word and repeated when it changes.
	Offer    *Offer                `cbor:"1,keyasint,omitempty"`
	Demands  []Demands             `cbor:"2,keyasint,omitempty"`
	Declines []share.Decline       `cbor:"3,keyasint,omitempty"`
	Grants   []Grants              `cbor:"4,keyasint,omitempty"`
	Rooms    []share.SpareCapacity `cbor:"5,keyasint,omitempty"`
	// Weights tells the weights of teams that this link has not told yet.
	Weights []Weight `cbor:"6,keyasint,omitempty"`
}

// Offer tells which upstreams a sidecar serves and under which incarnation.
type Offer struct {
	Incarnation string         `cbor:"1,keyasint"`
	Services    []OfferService `cbor:"2,keyasint"`
}

// OfferService is the part of an offer about one service.
type OfferService struct {
	Service   share.ServiceID    `cbor:"1,keyasint"`
	Upstreams []share.UpstreamID `cbor:"2,keyasint"`
}

// Node is a frame between a gateway or sidecar and a controller.
type Node struct {
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	Sync  *Sync  `cbor:"2,keyasint,omitempty"`
	// Leaving is the platform's list of leaving hosts, when it changed.
	Leaving *Leaving `cbor:"3,keyasint,omitempty"`
	// Leader is the address of the leading controller, when it changed.
	Leader string `cbor:"4,keyasint,omitempty"`
}

// Hello is a node's first word.
type Hello struct {
	Address     string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	// Revision is the newest revision in force at the node.
	Revision uint64 `cbor:"4,keyasint"`
}

// Sync brings a node to a revision. With Full, Resources are all services,
// upstreams and placements; otherwise they are the changes after the node's
// revision, teams included.
type Sync struct {
	Full      bool                `cbor:"1,keyasint,omitempty"`
	Revision  uint64              `cbor:"2,keyasint"`
	Resources []resource.Resource `cbor:"3,keyasint,omitempty"`
}

// Leaving lists the hosts that the platform is about to take away.
type Leaving struct {
	Hosts []string `cbor:"1,keyasint"`
}

// PathOrder is where sidecars take orders to engines from controllers.
const PathOrder = "/v1/order"

// Order tells an engine to load a model, adapters and version or to change role.
type Order struct {
	Upstream string `json:"upstream"`
	// Number is the fencing number of the lease under which it is given.
	Number uint64 `json:"number"`
	// Deadline is when the lease runs out.
	Deadline time.Time          `json:"deadline"`
	Want     resource.Placement `json:"want"`
}

// Replica is a frame between controllers.
type Replica struct {
	// DiskID and ReplicaID introduce the sender in the first frame.
	ReplicaID uint64         `cbor:"1,keyasint,omitempty"`
	DiskID    string         `cbor:"2,keyasint,omitempty"`
	Messages  []raft.Message `cbor:"3,keyasint,omitempty"`
}
