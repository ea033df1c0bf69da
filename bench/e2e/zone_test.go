package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/fleet/problem"
)

// zoneFleet is a fleet in two availability zones. The first has a gateway, a sidecar
// and two controllers, the second a gateway, a sidecar and one controller.
type zoneFleet struct {
	fleet  *local.Fleet
	names  [2][]string // the names of each zone's processes
	relays [2][]*relay // in front of each zone's controllers and sidecar
}

func startZoneFleet(t *testing.T) *zoneFleet {
	t.Helper()
	z := &zoneFleet{}
	plan := local.Plan{
		Resources: resourcesFor(t, upstreams{
			bookings:   2,
			maxRunning: 4,
		}),
		BookingWork: 20 * time.Millisecond,
		Listen:      make(map[string]string),
	}
	relayed := func(zone int, name, address string) {
		plan.Listen[address] = freeAddress(t)
		z.relays[zone] = append(z.relays[zone], newRelay(t, address, plan.Listen[address]))
		z.names[zone] = append(z.names[zone], name)
	}
	for i := range 3 {
		address := freeAddress(t)
		plan.ControllerAddresses = append(plan.ControllerAddresses, address)
		relayed(i/2, fmt.Sprintf("controller-%d", i+1), address)
	}
	for zone := range 2 {
		address := upstreamOf(t, &local.Fleet{
			Plan: plan,
		}, fmt.Sprintf("booking-%d", zone)).Sidecar
		relayed(zone, local.SidecarName(address), address)
		z.names[zone] = append(z.names[zone], fmt.Sprintf("gateway-%d", zone+1))
	}
	z.fleet = startFleet(t, plan)
	return z
}

// partition blackholes the connections between the zones.
func (z *zoneFleet) partition() {
	for zone, relays := range z.relays {
		for _, r := range relays {
			r.blockSources(z.names[1-zone]...)
		}
	}
}

// heal lets new connections between the zones through.
func (z *zoneFleet) heal() {
	for _, relays := range z.relays {
		for _, r := range relays {
			r.blockSources()
		}
	}
}

// TestZonePartition partitions two availability zones from each other, twice, while
// callers book in both. The zone with the quorum keeps booking; the other refuses
// bookings as not run and still serves look-ups. After the partition heals, a change
// accepted meanwhile is in force in both, and no booking ran twice.
func TestZonePartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := startZoneFleet(t)
	f := z.fleet
	waitServing(t, f)
	first, second := f.Addresses.Gateways[0], f.Addresses.Gateways[1]
	bookAt := func(gateway, id string) reply {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		return call(ctx, http.MethodPost, "http://"+gateway+"/booking/bookings", "team-0", `{"zone":"`+id+`"}`, "Idempotency-Key", id)
	}
	readSlots := func(gateway, team string) int {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		return call(ctx, http.MethodGet, "http://"+gateway+"/booking/slots", team, "").status
	}
	is.Equal(readSlots(second, "team-1"), http.StatusOK) // the gateway knows the team before the partition
	var notRun []string
	results := bookDuring(t, f, 4, func() {
		for round := range 2 {
			time.Sleep(500 * time.Millisecond)
			z.partition()
			n := 0
			eventually(t, "the second zone refuses bookings as not run", func() bool {
				n++
				id := fmt.Sprintf("cut-%d-%d", round, n)
				p := bookAt(second, id).problem()
				if p.Run == problem.NotRun {
					notRun = append(notRun, id)
				}
				return p.Code == problem.NoQuorum && p.Run == problem.NotRun
			})
			eventually(t, "the first zone books", func() bool {
				n++
				return bookAt(first, fmt.Sprintf("cut-%d-%d", round, n)).status == http.StatusCreated
			})
			eventually(t, "the second zone serves look-ups", func() bool { return readSlots(second, "team-1") == http.StatusOK })
			revoked := fmt.Sprintf("team-%d", 2+round)
			version := uint64(0)
			eventually(t, "the first zone reads", func() bool {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				version = versionOf(operatorCall(ctx, f, 0, http.MethodGet, "/v1/resources/team/"+revoked, ""))
				return version > 0
			})
			eventually(t, "the first zone accepts a change", func() bool {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				body := fmt.Sprintf(`{"version":%d,"spec":{"key_hashes":["%s"]}}`, version, strings.Repeat(strconv.Itoa(round), 64))
				r := operatorCall(ctx, f, 0, http.MethodPut, "/v1/resources/team/"+revoked, body, "Request-Id", revoked)
				return r.err == nil && r.status == http.StatusOK
			})
			z.heal()
			eventually(t, "the change is in force in the second zone", func() bool { return readSlots(second, revoked) == http.StatusUnauthorized })
			eventually(t, "the second zone books again", func() bool {
				n++
				return bookAt(second, fmt.Sprintf("cut-%d-%d", round, n)).status == http.StatusCreated
			})
		}
	})
	checkBookings(t, f, results)
	ran := runsByBody(t, f)
	for body, times := range ran {
		is.True(times == 1 || !strings.Contains(body, "zone"))
	}
	is.True(len(notRun) >= 2)
	for _, id := range notRun { // never sent again, so they must not have run
		is.Equal(ran[`{"zone":"`+id+`"}`], 0)
	}
}
