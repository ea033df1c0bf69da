package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/bench/internal/measure"
)

// claims compares bookings with and without claims, and with group commit on
// and off.
func (c *commandLine) claims(ctx context.Context) error {
	for _, variant := range []struct {
		name       string
		repeatable bool
		noGroups   bool
	}{
		{
			name:       "none",
			repeatable: true,
		},
		{
			name: "grouped",
		},
		{
			name:     "single",
			noGroups: true,
		},
	} {
		if err := c.bookings(ctx, variant.name, variant.repeatable, variant.noGroups); err != nil {
			return err
		}
	}
	return nil
}

func (c *commandLine) bookings(ctx context.Context, name string, repeatable, noGroups bool) error {
	resources, err := measure.Fleet{
		Bookings:           2,
		MaxRunning:         64,
		IdempotentBookings: repeatable,
	}.Resources()
	if err != nil {
		return err
	}
	fleet, end, err := measure.StartFleet(ctx, local.Plan{
		Bin:                c.Bin,
		Controllers:        3,
		Gateways:           2,
		Resources:          resources,
		BookingWork:        time.Millisecond,
		DisableGroupCommit: noGroups,
	})
	if err != nil {
		return err
	}
	defer end()
	for _, g := range fleet.Addresses.Gateways {
		if err := ready(ctx, g); err != nil {
			return err
		}
	}
	for _, callers := range []int{1, 32} {
		if err := book(ctx, fleet, name, callers); err != nil {
			return err
		}
	}
	return nil
}

func book(ctx context.Context, fleet *local.Fleet, name string, callers int) error {
	const duration = 4 * time.Second
	var mu sync.Mutex
	var times []time.Duration
	failed := 0
	started := time.Now()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			url := "http://" + fleet.Addresses.Gateways[i%2] + "/booking/bookings"
			for time.Since(started) < duration {
				status, _, whole, err := measure.Call(ctx, http.MethodPost, url, "{}")
				mu.Lock()
				if err == nil && status == http.StatusCreated {
					times = append(times, whole)
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	fmt.Printf("claims=%s callers=%d bookings_per_s=%.0f p50_us=%d p95_us=%d failed=%d\n", name, callers,
		float64(len(times))/duration.Seconds(), measure.Percentile(times, 0.5).Microseconds(),
		measure.Percentile(times, 0.95).Microseconds(), failed)
	return nil
}
