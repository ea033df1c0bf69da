package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
)

// bookingResult is the last outcome that a caller was told for its booking.
type bookingResult struct {
	body   string
	booked bool
	notRun bool // the last answer said that it was not run
}

// book sends a booking, always with the same idempotency key, until it is booked, its
// outcome is reported unknown or no longer stored, or the context ends.
func book(ctx context.Context, gateways []string, id string) bookingResult {
	out := bookingResult{
		body: `{"booking":"` + id + `"}`,
	}
	for i := 0; ctx.Err() == nil; i++ {
		r := call(ctx, http.MethodPost, "http://"+gateways[i%len(gateways)]+"/booking/bookings", "team-0", out.body,
			"Idempotency-Key", id, "Content-Type", "application/json")
		p := r.problem()
		out.notRun = false
		switch {
		case r.err == nil && r.status == http.StatusCreated:
			out.booked = true
			return out
		case p.Code == problem.OutcomeUnknown, p.Code == problem.AnswerNotKept:
			return out
		case r.err == nil && p.Run == problem.NotRun:
			out.notRun = true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return out
}

// checkBookings compares the results that callers were told with the runs that the
// stand-ins recorded: no booking ran twice, a booked one ran once, and one last
// reported not_run did not run.
func checkBookings(t *testing.T, f *local.Fleet, results []bookingResult) {
	t.Helper()
	ran := runsByBody(t, f)
	booked, notBooked := 0, 0
	for _, x := range results {
		n := ran[x.body]
		switch {
		case n > 1:
			t.Errorf("%s ran %d times", x.body, n)
		case x.booked && n != 1:
			t.Errorf("%s was answered as booked and ran %d times", x.body, n)
		case x.notRun && n != 0:
			t.Errorf("%s was last reported not_run and ran", x.body)
		}
		if x.booked {
			booked++
		} else {
			notBooked++
		}
	}
	t.Logf("bookings=%d booked=%d not_booked=%d", len(results), booked, notBooked)
	if booked == 0 {
		t.Error("nothing was booked")
	}
}

// bookDuring keeps the given number of callers booking until injectFaults returns and
// the bookings in flight have ended. It returns the result of each booking.
func bookDuring(t *testing.T, f *local.Fleet, callers int, injectFaults func()) []bookingResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var stop atomic.Bool
	var mu sync.Mutex
	var results []bookingResult
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for i := 0; !stop.Load(); i++ {
				x := book(ctx, f.Addresses.Gateways, fmt.Sprintf("%s-%d-%d", t.Name(), c, i))
				mu.Lock()
				results = append(results, x)
				mu.Unlock()
			}
		})
	}
	injectFaults()
	stop.Store(true)
	group.Wait()
	return results
}

// startBookingFleet starts a fleet with two booking upstreams, each on its own host,
// whose bookings take 20 ms.
func startBookingFleet(t *testing.T) *local.Fleet {
	t.Helper()
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			bookings:   2,
			maxRunning: 4,
		}),
		BookingWork: 20 * time.Millisecond,
	})
	waitServing(t, f)
	return f
}

// TestBookingsRunOnceUnderKills kills sidecars, gateways and controllers while callers
// book, and restarts them. A retry after a crash must not run a booking twice.
func TestBookingsRunOnceUnderKills(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startBookingFleet(t)
	results := bookDuring(t, f, 6, func() {
		for round := range 3 {
			time.Sleep(500 * time.Millisecond)
			address := upstreamOf(t, f, fmt.Sprintf("booking-%d", round%2)).Sidecar
			f.Sidecars[address].Kill()
			time.Sleep(200 * time.Millisecond)
			is.NoErr(f.StartSidecar(address))
			f.Gateways[round%2].Kill()
			time.Sleep(200 * time.Millisecond)
			is.NoErr(f.StartGateway(round % 2))
			f.Controllers[round].Kill()
			time.Sleep(200 * time.Millisecond)
			p, err := f.StartProcess(fmt.Sprintf("controller-%d", round+1), "controller")
			is.NoErr(err)
			f.Controllers[round] = p
			time.Sleep(2 * time.Second)
		}
	})
	checkBookings(t, f, results)
}

