package share

// The processes of the fleet identify resources to each other by number: the
// revision at which the resource was created.
type (
	// TeamID names a team.
	TeamID uint64
	// ServiceID names a service.
	ServiceID uint64
	// UpstreamID names an upstream.
	UpstreamID uint64
)

// Demand tells a sidecar how many requests of a team wait at a gateway, at most
// PlacerSettings.Window. Count zero withdraws the demand.
type Demand struct {
	Service ServiceID
	Team    TeamID
	Count   int
}

// Grant gives a team's next requests at a gateway slots on an upstream. A slot is the
// right to run one request.
type Grant struct {
	// ID is the number of the first slot; the others have the numbers that follow.
	ID       uint64
	Service  ServiceID
	Team     TeamID
	Upstream UpstreamID
	// ExtraSlots is how many slots there are beyond the first.
	ExtraSlots int
	// Prefetch is true if the slots are granted before they are free, beyond the
	// pipeline depth: requests that use them wait at the sidecar.
	Prefetch bool
}

// Decline returns granted slots that no request needs any more.
type Decline struct {
	ID      uint64    `cbor:"1,keyasint"`
	Service ServiceID `cbor:"2,keyasint"`
	// ExtraSlots is how many of the slots that follow ID are returned with it.
	ExtraSlots int `cbor:"3,keyasint,omitempty"`
}

// SpareCapacity tells gateways whether a sidecar has free slots for a service and no
// team waiting for them.
type SpareCapacity struct {
	Service   ServiceID `cbor:"1,keyasint"`
	Available bool      `cbor:"2,keyasint"`
}

// Report carries a sidecar's counters to the accountant. Counters are cumulative, so that
// a lost or repeated report changes no total.
type Report struct {
	Service ServiceID
	Entries []ReportEntry
}

// ReportEntry is the counter of one team at one sidecar.
type ReportEntry struct {
	Team TeamID
	// Epoch changes when the counter restarts from zero.
	Epoch uint32
	// LocalService is the service charged at this sidecar in this epoch, in units
	// of cost.
	LocalService int64
	// Waiting is true if the team has waited at this sidecar since the last report.
	Waiting bool
	// KnownVirtual and KnownLocal are the virtual service last received from an
	// accountant, in thousandths, and the part of LocalService that it includes. They
	// are set only in the full report on a new link.
	KnownVirtual int64
	KnownLocal   int64
	// Intermittent is true if the team has waited at this sidecar since the last
	// report, but not nearly all the time.
	Intermittent bool
}

// Totals carries the fleet-wide counters of the teams that wait at a sidecar to that
// sidecar.
type Totals struct {
	Service ServiceID
	Entries []TotalEntry
	// VirtualTime is the least virtual service among the backlogged teams, in
	// thousandths of a unit of cost per weight.
	VirtualTime int64
}

// TotalEntry is one team's virtual service, in thousandths of a unit of cost per weight,
// and the part of the sidecar's own counter that it includes.
type TotalEntry struct {
	Team         TeamID
	Virtual      int64
	Epoch        uint32
	LocalService int64
	// Sidecars is the number of sidecars where the team waits.
	Sidecars int
}

// virtualUnitsPerCost converts virtual service to the integers in messages.
const virtualUnitsPerCost = 1000

func toWire(virtual float64) int64 { return int64(virtual * virtualUnitsPerCost) }

func fromWire(virtual int64) float64 { return float64(virtual) / virtualUnitsPerCost }
