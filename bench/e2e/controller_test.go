package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
)

// operatorCall calls a controller's operator API with the fleet's operator token.
func operatorCall(ctx context.Context, f *local.Fleet, controller int, method, path, body string, header ...string) reply {
	token, _ := os.ReadFile(filepath.Join(f.Plan.Folder, "token"))
	header = append(header, "Authorization", "Bearer "+string(token), "Baobab-Role", "operator")
	return call(ctx, method, "http://"+f.Addresses.Controllers[controller]+path, "", body, header...)
}

// controllerStatus is the part of a controller's status that the tests read.
type controllerStatus struct {
	ReplicaID uint64 `json:"replica_id"`
	Role      string `json:"role"`
	Revision  uint64 `json:"revision"`
	LogBytes  int64  `json:"log_bytes"`
	Disks     int    `json:"disks"`
	Members   struct {
		List []struct {
			ID    uint64 `json:"id"`
			Voter bool   `json:"voter"`
		} `json:"list"`
	} `json:"members"`
}

// statusOf returns a controller's status and reports whether it answered within a second.
func statusOf(f *local.Fleet, controller int) (controllerStatus, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var s controllerStatus
	r := operatorCall(ctx, f, controller, http.MethodGet, "/v1/status", "")
	return s, json.Unmarshal(r.body, &s) == nil && r.status == http.StatusOK
}

// leaderOf waits until a controller reports that it leads and returns its index.
func leaderOf(t *testing.T, f *local.Fleet) int {
	t.Helper()
	leader := -1
	eventually(t, "a leader", func() bool {
		for i := range f.Addresses.Controllers {
			if s, ok := statusOf(f, i); ok && s.Role == "leader" {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// putTeam replaces a team, if its version is still the given one, and returns the
// answer. Version 0 creates the team.
func putTeam(ctx context.Context, f *local.Fleet, controller int, name string, version uint64, weight int, requestID string) reply {
	body := fmt.Sprintf(`{"version":%d,"spec":{"weight":%d,"key_hashes":[]}}`, version, weight)
	return operatorCall(ctx, f, controller, http.MethodPut, "/v1/resources/team/"+name, body, "Request-Id", requestID)
}

// versionOf returns the resource version in an answer, or 0 if it holds none.
func versionOf(r reply) uint64 {
	var out resource.Resource
	_ = json.Unmarshal(r.body, &out)
	return out.Version
}

// putTeamUntilAnswered sends a change to the controllers in turn, always with the same
// request id, until one of them accepts or rejects it.
func putTeamUntilAnswered(t *testing.T, f *local.Fleet, name string, version uint64, weight int, id string) reply {
	t.Helper()
	var last reply
	i := 0
	eventually(t, "change "+id, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		last = putTeam(ctx, f, i%len(f.Addresses.Controllers), name, version, weight, id)
		i++
		return last.err == nil && last.status < http.StatusInternalServerError
	})
	return last
}

// smallPlan plans three controllers, one gateway and one booking upstream.
func smallPlan(t *testing.T) local.Plan {
	return local.Plan{
		Gateways: 1,
		Resources: resourcesFor(t, upstreams{
			bookings:   1,
			maxRunning: 4,
		}),
	}
}

// TestConcurrentUpdatesConflict sends changes of one team from the same version through
// all controllers at once. In each round exactly one is accepted; the others get a
// version conflict.
func TestConcurrentUpdatesConflict(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, smallPlan(t))
	version := versionOf(putTeamUntilAnswered(t, f, "raced", 0, 1, "create"))
	for round := range 10 {
		var mu sync.Mutex
		won := []uint64{}
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() {
				r := putTeam(t.Context(), f, i%3, "raced", version, 2+i, fmt.Sprintf("race-%d-%d", round, i))
				mu.Lock()
				defer mu.Unlock()
				if r.status == http.StatusOK {
					won = append(won, versionOf(r))
				} else if r.problem().Code != problem.VersionConflict {
					t.Errorf("status %d: %s", r.status, r.body)
				}
			})
		}
		group.Wait()
		is.Equal(len(won), 1)
		version = won[0]
	}
}

// TestAcceptedChangesStay changes teams while leaders are frozen, killed and restarted.
// An acknowledged change must not be lost: every controller returns the last accepted
// version of each team, and a watch delivers the changes in order.
func TestAcceptedChangesStay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, smallPlan(t))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	accepted := make(map[string]uint64)
	var mu sync.Mutex
	var group sync.WaitGroup
	for w := range 3 {
		group.Go(func() {
			name := fmt.Sprintf("kept-%d", w)
			version := uint64(0)
			for i := 0; ctx.Err() == nil; i++ {
				r := putTeamUntilAnswered(t, f, name, version, 1+i%9, fmt.Sprintf("%s-%d", name, i))
				if r.status != http.StatusOK {
					t.Errorf("%s: status %d: %s", name, r.status, r.body)
					return
				}
				if v := versionOf(r); v <= version {
					t.Errorf("%s went from version %d to %d", name, version, v)
				} else {
					version = v
				}
				mu.Lock()
				accepted[name] = version
				mu.Unlock()
			}
		})
	}
	for range 2 {
		leader := leaderOf(t, f)
		is.NoErr(f.Controllers[leader].Signal(syscall.SIGSTOP))
		time.Sleep(freezeDuration())
		is.NoErr(f.Controllers[leader].Signal(syscall.SIGCONT))
		leader = leaderOf(t, f)
		f.Controllers[leader].Kill()
		time.Sleep(500 * time.Millisecond)
		p, err := f.StartProcess(fmt.Sprintf("controller-%d", leader+1), "controller")
		is.NoErr(err)
		f.Controllers[leader] = p
		time.Sleep(time.Second)
	}
	cancel()
	group.Wait()
	for i := range f.Addresses.Controllers {
		for name, version := range accepted {
			var seen uint64
			eventually(t, "read", func() bool {
				r := operatorCall(context.Background(), f, i, http.MethodGet, "/v1/resources/team/"+name, "")
				seen = versionOf(r)
				return r.status == http.StatusOK
			})
			is.Equal(seen, version)
		}
	}
	checkWatch(t, f)
}

