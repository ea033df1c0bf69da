package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlacerBindsByPrefix gives a grant the request whose prefix prefers the
// granting upstream, and lets the oldest be passed over a bounded number of
// times only.
func TestPlacerBindsByPrefix(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{})
	p.SetSidecar("sidecar-1", []UpstreamID{1, 2})
	other, mine := uint64(0), uint64(0)
	for key := uint64(1); other == 0 || mine == 0; key++ {
		if Preferred(key, p.upstreams) == 1 {
			mine = key
		} else {
			other = key
		}
	}
	arrive(p, 1, other)
	for i := range 20 {
		arrive(p, uint64(i+2), mine)
	}
	passed := 0
	for i := range 20 {
		p.TakeActions()
		p.Grant(start, "sidecar-1", Grant{
			ID:       uint64(i + 1),
			Team:     1,
			Upstream: 1,
		})
		var started Start
		for _, a := range p.TakeActions() {
			if s, ok := a.(Start); ok {
				started = s
			}
		}
		if started.Request.ID == 1 {
			break
		}
		passed++
	}
	is.Equal(passed, DefaultAffinityLookahead)
}

// TestPlacerBindsTheHighestRanked gives a grant, of several requests that prefer
// other upstreams, the one that would prefer this one next.
func TestPlacerBindsTheHighestRanked(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{})
	upstreams := []UpstreamID{1, 2, 3, 4, 5, 6, 7, 8}
	p.SetSidecar("sidecar-1", upstreams)
	want, best := uint64(0), len(upstreams)
	for id := range uint64(6) {
		prefix := HashKey(fmt.Sprint("prompt ", id))
		if k := rank(prefix, 5, upstreams); k < best {
			want, best = id+1, k
		}
		p.Arrive(start, Request{
			ID:       id + 1,
			Team:     1,
			Deadline: start.Add(time.Minute),
			Prefix:   prefix,
		})
	}
	is.True(want > 1) // or the test would show nothing
	p.TakeActions()
	p.Grant(start, "sidecar-1", Grant{
		ID:       1,
		Team:     1,
		Upstream: 5,
	})
	is.Equal(p.TakeActions()[0].(Start).Request.ID, want)
}

// TestPlacerBindsManyPlaces takes a grant of several places and returns those
// that no request needs.
func TestPlacerBindsManyPlaces(t *testing.T) {
	is := is.New(t)
	p := NewPlacer(PlacerSettings{}, rand.New(rand.NewPCG(1, 1)))
	p.SetSidecar("sidecar-1", []UpstreamID{1})
	for id := range uint64(3) {
		p.Arrive(start, Request{
			ID:         id + 1,
			Team:       1,
			Deadline:   start.Add(time.Minute),
			Idempotent: true,
		})
	}
	p.TakeActions()
	p.Grant(start, "sidecar-1", Grant{
		ID:         10,
		Team:       1,
		Upstream:   1,
		ExtraSlots: 4,
	})
	var started []uint64
	var declined []Decline
	for _, a := range p.TakeActions() {
		switch a := a.(type) {
		case Start:
			started = append(started, a.GrantID)
		case SendDecline:
			declined = append(declined, a.Decline)
		}
	}
	is.Equal(started, []uint64{10, 11, 12})
	is.Equal(declined, []Decline{
		{
			ID:         13,
			ExtraSlots: 1,
		},
	})
}

// TestPlacerBindsOneBookingToAGrant takes a grant of many places for a team whose
// bookings wait among look-ups: one booking at most takes a place, and the places
// that no look-up needs are returned.
func TestPlacerBindsOneBookingToAGrant(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{})
	p.SetSidecar("sidecar-1", []UpstreamID{1})
	lookups := []uint64{2, 4, 5}
	for id := range uint64(6) {
		p.Arrive(start, Request{
			ID:         id + 1,
			Team:       1,
			Deadline:   start.Add(time.Minute),
			Idempotent: slices.Contains(lookups, id+1),
		})
	}
	p.TakeActions()
	p.Grant(start, "sidecar-1", Grant{
		ID:         1,
		Team:       1,
		Upstream:   1,
		ExtraSlots: 9,
		Prefetch:   true,
	})
	var started []uint64
	declined := 0
	for _, a := range p.TakeActions() {
		switch a := a.(type) {
		case Start:
			started = append(started, a.Request.ID)
		case SendDecline:
			declined += 1 + a.Decline.ExtraSlots
		}
	}
	is.Equal(started, []uint64{1, 2, 4, 5})
	is.Equal(declined, 6)
	is.Equal(p.TeamWaiting(1), 2)
}

// TestPlacerBindsManyBookingsToFreePlaces takes a grant of places that are free:
// as many bookings take them.
func TestPlacerBindsManyBookingsToFreePlaces(t *testing.T) {
	is := is.New(t)
	p := newPlacer(PlacerSettings{})
	p.SetSidecar("sidecar-1", []UpstreamID{1})
	for id := range uint64(4) {
		p.Arrive(start, Request{
			ID:       id + 1,
			Team:     1,
			Deadline: start.Add(time.Minute),
		})
	}
	p.Grant(start, "sidecar-1", Grant{
		ID:         1,
		Team:       1,
		Upstream:   1,
		ExtraSlots: 3,
	})
	is.Equal(p.Waiting(), 0)
}
