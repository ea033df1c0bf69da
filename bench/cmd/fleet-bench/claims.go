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

// compareClaims measures bookings without a claim, with a claim and group commit, and
// with a claim and without group commit. A claim is the replicated record that keeps a
// booking from running twice; group commit writes several records with one disk flush.
func (c *commandLine) compareClaims(ctx context.Context) error {
	for _, variant := range []struct {
		name          string
		idempotent    bool
		noGroupCommit bool
	}{
		{
			name:       "none",
			idempotent: true,
		},
		{
			name: "grouped",
		},
		{
			name:          "single",
			noGroupCommit: true,
		},
	} {
		if err := c.compareBookings(ctx, variant.name, variant.idempotent, variant.noGroupCommit); err != nil {
			return err
		}
	}
	return nil
}

// compareBookings starts a fleet and measures bookings with one and with 32 callers.
// Idempotent bookings need no claim.
func (c *commandLine) compareBookings(ctx context.Context, name string, idempotent, noGroupCommit bool) error {
	resources, err := measure.Fleet{
		Bookings:           2,
		MaxRunning:         64,
		IdempotentBookings: idempotent,
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
		DisableGroupCommit: noGroupCommit,
	})
	if err != nil {
		return err
	}
	defer end()
	for _, g := range fleet.Addresses.Gateways {
		if err := waitServing(ctx, g); err != nil {
			return err
		}
	}
	for _, callers := range []int{1, 32} {
		if err := measureBookings(ctx, fleet, name, callers); err != nil {
			return err
		}
	}
	return nil
}

// measureBookings prints the rate and the latency of bookings that each caller sends one
// after the other for a fixed time.
func measureBookings(ctx context.Context, fleet *local.Fleet, name string, callers int) error {
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
