package wire

import (
	"math"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/evacuation"
	"baobabpaddle/fleet/origin"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/room"
	"baobabpaddle/fleet/state"
)

// PathServe is the path of a gateway's link to the leading controller, which decides
// where requests are placed. The link carries Serve frames.
const PathServe = "/link/serve"

// Serve is a frame between a gateway and the leading controller. Fields up to Refused
// are sent by the gateway, those from Welcome on by the controller, RateLimits and Quarantine
// by both.
type Serve struct {
	// Hello is sent in the gateway's first frame.
	Hello *ServeHello `cbor:"1,keyasint,omitempty"`
	// Ping is a sequence number; it asks the controller to confirm that the gateway's
	// configuration is the newest.
	Ping uint64 `cbor:"2,keyasint,omitempty"`
	// PlacementRequests are requests for which the gateway needs an upstream.
	PlacementRequests []dispatch.Request `cbor:"3,keyasint,omitempty"`
	// InFlight are requests at upstreams that this leader did not place.
	InFlight []InFlight `cbor:"4,keyasint,omitempty"`
	// Started are the identifiers of requests whose answers have begun.
	Started []uint64 `cbor:"5,keyasint,omitempty"`
	// ServiceTimes are the service times of requests in Started to plain services, where the
	// gateway measured them.
	ServiceTimes []ServiceTime `cbor:"33,keyasint,omitempty"`
	// Ended are requests that have ended at their upstreams.
	Ended []Ended `cbor:"6,keyasint,omitempty"`

	// Accounts are the tokens that teams demanded and were admitted through this
	// gateway; a new leader starts its accounting from them.
	Accounts []dispatch.Account `cbor:"16,keyasint,omitempty"`
	// UpstreamNotices are the notices of upstreams, in their answers to this gateway,
	// that they shut down or want no requests for a while.
	UpstreamNotices []dispatch.Notice `cbor:"17,keyasint,omitempty"`
	// Refused are the requests that the gateway refused on its own, without asking
	// the leader, since its last frame with a ping.
	Refused []dispatch.GatewayRefusals `cbor:"20,keyasint,omitempty"`

	// RateLimits are the rate limits of upstreams: from the gateway those in their answers,
	// and when it links those that it knows, from the controller those that changed.
	RateLimits []dispatch.RateLimitReport `cbor:"23,keyasint,omitempty"`
	// RateLimitsComplete reports that RateLimits holds all that the controller knows.
	RateLimitsComplete bool `cbor:"24,keyasint,omitempty"`

	// Begun are streams whose first events the gateway has forwarded: new ones, and when it
	// links the latest.
	Begun []origin.Batch `cbor:"25,keyasint,omitempty"`

	// ListAge is how long ago the state was true that the list of upstreams shows, at least; it
	// comes with a pong and is zero while it is not known.
	ListAge time.Duration `cbor:"34,keyasint,omitempty"`
	// DoubtedVersions are upstreams that may run another software version than the list shows, from
	// the gateway when it links.
	DoubtedVersions []string `cbor:"35,keyasint,omitempty"`

	// Evacuations are the evacuated availability zones, from the controller: all of them in
	// its first frame and at each change.
	Evacuations *evacuation.Frame `cbor:"26,keyasint,omitempty"`
	// Room is the gateway's own room; it comes with a ping.
	Room *room.Report `cbor:"30,keyasint,omitempty"`
	// ZoneRoom is the room of the gateway's zone; it comes with a pong.
	ZoneRoom *room.View `cbor:"31,keyasint,omitempty"`
	// Cold are upstreams that are cold or may be: from the gateway when it links all that it
	// knows, from the controller those whose state changed, and all to a new link.
	Cold []dispatch.ColdReport `cbor:"28,keyasint,omitempty"`

	// Welcome is sent in the controller's first frame.
	Welcome *Welcome `cbor:"10,keyasint,omitempty"`
	// Pong is the number of the ping that it answers: the configuration and the evacuations
	// sent so far were the newest when that ping arrived.
	Pong uint64 `cbor:"11,keyasint,omitempty"`
	// Configuration is the whole configuration in force; set when it changed.
	Configuration *state.Configuration `cbor:"12,keyasint,omitempty"`
	// Change is the difference from the gateway's configuration to the one in force.
	Change *configuration.Change `cbor:"18,keyasint,omitempty"`
	// Upstreams updates the gateway's copy of the platform's list of upstreams.
	Upstreams *UpstreamsUpdate `cbor:"13,keyasint,omitempty"`
	// Decisions are the answers to PlacementRequests.
	Decisions []dispatch.Decision `cbor:"14,keyasint,omitempty"`
	// TrafficFraction is the recent fraction of the fleet's requests that came through
	// this gateway, from 0 to 1; zero means unknown.
	TrafficFraction float64 `cbor:"19,keyasint,omitempty"`
	// Gateways is the number of linked gateways; set when it changed.
	Gateways int `cbor:"15,keyasint,omitempty"`
	// Rank is the gateway's rank among these, from 1; set with Gateways.
	Rank int `cbor:"29,keyasint,omitempty"`

	// Quarantine are records of quarantined prompt segments and requests: from the gateway those that
	// it knows when it links, from the controller those that changed.
	Quarantine []quarantine.Record `cbor:"21,keyasint,omitempty"`
	// QuarantineComplete reports that Quarantine holds all records of the controller.
	QuarantineComplete bool `cbor:"22,keyasint,omitempty"`
	// Suspects are requests that upstreams crashed with and that are not quarantined: from the
	// controller all of them when they change, from the gateway those that it knows when it
	// links. SuspectsComplete is true if the controller sent them.
	Suspects         []quarantine.Record `cbor:"36,keyasint,omitempty"`
	SuspectsComplete bool                `cbor:"37,keyasint,omitempty"`
}