// TestDrainLosesNoBooking restarts the sidecars with SIGTERM, one after the other,
// while callers book. A drain must not lose a booking that was granted: every booking
// succeeds and none has an unknown outcome.
func TestDrainLosesNoBooking(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startBookingFleet(t)
	results := bookDuring(t, f, 6, func() {
		for i := range 2 {
			time.Sleep(500 * time.Millisecond)
			address := upstreamOf(t, f, fmt.Sprintf("booking-%d", i)).Sidecar
			// Claims wait while the leader is frozen. Granted requests then reach
			// the sidecar while it drains.
			leader := f.Controllers[leaderOf(t, f)]
			is.NoErr(leader.Signal(syscall.SIGSTOP))
			time.Sleep(300 * time.Millisecond)
			is.NoErr(f.Sidecars[address].Signal(syscall.SIGTERM))
			time.Sleep(500 * time.Millisecond)
			is.NoErr(leader.Signal(syscall.SIGCONT))
			<-f.Sidecars[address].Done()
			_, err := f.Sidecars[address].Exited()
			is.NoErr(err)
			is.NoErr(f.StartSidecar(address))
			time.Sleep(time.Second)
		}
	})
	checkBookings(t, f, results)
	for _, x := range results {
		if !x.booked {
			t.Errorf("%s was not booked", x.body)
		}
	}
}

// TestBookingsRunOnceUnderFreezes stops a sidecar, the leading controller and a
// gateway with SIGSTOP for longer than every deadline. Delayed copies of requests
// arrive when they continue and must not run a booking twice.
func TestBookingsRunOnceUnderFreezes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startBookingFleet(t)
	freeze := func(p *local.Process, d time.Duration) {
		is.NoErr(p.Signal(syscall.SIGSTOP))
		time.Sleep(d)
		is.NoErr(p.Signal(syscall.SIGCONT))
		time.Sleep(time.Second)
	}
	results := bookDuring(t, f, 6, func() {
		time.Sleep(300 * time.Millisecond)
		freeze(f.Sidecars[upstreamOf(t, f, "booking-0").Sidecar], 5*time.Second)
		freeze(f.Controllers[leaderOf(t, f)], 4*time.Second)
		freeze(f.Gateways[0], 4*time.Second)
	})
	checkBookings(t, f, results)
}

// TestSilentConnectionsAreReplaced blackholes every connection between the gateways
// and the sidecars while answers stream and bookings run, as when a proxy on the path
// loses its connection state. Each stream must resume where it stopped and end
// complete, and no booking may run twice.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	resources := resourcesFor(t, upstreams{
		engines:    1,
		bookings:   1,
		maxRunning: 16,
	})
	plan := local.Plan{
		Resources:   resources,
		BookingWork: 20 * time.Millisecond,
		Listen:      make(map[string]string),
	}
	var relays []*relay
	for _, r := range resources {
		if r.Kind != resource.KindUpstream {
			continue
		}
		u := upstreamOf(t, &local.Fleet{
			Plan: plan,
		}, r.Name)
		plan.Listen[u.Sidecar] = freeAddress(t)
		relays = append(relays, newRelay(t, u.Sidecar, plan.Listen[u.Sidecar]))
	}
	f := startFleet(t, plan)
	waitServing(t, f)
	const streams, tokens = 8, 600
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	wait := startStreams(ctx, t, f, streams, tokens)
	results := bookDuring(t, f, 4, func() {
		eventually(t, "streams begin", func() bool { return requestsServed(t, f, "llm-0") == streams })
		for range 2 {
			time.Sleep(500 * time.Millisecond)
			for _, r := range relays {
				r.blackholeAll()
			}
			time.Sleep(5 * time.Second)
		}
	})
	wait()
	checkBookings(t, f, results)
}

