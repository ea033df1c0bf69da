// Program fleet-bench measures real processes on loopback: what the path adds
// to a call, what claims cost, how soon changes are in force, and how restart
// time and disk size follow the number of changes. Each comparison is made in
// one run.
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

const benchTimeout = 5 * time.Minute

type commandLine struct {
	Bin  string `required:"" type:"path" help:"Folder with the programs."`
	Only string `enum:",path,claims,in_force,restart" default:"" help:"Only this part: path, claims, in_force or restart."`
}

// Run runs every measurement.
func (c *commandLine) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	for _, part := range []struct {
		name string
		run  func(context.Context) error
	}{
		{
			name: "path",
			run:  c.path,
		},
		{
			name: "claims",
			run:  c.claims,
		},
		{
			name: "in_force",
			run:  c.inForce,
		},
		{
			name: "restart",
			run:  c.restart,
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

// ready waits until a service answers through the gateway.
func ready(ctx context.Context, gateway string) error {
	return local.WaitFor(ctx, func() bool {
		status, _, _, err := measure.Call(ctx, http.MethodGet, "http://"+gateway+"/booking/slots", "")
		return err == nil && status == http.StatusOK
	})
}

// path compares streams and look-ups through the fleet with the same directly
// at the stand-in, in turns.
func (c *commandLine) path(ctx context.Context) error {
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
	if err := ready(ctx, fleet.Addresses.Gateways[0]); err != nil {
		return err
	}
	chat := `{"model":"model","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`
	if err := c.compare(ctx, "chat", 400, chat,
		http.MethodPost, measure.UpstreamURL(resources, "llm-0")+"/v1/chat/completions", gateway+"/v1/chat/completions"); err != nil {
		return err
	}
	return c.compare(ctx, "lookup", 400, "",
		http.MethodGet, measure.UpstreamURL(resources, "booking-0")+"/slots", gateway+"/booking/slots")
}

func (c *commandLine) compare(ctx context.Context, name string, n int, body, method, direct, routed string) error {
	var a, b []time.Duration
	for range n {
		_, first, _, err := measure.Call(ctx, method, direct, body)
		if err != nil {
			return err
		}
		a = append(a, first)
		_, first, _, err = measure.Call(ctx, method, routed, body)
		if err != nil {
			return err
		}
		b = append(b, first)
	}
	for _, p := range []float64{0.5, 0.95} {
		x, y := measure.Percentile(a, p), measure.Percentile(b, p)
		fmt.Printf("path=%s percentile=%.0f direct_first_byte_us=%d routed_first_byte_us=%d ratio=%.2f added_us=%d\n",
			name, 100*p, x.Microseconds(), y.Microseconds(), float64(y)/float64(x), (y - x).Microseconds())
	}
	return nil
}

// inForce measures the time from the acceptance of a change to its being in
// force at every gateway, and the bytes that a change costs a node's link.
func (c *commandLine) inForce(ctx context.Context) error {
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
		// The service's presence under a name shows whether the change holds.
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
			if err := local.WaitFor(ctx, func() bool { return has(ctx, g) == (name == "renamed") }); err != nil {
				return err
			}
		}
		times = append(times, time.Since(accepted))
	}
	fmt.Printf("in_force gateways=%d changes=%d p50_ms=%d worst_ms=%d poll_ms=50\n", gateways, changes,
		measure.Percentile(times, 0.5).Milliseconds(), measure.Percentile(times, 1).Milliseconds())
	return nil
}

// has reports whether a gateway knows the service "renamed": it is refused for
// want of an upstream, and not as unknown.
func has(ctx context.Context, gateway string) bool {
	status, _, _, err := measure.Call(ctx, http.MethodGet, "http://"+gateway+"/renamed/x", "")
	return err == nil && status == http.StatusServiceUnavailable
}

func main() {
	program.Run("fleet-bench", "Measures real processes on loopback.", &commandLine{})
}