// ServeHello introduces a gateway to a controller.
type ServeHello struct {
	// Name identifies the gateway and includes its start, so that two runs of one
	// gateway have different names.
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Version is the version of the configuration in force at the gateway.
	Version uint64 `cbor:"3,keyasint"`
	// UpstreamsHash is the UpstreamsHash of the gateway's list of upstreams.
	UpstreamsHash uint64 `cbor:"4,keyasint,omitempty"`
	// VersionsHash is the VersionsHash of that list.
	VersionsHash uint64 `cbor:"5,keyasint,omitempty"`
	// UpstreamsDigest is the UpstreamsDigest of that list, or zero from a gateway that doesn't
	// compute it.
	UpstreamsDigest uint64 `cbor:"6,keyasint,omitempty"`
}

// Welcome is the controller's answer to a ServeHello. It reports whether the
// controller is the leader.
type Welcome struct {
	IsLeader bool `cbor:"1,keyasint"`
	// Leader is the leader's address; empty if unknown.
	Leader string `cbor:"2,keyasint,omitempty"`
	// Controllers are the addresses of all controllers.
	Controllers []string `cbor:"3,keyasint,omitempty"`
	// Term is the term of the leader; zero from leaders that don't state it. What the
	// leader knows from gateways ends with its term.
	Term uint64 `cbor:"4,keyasint,omitempty"`
}

// InFlight describes a request that is at an upstream.
type InFlight struct {
	ID       uint64          `cbor:"1,keyasint"`
	Upstream string          `cbor:"2,keyasint"`
	Team     string          `cbor:"3,keyasint,omitempty"`
	Prompt   dispatch.Prompt `cbor:"4,keyasint,omitempty"`
	// Digest is that of dispatch.Request.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
	// Started is true if the answer has begun.
	Started bool `cbor:"5,keyasint,omitempty"`
	// Counted is true if the gateway's Accounts include the request, which is so if it
	// was at its upstream before the link was opened.
	Counted bool `cbor:"6,keyasint,omitempty"`
}

// ServiceTime is the time from sending a request to an upstream until its response.
type ServiceTime struct {
	ID uint64 `cbor:"1,keyasint"`
	// Micros is the time in microseconds, at most 71 minutes.
	Micros uint32 `cbor:"2,keyasint"`
}

// NewServiceTime returns the report of a service time.
func NewServiceTime(id uint64, took time.Duration) ServiceTime {
	return ServiceTime{
		ID:     id,
		Micros: uint32(min(max(took.Microseconds(), 0), math.MaxUint32)),
	}
}

// Duration returns the service time.
func (t ServiceTime) Duration() time.Duration { return time.Duration(t.Micros) * time.Microsecond }

// Ended reports how a request ended at its upstream. NewEnded makes it and Exactly reads
// it.
type Ended struct {
	ID uint64 `cbor:"1,keyasint"`
	// Outcome is one of the outcomes that all peers know.
	Outcome dispatch.Outcome `cbor:"2,keyasint,omitempty"`
	// Exact is the outcome if it is one that older peers don't know, and zero otherwise.
	Exact dispatch.Outcome `cbor:"3,keyasint,omitempty"`
}

// NewEnded returns the report of an outcome. Peers that don't know the outcome read the
// nearest one that they know.
func NewEnded(id uint64, outcome dispatch.Outcome) Ended {
	e := Ended{
		ID:      id,
		Outcome: outcome,
	}
	switch outcome {
	case dispatch.Crashed:
		e.Outcome, e.Exact = dispatch.Broken, outcome
	case dispatch.ConnectionRefused:
		e.Outcome, e.Exact = dispatch.Unreachable, outcome
	case dispatch.AnsweredError:
		e.Outcome, e.Exact = dispatch.Answered, outcome
	}
	return e
}

// Exactly returns the outcome that was reported.
func (e Ended) Exactly() dispatch.Outcome {
	if e.Exact != 0 {
		return e.Exact
	}
	return e.Outcome
}

// Empty reports whether the frame carries nothing.
func (s *Serve) Empty() bool {
	return s.Hello == nil && s.Ping == 0 && len(s.PlacementRequests) == 0 && len(s.InFlight) == 0 && len(s.Started) == 0 &&
		len(s.ServiceTimes) == 0 && len(s.Ended) == 0 && s.Welcome == nil && s.Pong == 0 && s.Configuration == nil && s.Upstreams == nil &&
		len(s.Decisions) == 0 && s.Gateways == 0 && len(s.Accounts) == 0 && len(s.UpstreamNotices) == 0 && len(s.Refused) == 0 && s.Change == nil && s.TrafficFraction == 0 &&
		len(s.Begun) == 0 && len(s.Quarantine) == 0 && !s.QuarantineComplete && len(s.RateLimits) == 0 && !s.RateLimitsComplete &&
		s.Evacuations == nil && s.Room == nil && s.ZoneRoom == nil &&
		len(s.Cold) == 0 && len(s.DoubtedVersions) == 0 && len(s.Suspects) == 0 && !s.SuspectsComplete
}
