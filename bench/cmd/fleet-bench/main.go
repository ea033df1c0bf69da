// Program fleet-bench measures a fleet of real processes on loopback: the latency that
// gateway and sidecar add to a call, the cost of claims, the delay until a change is in
// force, and restart time and disk size against the number of changes. What is compared
// is measured within one run.
package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/bench/internal/measure"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/resource"
)

// benchTimeout limits all measurements together.
const benchTimeout = 5 * time.Minute

type commandLine struct {
	Bin  string `required:"" type:"path" help:"Folder with the programs."`
	Only string `enum:",path,claims,in_force,restart" default:"" help:"Only this part: path, claims, in_force or restart."`
}

// Run runs the selected measurement, or all of them.
func (c *commandLine) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	for _, part := range []struct {
		name string
		run  func(context.Context) error
	}{
		{
			name: "path",
			run:  c.comparePath,
		},
		{
			name: "claims",
			run:  c.compareClaims,
		},
		{
			name: "in_force",
			run:  c.measureChangeDelay,
		},
		{
			name: "restart",
			run:  c.measureRestarts,
		},
	} {
		if c.Only != "" && c.Only != part.name {
			continue
		}
		if err := part.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitServing waits until the booking service answers through the gateway.
func waitServing(ctx context.Context, gateway string) error {
	return local.WaitFor(ctx, func() bool {
		status, _, _, err := measure.Call(ctx, http.MethodGet, "http://"+gateway+"/booking/slots", "")
		return err == nil && status == http.StatusOK
	})
}

// comparePath compares the time to the first byte of streams and look-ups through the
// fleet with that of the same requests sent directly to the stand-in.
func (c *commandLine) comparePath(ctx context.Context) error {
	resources, err := measure.Fleet{
		Engines:    1,
		Bookings:   1,
		MaxRunning: 64,
	}.Resources()
	if err != nil {
		return err
	}
	fleet, end, err := measure.StartFleet(ctx, local.Plan{
		Bin:             c.Bin,
		Controllers:     3,
		Gateways:        1,
		Resources:       resources,
		TokensPerSecond: 1000,
		BookingWork:     5 * time.Millisecond,
		TLS:             true,
	})
	if err != nil {
		return err
	}
	defer end()
	gateway := "http://" + fleet.Addresses.Gateways[0]
	if err := waitServing(ctx, fleet.Addresses.Gateways[0]); err != nil {
		return err
	}
	chat := `{"model":"model","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`
	if err := c.compareFirstByte(ctx, "chat", 400, chat,
		http.MethodPost, measure.UpstreamURL(resources, "llm-0")+"/v1/chat/completions", gateway+"/v1/chat/completions"); err != nil {
		return err
	}
	return c.compareFirstByte(ctx, "lookup", 400, "",
		http.MethodGet, measure.UpstreamURL(resources, "booking-0")+"/slots", gateway+"/booking/slots")
}

// compareFirstByte sends a request n times to the direct and the routed URL, in turns so
// that load on the machine affects both, and prints percentiles of the time to the first
// byte of the body.
func (c *commandLine) compareFirstByte(ctx context.Context, name string, n int, body, method, direct, routed string) error {
	var directTimes, routedTimes []time.Duration
	for range n {
		_, first, _, err := measure.Call(ctx, method, direct, body)
		if err != nil {
			return err
		}
		directTimes = append(directTimes, first)
		_, first, _, err = measure.Call(ctx, method, routed, body)
		if err != nil {
			return err
		}
		routedTimes = append(routedTimes, first)
	}
	for _, p := range []float64{0.5, 0.95} {
		directTime, routedTime := measure.Percentile(directTimes, p), measure.Percentile(routedTimes, p)
		fmt.Printf("path=%s percentile=%.0f direct_first_byte_us=%d routed_first_byte_us=%d ratio=%.2f added_us=%d\n",
			name, 100*p, directTime.Microseconds(), routedTime.Microseconds(), float64(routedTime)/float64(directTime),
			(routedTime - directTime).Microseconds())
	}
	return nil
}

// measureChangeDelay prints the time from the acceptance of a change until it is in
// force at every gateway. WaitFor polls every 50 ms, which limits the resolution.
func (c *commandLine) measureChangeDelay(ctx context.Context) error {
	const gateways, changes = 5, 20
	resources, err := measure.Fleet{
		Bookings:   1,
		MaxRunning: 8,
	}.Resources()
	if err != nil {
		return err
	}
	fleet, end, err := measure.StartFleet(ctx, local.Plan{
		Bin:         c.Bin,
		Controllers: 3,
		Gateways:    gateways,
		Resources:   resources,
	})
	if err != nil {
		return err
	}
	defer end()
	var times []time.Duration
	for i := range changes {
		name := "booking"
		if i%2 == 0 {
			name = "renamed"
		}
		// The changes alternately create and delete the service "renamed", whose
		// presence at a gateway shows that the change is in force there.
		service, err := measure.NewResource(resource.KindService, "renamed", resource.Service{
			Type: resource.ServicePlain,
		})
		if err != nil {
			return err
		}
		if name == "renamed" {
			err = fleet.Apply(ctx, []resource.Resource{service})
		} else {
			_, err = fleet.Ctl("delete", "service", "renamed")
		}
		if err != nil {
			return err
		}
		accepted := time.Now()
		for _, g := range fleet.Addresses.Gateways {
			if err := local.WaitFor(ctx, func() bool { return knowsRenamed(ctx, g) == (name == "renamed") }); err != nil {
				return err
			}
		}
		times = append(times, time.Since(accepted))
	}
	fmt.Printf("in_force gateways=%d changes=%d p50_ms=%d worst_ms=%d poll_ms=50\n", gateways, changes,
		measure.Percentile(times, 0.5).Milliseconds(), measure.Percentile(times, 1).Milliseconds())
	return nil
}

// knowsRenamed reports whether a gateway knows the service "renamed": it then answers
// 503, since the service has no upstream, and not 404.
func knowsRenamed(ctx context.Context, gateway string) bool {
	status, _, _, err := measure.Call(ctx, http.MethodGet, "http://"+gateway+"/renamed/x", "")
	return err == nil && status == http.StatusServiceUnavailable
}

func main() {
	program.Run("fleet-bench", "Measures real processes on loopback.", &commandLine{})
}
