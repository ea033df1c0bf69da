package main

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/bench/internal/measure"
)

const (
	watchFor = 5 * time.Second
)

// group is the processes of one role.
type group []*local.Process

func (g group) usage() (measure.Usage, error) {
	var sum measure.Usage
	for _, p := range g {
		u, err := measure.ReadUsage(p.PID())
		if err != nil {
			return sum, err
		}
		sum.CPU += u.CPU
		sum.Memory += u.Memory
	}
	return sum, nil
}

// fleetOf starts a fleet with so many gateways and upstreams.
func (c *commandLine) fleetOf(ctx context.Context, gateways, upstreams int) (*local.Fleet, func(), error) {
	resources, err := measure.Fleet{
		Engines:    upstreams / 2,
		Bookings:   upstreams / 2,
		MaxRunning: 64,
	}.Resources()
	if err != nil {
		return nil, nil, err
	}
	fleet, end, err := measure.StartFleet(ctx, local.Plan{
		Bin:             c.Bin,
		Controllers:     3,
		Gateways:        gateways,
		Resources:       resources,
		TokensPerSecond: 1000,
		BookingWork:     time.Millisecond,
		TLS:             true,
	})
	if err != nil {
		return nil, nil, err
	}
	err = local.WaitFor(ctx, func() bool {
		status, _, _, err := measure.Call(ctx, http.MethodGet, "http://"+fleet.Addresses.Gateways[0]+"/booking/slots", "")
		return err == nil && status == http.StatusOK
	})
	if err != nil {
		end()
		return nil, nil, err
	}
	return fleet, end, nil
}

func sidecars(f *local.Fleet) group {
	var out group
	for _, p := range f.Sidecars {
		out = append(out, p)
	}
	return out
}

// idle is what an idle fleet uses per second.
type idle struct {
	controllers, gateways, sidecars float64 // microseconds of processor time
	links                           float64 // bytes of all controllers' links
	memory                          [3]float64
}

// processes prints the slopes of the real programs. What grows with links is
// told from what grows with processes by fleets that differ in one number.
func (c *commandLine) processes(ctx context.Context) error {
	small, err := c.idle(ctx, 2, 2)
	if err != nil {
		return err
	}
	wide, err := c.idle(ctx, 2, 18)
	if err != nil {
		return err
	}
	busy, err := c.idle(ctx, 18, 2)
	if err != nil {
		return err
	}
	const more, peers = 16, 2
	slope("controller", "replica", "idle_us_per_s", small.controllers/3)
	slope("controller", "node", "idle_us_per_s", (wide.controllers-small.controllers)/more)
	slope("controller", "node", "idle_bytes_per_s", (wide.links-small.links)/more)
	gatewayLink := (wide.gateways - small.gateways) / (more * peers)
	sidecarLink := (busy.sidecars - small.sidecars) / (more * peers)
	slope("gateway", "link", "idle_us_per_s", gatewayLink)
	slope("sidecar", "link", "idle_us_per_s", sidecarLink)
	slope("gateway", "process", "idle_us_per_s", small.gateways/peers-2*gatewayLink)
	slope("sidecar", "process", "idle_us_per_s", small.sidecars/peers-2*sidecarLink)
	slope("gateway", "link", "resident_bytes", (wide.memory[1]-small.memory[1])/more)
	slope("sidecar", "link", "resident_bytes", (busy.memory[2]-small.memory[2])/more)
	slope("controller", "node", "resident_bytes", (wide.memory[0]-small.memory[0])/more)
	for i, role := range []string{"controller", "gateway", "sidecar"} {
		slope(role, "process", "resident_bytes", small.memory[i])
	}
	return c.busy(ctx)
}

func (c *commandLine) idle(ctx context.Context, gateways, upstreams int) (idle, error) {
	f, end, err := c.fleetOf(ctx, gateways, upstreams)
	if err != nil {
		return idle{}, err
	}
	defer end()
	time.Sleep(3 * time.Second)
	groups := []group{f.Controllers, f.Gateways, sidecars(f)}
	var before, after [3]measure.Usage
	bytes := func() (sum float64) {
		for _, a := range f.Addresses.Admins {
			in, _ := measure.ReadMetric(a, "link_bytes_in")
			out, _ := measure.ReadMetric(a, "link_bytes_out")
			sum += in + out
		}
		return sum
	}
	links := bytes()
	for i, g := range groups {
		if before[i], err = g.usage(); err != nil {
			return idle{}, err
		}
	}
	time.Sleep(watchFor)
	for i, g := range groups {
		if after[i], err = g.usage(); err != nil {
			return idle{}, err
		}
	}
	used := func(i int) float64 {
		return float64((after[i].CPU - before[i].CPU).Microseconds()) / watchFor.Seconds()
	}
	out := idle{
		controllers: used(0),
		gateways:    used(1),
		sidecars:    used(2),
		links:       (bytes() - links) / watchFor.Seconds(),
	}
	for i, g := range groups {
		out.memory[i] = float64(after[i].Memory) / float64(len(g))
	}
	return out, nil
}

// busy prints what one request costs each role, whole path and data included.
func (c *commandLine) busy(ctx context.Context) error {
	f, end, err := c.fleetOf(ctx, 2, 4)
	if err != nil {
		return err
	}
	defer end()
	chat := `{"model":"model","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"x"}]}`
	for _, kind := range []struct {
		name, method, path, body string
	}{
		{
			name:   "chat_100_tokens",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			body:   chat,
		},
		{
			name:   "lookup",
			method: http.MethodGet,
			path:   "/booking/slots",
		},
		{
			name:   "booking",
			method: http.MethodPost,
			path:   "/booking/bookings",
			body:   "{}",
		},
	} {
		if err := c.perRequest(ctx, f, kind.name, kind.method, kind.path, kind.body); err != nil {
			return err
		}
	}
	return nil
}

func (c *commandLine) perRequest(ctx context.Context, f *local.Fleet, name, method, path, body string) error {
	groups := []group{f.Controllers, f.Gateways, sidecars(f)}
	var before [3]measure.Usage
	var err error
	for i, g := range groups {
		if before[i], err = g.usage(); err != nil {
			return err
		}
	}
	const callers = 16
	var done atomic.Int64
	started := time.Now()
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			for time.Since(started) < watchFor {
				status, _, _, err := measure.Call(ctx, method, "http://"+f.Addresses.Gateways[i%2]+path, body)
				if err == nil && status < http.StatusMultipleChoices {
					done.Add(1)
				}
			}
		})
	}
	wait.Wait()
	for i, role := range []string{"controller", "gateway", "sidecar"} {
		after, err := groups[i].usage()
		if err != nil {
			return err
		}
		slope(role, name, "us", float64((after.CPU-before[i].CPU).Microseconds())/float64(done.Load()))
	}
	return nil
}