// freezeDuration returns how long a leader is frozen: a minute in `make prove`, and
// otherwise 4 s, which is longer than every election.
func freezeDuration() time.Duration {
	if os.Getenv("BAOBABPADDLE_SCHEDULES") != "" {
		return time.Minute
	}
	return 4 * time.Second
}

// checkWatch checks that a watch of the last changes delivers increasing revisions, the
// same on every controller, and that a watch from a revision older than the kept
// history is refused, so that the watcher lists the resources again.
func checkWatch(t *testing.T, f *local.Fleet) {
	t.Helper()
	s, ok := statusOf(f, leaderOf(t, f))
	if !ok {
		t.Fatal("the leader reports no status")
	}
	const watched = 1000
	from := s.Revision - min(s.Revision, watched)
	if s.Revision > 2*state.MaxHistory {
		gone := operatorCall(context.Background(), f, 0, http.MethodGet, "/v1/watch?from=0", "")
		if gone.status != http.StatusGone || gone.problem().Code != problem.RevisionGone {
			t.Errorf("status %d: %s", gone.status, gone.body)
		}
	}
	var want string
	for i := range f.Addresses.Controllers {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r := operatorCall(ctx, f, i, http.MethodGet, fmt.Sprintf("/v1/watch?from=%d", from), "")
		cancel()
		var last uint64
		lines := ""
		for line := range strings.Lines(string(r.body)) {
			var event struct {
				Revision uint64 `json:"revision"`
				Resource *struct{}
			}
			if json.Unmarshal([]byte(line), &event) != nil || event.Resource == nil {
				continue
			}
			if event.Revision <= last {
				t.Errorf("controller %d: revision %d follows %d", i, event.Revision, last)
			}
			last = event.Revision
			lines += line
		}
		if want == "" {
			want = lines
		}
		if lines == "" || lines != want {
			t.Errorf("controller %d: its watch is empty or differs from that of controller 0", i)
		}
	}
}

