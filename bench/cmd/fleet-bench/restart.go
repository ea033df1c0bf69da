package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/bench/internal/measure"
	"baobabpaddle/fleet/resource"
)

// measureRestarts measures a controller's disk size and restart time against the number
// of log entries that it has applied. Snapshots truncate the log, so both should depend
// on the stored state and not on the number of entries.
func (c *commandLine) measureRestarts(ctx context.Context) error {
	const snapshotEvery = 500
	resources, err := measure.Fleet{
		Bookings:   1,
		MaxRunning: 8,
	}.Resources()
	if err != nil {
		return err
	}
	fleet, end, err := measure.StartFleet(ctx, local.Plan{
		Bin:           c.Bin,
		Controllers:   3,
		Gateways:      1,
		Resources:     resources,
		SnapshotEvery: snapshotEvery,
	})
	if err != nil {
		return err
	}
	defer end()
	if err := waitServing(ctx, fleet.Addresses.Gateways[0]); err != nil {
		return err
	}
	for _, kind := range []string{"bookings", "team_changes"} {
		done := 0
		for _, entries := range []int{0, 2000, 4000, 8000, 16000} {
			for ; done < entries; done += 64 {
				c.appendEntries(ctx, fleet, kind)
			}
			if err := restartController(ctx, fleet, kind, entries); err != nil {
				return err
			}
		}
	}
	return nil
}

// appendEntries adds 64 entries to the log: 32 bookings, each a claim and its outcome,
// or 64 changes of teams.
func (c *commandLine) appendEntries(ctx context.Context, fleet *local.Fleet, kind string) {
	var group sync.WaitGroup
	for i := range 32 {
		group.Go(func() {
			if kind == "bookings" {
				_, _, _, _ = measure.Call(ctx, http.MethodPost, "http://"+fleet.Addresses.Gateways[0]+"/booking/bookings", "{}")
				return
			}
			for range 2 {
				toggleTeam(ctx, fleet, fmt.Sprintf("busy-%d", i))
			}
		})
	}
	group.Wait()
}

// toggleTeam creates a team, or deletes it if it exists.
func toggleTeam(ctx context.Context, fleet *local.Fleet, name string) {
	token, err := os.ReadFile(filepath.Join(fleet.Plan.Folder, "token"))
	if err != nil {
		return
	}
	url := "http://" + fleet.Addresses.Controllers[0] + "/v1/resources/team/" + name
	header := []string{"Authorization", "Bearer " + string(token), "Baobab-Role", "operator", "Request-Id", rand.Text()}
	status, _, _, _ := measure.Call(ctx, http.MethodPut, url, `{"version":0,"spec":{"key_hashes":[]}}`, header...)
	if status != http.StatusConflict {
		return
	}
	present, err := currentVersion(ctx, url, header)
	if err == nil {
		_, _, _, _ = measure.Call(ctx, http.MethodDelete, fmt.Sprintf("%s?version=%d", url, present), "", header...)
	}
}

// currentVersion reads the version of a resource.
func currentVersion(ctx context.Context, url string, header []string) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, merry.Prepend(err, "read resource version")
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := measure.Client.Do(request)
	if err != nil {
		return 0, merry.Prepend(err, "read resource version")
	}
	defer response.Body.Close()
	var r resource.Resource
	return r.Version, merry.Prepend(json.NewDecoder(response.Body).Decode(&r), "read resource version")
}

// restartController kills controller 3, prints the sizes of its log and snapshot, and
// measures the time from its start until it is current with the leader.
func restartController(ctx context.Context, fleet *local.Fleet, kind string, entries int) error {
	folder := filepath.Join(fleet.Plan.Folder, "data-controller-3")
	fleet.Controllers[2].Kill()
	logBytes, snapshotBytes := fileSize(filepath.Join(folder, "log")), fileSize(filepath.Join(folder, "snapshot"))
	started := time.Now()
	p, err := fleet.StartProcess("controller-3", "controller")
	if err != nil {
		return err
	}
	fleet.Controllers[2] = p
	err = local.WaitFor(ctx, func() bool {
		v, err := measure.ReadMetric(fleet.Addresses.Admins[2], "controller_current")
		return err == nil && v == 1
	})
	if err != nil {
		return merry.Prepend(err, "controller-3 not current after its restart")
	}
	fmt.Printf("restart kind=%s entries=%d log_bytes=%d snapshot_bytes=%d until_current_ms=%d\n",
		kind, entries, logBytes, snapshotBytes, time.Since(started).Milliseconds())
	return nil
}

// fileSize returns the size of a file in bytes, or 0 if it can't be read.
func fileSize(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}
