// Package wire defines the messages that the fleet's processes exchange: frames on
// long-lived links (package link) and the requests and replies of unary calls.
//
// There is one frame type for each kind of link: Serve between gateways and the
// leading controller, Work between gateways and sidecars, Account between sidecars
// and the leading controller, Node between nodes (gateways and sidecars) and any
// controller, and Replica between controllers. All fields of a frame are optional: a sender puts everything
// that is due into one frame, and fields that are not set are not encoded.
//
// Integer keys and array positions are the encoding. They never change meaning,
// because processes of two versions talk to each other during an upgrade.
package wire

import (
	"time"

	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
)

// Paths at which links are opened.
const (
	// PathWork is the path of a gateway's link to a sidecar; it carries Work frames.
	PathWork = "/link/work"
	// PathNode is the path of a gateway's or sidecar's link to any controller; it
	// carries Node frames.
	PathNode = "/link/node"
	// PathAccount is the path of a sidecar's link to the leading controller; it
	// carries Account frames.
	PathAccount = "/link/account"
	// PathReplica is the path of the links between controllers; they carry Replica
	// frames.
	PathReplica = "/link/replica"
)

// Work is a frame between a gateway and a sidecar.
type Work struct {
	// Offer is sent by the sidecar in its first frame and again whenever it changes.
	Offer *Offer `cbor:"1,keyasint,omitempty"`
	// Demands are the gateway's numbers of waiting requests.
	Demands []DemandBatch `cbor:"2,keyasint,omitempty"`
	// Declines return granted slots that the gateway no longer needs.
	Declines []share.Decline `cbor:"3,keyasint,omitempty"`
	// Grants are the sidecar's answers to demands.
	Grants []GrantBatch `cbor:"4,keyasint,omitempty"`
	// SpareCapacity reports for which services the sidecar has free slots.
	SpareCapacity []share.SpareCapacity `cbor:"5,keyasint,omitempty"`
	// Weights are the weights of teams that the gateway has not sent on this link
	// before.
	Weights []Weight `cbor:"6,keyasint,omitempty"`
}

// Offer lists the upstreams that a sidecar serves. Incarnation identifies the run of
// the sidecar's process.
type Offer struct {
	Incarnation string         `cbor:"1,keyasint"`
	Services    []OfferService `cbor:"2,keyasint"`
}

// OfferService lists the upstreams of one service in an Offer.
type OfferService struct {
	Service   share.ServiceID    `cbor:"1,keyasint"`
	Upstreams []share.UpstreamID `cbor:"2,keyasint"`
}

// Node is a frame between a gateway or sidecar and a controller.
type Node struct {
	// Hello is sent by the node in its first frame.
	Hello *Hello `cbor:"1,keyasint,omitempty"`
	// Sync carries changes of the replicated resources from the controller.
	Sync *Sync `cbor:"2,keyasint,omitempty"`
	// Leaving is the platform's list of hosts to be removed; set when it changed.
	Leaving *Leaving `cbor:"3,keyasint,omitempty"`
	// Leader is the address of the leading controller; set when it changed.
	Leader string `cbor:"4,keyasint,omitempty"`
}

// Hello introduces a gateway or sidecar to a controller.
type Hello struct {
	Address     string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	// Revision is the newest revision of the replicated resources that the node has
	// applied.
	Revision uint64 `cbor:"4,keyasint"`
}

// Sync brings a node's copy of the replicated resources to a revision. If Full is set,
// Resources holds all services, upstreams and placements; otherwise it holds what
// changed after the node's revision, including teams.
type Sync struct {
	Full      bool                `cbor:"1,keyasint,omitempty"`
	Revision  uint64              `cbor:"2,keyasint"`
	Resources []resource.Resource `cbor:"3,keyasint,omitempty"`
}

// Leaving lists the hosts that the platform is about to remove.
type Leaving struct {
	Hosts []string `cbor:"1,keyasint"`
}

// PathOrder is the path at which a sidecar accepts an Order from a controller.
const PathOrder = "/v1/order"

// Order instructs an engine to load a model version with adapters, or to change its
// role.
type Order struct {
	Upstream string `json:"upstream"`
	// FencingToken is the fencing token of the lease under which the order is issued.
	FencingToken uint64 `json:"number"`
	// Deadline is when the lease expires.
	Deadline time.Time `json:"deadline"`
	// Want is the placement to establish on the engine.
	Want resource.Placement `json:"want"`
}

// Replica is a frame between controllers.
type Replica struct {
	// ReplicaID and DiskID identify the sender; they are set in the first frame only.
	ReplicaID uint64 `cbor:"1,keyasint,omitempty"`
	DiskID    string `cbor:"2,keyasint,omitempty"`
	// Expected is the replica that the dialing end wants to reach, in its first frame. The
	// other end refuses the link if it is another one.
	Expected uint64 `cbor:"4,keyasint,omitempty"`
	// Group identifies the sender's group in the first frame; zero means that it knows none.
	Group uint64 `cbor:"5,keyasint,omitempty"`
	// Messages are messages of the consensus protocol.
	Messages []raft.Message `cbor:"3,keyasint,omitempty"`
}