// TestRestartAfterManyChanges makes 500 changes while a gateway and a sidecar are down.
// Both catch up after their restart, snapshots keep the leader's log small, and a
// restarted controller returns the last version.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := smallPlan(t)
	plan.SnapshotEvery = 100
	f := startFleet(t, plan)
	waitServing(t, f)
	address := upstreamOf(t, f, "booking-0").Sidecar
	f.Gateways[0].Kill()
	f.Sidecars[address].Kill()
	version := uint64(0)
	for i := range 500 {
		version = versionOf(putTeamUntilAnswered(t, f, "busy", version, 1+i%9, fmt.Sprintf("busy-%d", i)))
	}
	is.NoErr(f.StartSidecar(address))
	is.NoErr(f.StartGateway(0))
	waitServing(t, f)
	leader := leaderOf(t, f)
	s, ok := statusOf(f, leader)
	is.True(ok)
	is.True(s.LogBytes < 300_000) // the log holds the changes of a few snapshot intervals at most
	f.Controllers[leader].Kill()
	p, err := f.StartProcess(fmt.Sprintf("controller-%d", leader+1), "controller")
	is.NoErr(err)
	f.Controllers[leader] = p
	eventually(t, "read after restart", func() bool {
		r := operatorCall(context.Background(), f, leader, http.MethodGet, "/v1/resources/team/busy", "")
		return r.status == http.StatusOK && versionOf(r) == version
	})
}

// TestKeyChangesReachEveryGateway revokes a team's key and grants it again. Both
// changes must come into force at every gateway.
func TestKeyChangesReachEveryGateway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := smallPlan(t)
	plan.Gateways = 3
	f := startFleet(t, plan)
	waitServing(t, f)
	set := func(key string) {
		var team resource.Resource
		for _, r := range f.Plan.Resources {
			if r.Name == "team-0" {
				team = r
			}
		}
		changed := newResource(t, resource.KindTeam, "team-0", resource.Team{
			KeyHashes: []string{key},
		})
		if key == "" {
			changed = team
		}
		is.NoErr(f.Apply(t.Context(), []resource.Resource{changed}))
	}
	statuses := func(want int) bool {
		for _, g := range f.Addresses.Gateways {
			if call(t.Context(), http.MethodGet, "http://"+g+"/booking/slots", "team-0", "").status != want {
				return false
			}
		}
		return true
	}
	set(strings.Repeat("0", 64))
	eventually(t, "revoked everywhere", func() bool { return statuses(http.StatusUnauthorized) })
	set("")
	eventually(t, "granted everywhere", func() bool { return statuses(http.StatusOK) })
}

// TestPlacementFencingIsMonotonic places two versions of a model and kills the leader in
// between. The fencing tokens of the orders that the engine receives must never decrease.
func TestPlacementFencingIsMonotonic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := local.Plan{
		Gateways: 1,
		Resources: resourcesFor(t, upstreams{
			engines:    1,
			bookings:   1,
			maxRunning: 4,
		}),
	}
	f := startFleet(t, plan)
	place := func(version string) {
		is.NoErr(f.Apply(t.Context(), []resource.Resource{newResource(t, resource.KindPlacement, "llm-0", resource.Placement{
			Upstream:     "llm-0",
			Model:        "model",
			ModelVersion: version,
			SizeBytes:    1000,
		})}))
	}
	type order struct {
		Fencing      uint64 `json:"fencing"`
		ModelVersion string `json:"model_version"`
	}
	orders := func() []order {
		var out []order
		r := call(context.Background(), http.MethodGet, upstreamOf(t, f, "llm-0").URL+"/orders", "", "")
		_ = json.Unmarshal(r.body, &out)
		return out
	}
	has := func(version string) func() bool {
		return func() bool {
			list := orders()
			return len(list) > 0 && list[len(list)-1].ModelVersion == version
		}
	}
	place("v1")
	eventually(t, "v1", has("v1"))
	f.Controllers[leaderOf(t, f)].Kill()
	place("v2")
	eventually(t, "v2", has("v2"))
	last := uint64(0)
	for _, o := range orders() {
		is.True(o.Fencing >= last)
		last = o.Fencing
	}
}

func contains(data []byte, text string) bool { return strings.Contains(string(data), text) }
