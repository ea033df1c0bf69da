// Package measure has the parts that the benchmarks of real processes share: StartFleet
// starts a small fleet, Call times a request, and ReadUsage and ReadMetric read the
// resources that a process uses.
package measure

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/fleet/resource"
)

// Client is the HTTP client of all calls. It does not limit the number of connections and
// keeps up to 256 idle ones for each host, so that concurrent callers reuse them.
var Client = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	},
}

// TeamKey returns the bearer key of a team.
func TeamKey(team string) string { return "key-" + team }

// NewResource returns a resource with spec, encoded as JSON, as its specification.
func NewResource(kind resource.Kind, name string, spec any) (resource.Resource, error) {
	data, err := json.Marshal(spec)
	return resource.Resource{
		Kind: kind,
		Name: name,
		Spec: data,
	}, merry.Prepend(err, "resource")
}

// NewTeam returns the resource of a team with the key TeamKey(name).
func NewTeam(name string) (resource.Resource, error) {
	hash := sha256.Sum256([]byte(TeamKey(name)))
	return NewResource(resource.KindTeam, name, resource.Team{
		KeyHashes: []string{hex.EncodeToString(hash[:])},
	})
}

// Fleet describes a small fleet with one team, a model service and a booking service.
type Fleet struct {
	Engines    int // upstreams of the model service
	Bookings   int // upstreams of the booking service
	MaxRunning int // of each upstream
	// IdempotentBookings declares bookings as idempotent, so that they need no claim.
	IdempotentBookings bool
}

// Resources returns the fleet's resources, with reserved addresses.
func (f Fleet) Resources() ([]resource.Resource, error) {
	booking := resource.Service{
		Type: resource.ServicePlain,
	}
	if f.IdempotentBookings {
		booking.IdempotentRoutes = []resource.Route{
			{
				Method: http.MethodPost,
				Path:   "/",
			},
		}
	}
	var out []resource.Resource
	var failed error
	add := func(kind resource.Kind, name string, spec any) {
		r, err := NewResource(kind, name, spec)
		if err != nil {
			failed = err
		}
		out = append(out, r)
	}
	add(resource.KindService, "llm", resource.Service{
		Type:   resource.ServiceModel,
		Models: []string{"model"},
	})
	add(resource.KindService, "booking", booking)
	team, err := NewTeam("team-0")
	if err != nil {
		return nil, err
	}
	out = append(out, team)
	upstreams := func(service string, n int) {
		for i := range n {
			sidecar, err := local.ReserveAddress()
			if err != nil {
				failed = err
			}
			target, err := local.ReserveAddress()
			if err != nil {
				failed = err
			}
			name := fmt.Sprintf("%s-%d", service, i)
			add(resource.KindUpstream, name, resource.Upstream{
				Service:    service,
				Host:       "host-" + name,
				Zone:       "zone-a",
				Sidecar:    sidecar,
				URL:        "http://" + target,
				MaxRunning: f.MaxRunning,
			})
		}
	}
	upstreams("llm", f.Engines)
	upstreams("booking", f.Bookings)
	return out, failed
}

// UpstreamURL returns the URL of the upstream with the name, or "" if there is none.
func UpstreamURL(resources []resource.Resource, name string) string {
	for _, r := range resources {
		if spec, err := r.Decode(); err == nil && r.Name == name {
			if u, ok := spec.(*resource.Upstream); ok {
				return u.URL
			}
		}
	}
	return ""
}

// Call sends a request with the key of team-0 and returns the status, the time to the
// first byte of the answer's body and the time to its end. The header alternates names
// and values.
func Call(ctx context.Context, method, url, body string, header ...string) (status int, first, whole time.Duration, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, 0, 0, merry.Prepend(err, "call")
	}
	request.Header.Set("Authorization", "Bearer "+TeamKey("team-0"))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	started := time.Now()
	response, err := Client.Do(request)
	if err != nil {
		return 0, 0, 0, merry.Prepend(err, "call")
	}
	defer response.Body.Close()
	var one [1]byte
	if _, err := io.ReadFull(response.Body, one[:]); err != nil {
		return response.StatusCode, 0, 0, merry.Prepend(err, "call")
	}
	first = time.Since(started)
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, first, time.Since(started), merry.Prepend(err, "call")
}

// Percentile sorts the values and returns the quantile p, from 0 to 1, or 0 without
// values.
func Percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(a, b int) bool { return values[a] < values[b] })
	return values[min(len(values)-1, int(p*float64(len(values))))]
}

// Usage is the processor time and memory that a process uses.
type Usage struct {
	CPU    time.Duration // of the threads that have not ended
	Memory int64         // resident bytes
}

// ReadUsage returns the present usage of a process.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, merry.Prepend(err, "usage")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const residentField = 21 // rss, in pages, counted after the command
	if len(fields) <= residentField {
		return Usage{}, merry.Errorf("usage: /proc/%d/stat has %d fields after the command, at least %d are needed", pid, len(fields), residentField+1)
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return Usage{}, merry.Prepend(err, "usage")
	}
	cpu, err := threadTime(pid)
	return Usage{
		CPU:    cpu,
		Memory: pages * int64(os.Getpagesize()),
	}, err
}

// threadTime returns the sum of the processor times of a process's threads.
func threadTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, merry.Prepend(err, "usage")
	}
	sum := time.Duration(0)
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
		}
		var nanos int64
		if _, err := fmt.Sscan(string(data), &nanos); err != nil {
			return 0, merry.Prepend(err, "usage")
		}
		sum += time.Duration(nanos)
	}
	return sum, nil
}

// ReadMetric returns the value of a metric without labels from an admin address.
func ReadMetric(address, name string) (float64, error) {
	response, err := Client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, merry.Prepend(err, "metric")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, merry.Prepend(err, "metric")
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, merry.Errorf("metric %s: not found at %s", name, address)
}

// StartFleet starts a fleet in a temporary folder. The function that it returns stops the
// fleet and removes the folder.
func StartFleet(ctx context.Context, plan local.Plan) (*local.Fleet, func(), error) {
	folder, err := os.MkdirTemp("", "baobabpaddle-bench-")
	if err != nil {
		return nil, nil, merry.Prepend(err, "folder")
	}
	plan.Folder = folder
	fleet, err := local.Start(ctx, plan)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, nil, err
	}
	return fleet, func() {
		fleet.Stop()
		_ = os.RemoveAll(folder)
	}, nil
}
