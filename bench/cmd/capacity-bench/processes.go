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
	// sampleTime is the duration of each measurement of processor time and links.
	sampleTime = 5 * time.Second
)

// processGroup is the processes of one role.
type processGroup []*local.Process

// usage returns the sum of the processes' usage so far.
func (g processGroup) usage() (measure.Usage, error) {
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

// startFleet starts a fleet with the given numbers of gateways and upstreams, half of
// them engines, and waits until the booking service answers. It returns how to stop it.
func (c *commandLine) startFleet(ctx context.Context, gateways, upstreams int) (*local.Fleet, func(), error) {
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

// sidecarGroup returns the fleet's sidecars.
func sidecarGroup(f *local.Fleet) processGroup {
	var out processGroup
	for _, p := range f.Sidecars {
		out = append(out, p)
	}
	return out
}

// idleUsage is what an idle fleet uses per second, summed over the processes of a role.
type idleUsage struct {
	controllers, gateways, sidecars float64    // microseconds of processor time
	linkBytes                       float64    // bytes of all controllers' links
	memory                          [3]float64 // resident bytes of a controller, gateway and sidecar on average
}

// measureProcesses prints the costs of the real programs. It separates the cost per link
// from the cost per process by comparing fleets that differ only in the number of
// gateways or of sidecars.
func (c *commandLine) measureProcesses(ctx context.Context) error {
	base, err := c.measureIdle(ctx, 2, 2)
	if err != nil {
		return err
	}
	manySidecars, err := c.measureIdle(ctx, 2, 18)
	if err != nil {
		return err
	}
	manyGateways, err := c.measureIdle(ctx, 18, 2)
	if err != nil {
		return err
	}
	// The larger fleets have 16 more sidecars or gateways; each of these has 2 peers of
	// the other role, and so 2 links.
	const more, peers = 16, 2
	printSlope("controller", "replica", "idle_us_per_s", base.controllers/3)
	printSlope("controller", "node", "idle_us_per_s", (manySidecars.controllers-base.controllers)/more)
	printSlope("controller", "node", "idle_bytes_per_s", (manySidecars.linkBytes-base.linkBytes)/more)
	gatewayLink := (manySidecars.gateways - base.gateways) / (more * peers)
	sidecarLink := (manyGateways.sidecars - base.sidecars) / (more * peers)
	printSlope("gateway", "link", "idle_us_per_s", gatewayLink)
	printSlope("sidecar", "link", "idle_us_per_s", sidecarLink)
	printSlope("gateway", "process", "idle_us_per_s", base.gateways/peers-2*gatewayLink)
	printSlope("sidecar", "process", "idle_us_per_s", base.sidecars/peers-2*sidecarLink)
	printSlope("gateway", "link", "resident_bytes", (manySidecars.memory[1]-base.memory[1])/more)
	printSlope("sidecar", "link", "resident_bytes", (manyGateways.memory[2]-base.memory[2])/more)
	printSlope("controller", "node", "resident_bytes", (manySidecars.memory[0]-base.memory[0])/more)
	for i, role := range []string{"controller", "gateway", "sidecar"} {
		printSlope(role, "process", "resident_bytes", base.memory[i])
	}
	return c.measureRequests(ctx)
}

// measureIdle measures a fleet without requests for sampleTime.
func (c *commandLine) measureIdle(ctx context.Context, gateways, upstreams int) (idleUsage, error) {
	f, end, err := c.startFleet(ctx, gateways, upstreams)
	if err != nil {
		return idleUsage{}, err
	}
	defer end()
	time.Sleep(3 * time.Second)
	groups := []processGroup{f.Controllers, f.Gateways, sidecarGroup(f)}
	var before, after [3]measure.Usage
	totalLinkBytes := func() (sum float64) {
		for _, a := range f.Addresses.Admins {
			in, _ := measure.ReadMetric(a, "link_bytes_in")
			out, _ := measure.ReadMetric(a, "link_bytes_out")
			sum += in + out
		}
		return sum
	}
	bytesBefore := totalLinkBytes()
	for i, g := range groups {
		if before[i], err = g.usage(); err != nil {
			return idleUsage{}, err
		}
	}
	time.Sleep(sampleTime)
	for i, g := range groups {
		if after[i], err = g.usage(); err != nil {
			return idleUsage{}, err
		}
	}
	used := func(i int) float64 {
		return float64((after[i].CPU - before[i].CPU).Microseconds()) / sampleTime.Seconds()
	}
	out := idleUsage{
		controllers: used(0),
		gateways:    used(1),
		sidecars:    used(2),
		linkBytes:   (totalLinkBytes() - bytesBefore) / sampleTime.Seconds(),
	}
	for i, g := range groups {
		out.memory[i] = float64(after[i].Memory) / float64(len(g))
	}
	return out, nil
}

// measureRequests prints the processor time that each role spends on a request of each
// kind. It covers the whole path, with the forwarding of bodies and streams.
func (c *commandLine) measureRequests(ctx context.Context) error {
	f, end, err := c.startFleet(ctx, 2, 4)
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
		if err := c.measureRequest(ctx, f, kind.name, kind.method, kind.path, kind.body); err != nil {
			return err
		}
	}
	return nil
}

// measureRequest keeps 16 callers sending a request for sampleTime and prints each role's
// processor time per successful request.
func (c *commandLine) measureRequest(ctx context.Context, f *local.Fleet, name, method, path, body string) error {
	groups := []processGroup{f.Controllers, f.Gateways, sidecarGroup(f)}
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
			for time.Since(started) < sampleTime {
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
		printSlope(role, name, "us", float64((after.CPU-before[i].CPU).Microseconds())/float64(done.Load()))
	}
	return nil
}
