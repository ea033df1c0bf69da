package share

// The numbers by which the fleet's processes name resources among themselves:
// the revision at which each was created.
type (
	// TeamID names a team.
	TeamID uint64
	// ServiceID names a service.
	ServiceID uint64
	// UpstreamID names an upstream.
	UpstreamID uint64
)

// Demand tells a sidecar how many requests of a team wait at a gateway, capped
// at the window. Count zero withdraws.
type Demand struct {
	Service ServiceID
	Team    TeamID
	Count   int
}

// Grant gives places on an upstream to a team's next requests at a gateway.
type Grant struct {
	// ID names the first place; the others have the numbers that follow.
	ID       uint64
	Service  ServiceID
	Team     TeamID
	Upstream UpstreamID
	// ExtraSlots is how many places there are beyond the first.
	ExtraSlots int
	// Prefetch tells that the places are granted ahead of time: what takes them
	// waits at the sidecar.
	Prefetch bool
}

// Decline returns granted places that no request needs any more.
type Decline struct {
	ID      uint64    `cbor:"1,keyasint"`
	Service ServiceID `cbor:"2,keyasint"`
	// ExtraSlots is how many places that follow ID are returned with it.
	ExtraSlots int `cbor:"3,keyasint,omitempty"`
}

// SpareCapacity tells gateways whether a sidecar has room for a service and nothing
// waiting for it.
type SpareCapacity struct {
	Service   ServiceID `cbor:"1,keyasint"`
	Available bool      `cbor:"2,keyasint"`
}

// Report carries a sidecar's own counters to the accountant. Counters are
// cumulative, so that a lost or repeated report changes nothing.
type Report struct {
	Service ServiceID
	Entries []ReportEntry
}

// ReportEntry is one team's counter at one sidecar.
type ReportEntry struct {
	Team TeamID
	// Epoch changes when the counter began again from zero.
	Epoch uint32
	// LocalService is the service charged at this sidecar in this epoch.
	LocalService int64
	// Waiting is true when the team waited here since the last report.
	Waiting bool
	// KnownVirtual and KnownOwn are the virtual service last heard from an accountant
	// and the part of Own it included. They are sent on a new link only.
	KnownVirtual int64
	KnownLocal   int64
	// Intermittent is true when the team waited here since the last report, but not
	// nearly all the time.
	Intermittent bool
}

// Totals carries the fleet's counters to one sidecar, for teams that wait there.
type Totals struct {
	Service ServiceID
	Entries []TotalEntry
	// VirtualTime is the least virtual service among the backlogged teams.
	VirtualTime int64
}

// TotalEntry is one team's virtual service, in thousandths of a unit of cost
// per weight, and the part of the sidecar's own counter it includes.
type TotalEntry struct {
	Team         TeamID
	Virtual      int64
	Epoch        uint32
	LocalService int64
	// Sidecars is at how many sidecars the team waits.
	Sidecars int
}

// virtualUnitsPerCost turns virtual service into the integers of messages.
const virtualUnitsPerCost = 1000

func toWire(virtual float64) int64 { return int64(virtual * virtualUnitsPerCost) }

func fromWire(virtual int64) float64 { return float64(virtual) / virtualUnitsPerCost }