// TestBookingsWithoutQuorumAreRefused kills two of three controllers. Bookings need a
// claim in the replicated state, so they are refused as not run and none runs.
// Requests that need no claim are still served.
func TestBookingsWithoutQuorumAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			engines:    1,
			bookings:   1,
			maxRunning: 4,
		}),
	})
	waitServing(t, f)
	// Without a quorum a gateway can't learn of sidecars, so it must know the
	// engine's first.
	eventually(t, "the engine", func() bool {
		return checkChat(chat(t.Context(), f.Addresses.Gateways[0], "team-0", "before", 5), "before", 5) == nil
	})
	f.Controllers[0].Kill()
	f.Controllers[1].Kill()
	r := call(t.Context(), http.MethodPost, "http://"+f.Addresses.Gateways[0]+"/booking/bookings", "team-0", "{}")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.problem().Run, problem.NotRun)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(runsByBody(t, f)), 0)
	is.NoErr(checkChat(chat(t.Context(), f.Addresses.Gateways[0], "team-0", "still", 5), "still", 5))
	is.Equal(call(t.Context(), http.MethodGet, "http://"+f.Addresses.Gateways[0]+"/booking/slots", "team-0", "").status, http.StatusOK)
}

// TestBookingOutcomeAndReplay reads the recorded outcome of a booking, repeats the
// booking, which replays the stored answer, and reuses its idempotency key for another
// body, which is refused. Keys and outcomes are separate for each team.
func TestBookingOutcomeAndReplay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			bookings:   1,
			maxRunning: 4,
		}),
	})
	waitServing(t, f)
	url := "http://" + f.Addresses.Gateways[0] + "/booking/bookings"
	first := call(t.Context(), http.MethodPost, url, "team-0", `{"a":1}`, "Idempotency-Key", "k1")
	is.Equal(first.status, http.StatusCreated)
	id := first.header.Get("Baobab-Request-Id")
	is.Equal(id, "booking:k1")
	eventually(t, "recorded", func() bool {
		r := call(t.Context(), http.MethodGet, "http://"+f.Addresses.Gateways[1]+"/v1/requests/"+id, "team-0", "")
		return r.status == http.StatusOK && string(r.body) != "" && contains(r.body, `"run":"done"`)
	})
	again := call(t.Context(), http.MethodPost, url, "team-0", `{"a":1}`, "Idempotency-Key", "k1")
	is.Equal(again.status, http.StatusCreated)
	is.Equal(string(again.body), string(first.body))
	is.Equal(again.header.Get("Idempotent-Replay"), "true")
	other := call(t.Context(), http.MethodPost, url, "team-0", `{"a":2}`, "Idempotency-Key", "k1")
	is.Equal(other.problem().Code, problem.KeyReused)
	// The same key of another team is independent.
	is.Equal(call(t.Context(), http.MethodPost, url, "team-1", `{"a":2}`, "Idempotency-Key", "k1").status, http.StatusCreated)
	is.Equal(call(t.Context(), http.MethodGet, "http://"+f.Addresses.Gateways[1]+"/v1/requests/"+id, "team-2", "").status, http.StatusNotFound)
	is.Equal(len(runsByBody(t, f)), 2)
}

// TestConcurrentRetriesRunOnce sends one booking 20 times concurrently with one
// idempotency key. It runs once and every caller receives its answer.
func TestConcurrentRetriesRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			bookings:   2,
			maxRunning: 8,
		}),
		BookingWork: 200 * time.Millisecond,
	})
	waitServing(t, f)
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			r := call(t.Context(), http.MethodPost, "http://"+f.Addresses.Gateways[i%2]+"/booking/bookings", "team-0", `{"one":true}`,
				"Idempotency-Key", "same")
			if r.status != http.StatusCreated {
				t.Errorf("status %d: %s", r.status, r.body)
			}
		})
	}
	group.Wait()
	is.Equal(runsByBody(t, f)[`{"one":true}`], 1)
}

// TestInterruptedReadIsReportedUnknown kills the only upstream while it runs a
// look-up. The gateway's retries are not run, but the first try was, so the caller must
// be told that the outcome is unknown and not that nothing ran.
func TestInterruptedReadIsReportedUnknown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, local.Plan{
		Resources: resourcesFor(t, upstreams{
			bookings:   1,
			maxRunning: 4,
		}),
		BookingWork: 3 * time.Second,
	})
	waitServing(t, f)
	answered := make(chan reply, 1)
	go func() {
		answered <- call(t.Context(), http.MethodGet, "http://"+f.Addresses.Gateways[0]+"/booking/slots", "team-0", "")
	}()
	time.Sleep(time.Second)
	f.Standins["booking-0"].Kill()
	r := <-answered
	is.NoErr(r.err)
	is.True(r.status >= http.StatusInternalServerError)
	is.Equal(r.problem().Run, problem.RunUnknown)
}
