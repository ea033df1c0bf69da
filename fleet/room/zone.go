package room

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLifetime is how long a gateway's report is used. Gateways report twice a second.
	reportLifetime = 2 * time.Second
	// memberLifetime is how long a gateway that no longer reports counts as one of its zone.
	// The load balancer counts the hosts that it does not reach as well.
	memberLifetime = 30 * time.Second
)

// Report is what a gateway knows about its own room.
type Report struct {
	// Wait is the time in milliseconds that a request would wait in the gateway.
	Wait int64 `cbor:"1,keyasint,omitempty"`
	// Crowded is for how many milliseconds the gateway has been refusing requests since it is
	// short of processor time; zero if it does not.
	Crowded int64 `cbor:"2,keyasint,omitempty"`
	// Resting is true if the gateway reports to the load balancer that it is not ready.
	Resting bool `cbor:"3,keyasint,omitempty"`
}

// View is what the leader tells a gateway about its zone.
type View struct {
	// Gateways is the number of gateways of the zone, including those that report no longer.
	Gateways int `cbor:"1,keyasint"`
	// Crowded and Resting are the numbers of those that are crowded and that rest.
	Crowded int `cbor:"2,keyasint,omitempty"`
	Resting int `cbor:"3,keyasint,omitempty"`
	// MayRest is true if the gateway may rest.
	MayRest bool `cbor:"4,keyasint,omitempty"`
}

// member is the last report of a gateway.
type member struct {
	report Report
	at     time.Time
}

// Zone decides which gateways of an availability zone may rest: the most crowded ones, and
// never so many that the load balancer disregards readiness.
type Zone struct {
	members map[string]member // by gateway
}

// NewZone returns a zone without gateways.
func NewZone() *Zone {
	return &Zone{
		members: make(map[string]member),
	}
}

// Record records a report of a gateway.
func (z *Zone) Record(now time.Time, gateway string, r Report) {
	z.members[gateway] = member{
		report: r,
		at:     now,
	}
}

// View returns what a gateway is told. Reports older than reportLifetime count neither as
// crowded nor as resting.
func (z *Zone) View(now time.Time, gateway string) View {
	var v View
	var waiting []string // crowded gateways that do not rest
	for name, m := range z.members {
		age := now.Sub(m.at)
		if age > memberLifetime {
			delete(z.members, name)
			continue
		}
		v.Gateways++
		if age > reportLifetime {
			// The load balancer may have taken it out of rotation.
			v.Resting++
			continue
		}
		if m.report.Resting {
			v.Resting++
		}
		if m.report.Crowded > 0 {
			v.Crowded++
			if !m.report.Resting {
				waiting = append(waiting, name)
			}
		}
	}
	if z.members[gateway].report.Resting {
		v.MayRest = true
		return v
	}
	slices.SortFunc(waiting, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(z.members[b].report.Wait, z.members[a].report.Wait),
			cmp.Compare(z.members[b].report.Crowded, z.members[a].report.Crowded),
			cmp.Compare(a, b),
		)
	})
	free := MaxResting(v.Gateways) - v.Resting
	if i := slices.Index(waiting, gateway); i >= 0 {
		v.MayRest = i < free
	} else {
		v.MayRest = len(waiting) < free
	}
	return v
}

// MaxResting returns how many of a zone's gateways may rest at once. The load balancer sends
// callers to all of them once fewer than half are ready, so that one more than half stays
// ready. Of two gateways one may rest, and a single one, whose callers then go to other
// zones.
func MaxResting(gateways int) int {
	if gateways <= 2 {
		return min(gateways, 1)
	}
	return gateways - (gateways/2 + 1)
}
