package e2e

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
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
)

// waitTimeout limits every wait for an expected event. It is long so that a busy
// machine does not fail a test.
const waitTimeout = 90 * time.Second

// binaries is the folder with the programs under test.
var binaries string

// TestMain builds the programs unless BAOBABPADDLE_BIN names a folder that has them.
func TestMain(m *testing.M) {
	binaries = os.Getenv("BAOBABPADDLE_BIN")
	if binaries == "" {
		folder, err := os.MkdirTemp("", "baobabpaddle-bin-")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
		build := exec.Command("go", "build", "-o", folder+"/", "./baobabctl", "./controller", "./gateway", "./sidecar", "./standin")
		build.Dir = filepath.Join("..", "..")
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
		binaries = folder
	}
	m.Run()
}

// upstreams describes the upstreams of a test's fleet. Each has its own sidecar.
type upstreams struct {
	engines    int
	bookings   int
	maxRunning int // concurrent requests of one upstream
}

// resourcesFor returns the model service "llm", the plain service "booking", the
// teams "team-0" to "team-3" with the keys "key-team-0" and so on, and the upstreams.
func resourcesFor(t *testing.T, u upstreams) []resource.Resource {
	t.Helper()
	out := []resource.Resource{
		newResource(t, resource.KindService, "llm", resource.Service{
			Type:   resource.ServiceModel,
			Models: []string{"model"},
		}),
		newResource(t, resource.KindService, "booking", resource.Service{
			Type: resource.ServicePlain,
		}),
	}
	for i := range 4 {
		name := fmt.Sprintf("team-%d", i)
		hash := sha256.Sum256([]byte("key-" + name))
		out = append(out, newResource(t, resource.KindTeam, name, resource.Team{
			KeyHashes: []string{hex.EncodeToString(hash[:])},
		}))
	}
	add := func(service string, n int) {
		for i := range n {
			name := fmt.Sprintf("%s-%d", service, i)
			out = append(out, newResource(t, resource.KindUpstream, name, resource.Upstream{
				Service:    service,
				Host:       "host-" + name,
				Zone:       "zone-a",
				Sidecar:    freeAddress(t),
				URL:        "http://" + freeAddress(t),
				MaxRunning: u.maxRunning,
			}))
		}
	}
	add("llm", u.engines)
	add("booking", u.bookings)
	return out
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := local.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newResource(t *testing.T, kind resource.Kind, name string, spec any) resource.Resource {
	t.Helper()
	data, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	return resource.Resource{
		Kind: kind,
		Name: name,
		Spec: data,
	}
}

// startFleet starts a fleet that is stopped when the test ends. Unset counts are
// filled in: 3 controllers, 2 gateways, 100 tokens per second of an engine. When the
// test fails, it prints the end of each process's log.
func startFleet(t *testing.T, plan local.Plan) *local.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	plan.Bin = binaries
	plan.Folder = t.TempDir()
	if plan.Controllers == 0 {
		plan.Controllers = 3
	}
	if plan.Gateways == 0 {
		plan.Gateways = 2
	}
	if plan.TokensPerSecond == 0 {
		plan.TokensPerSecond = 100
	}
	fleet, err := local.Start(ctx, plan)
	if err != nil {
		showLogs(t, plan.Folder)
		t.Fatal(err)
	}
	t.Cleanup(func() {
		fleet.Stop()
		if t.Failed() {
			showLogs(t, plan.Folder)
		}
	})
	return fleet
}

func showLogs(t *testing.T, folder string) {
	const last = 1500
	files, _ := filepath.Glob(filepath.Join(folder, "logs", "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		if len(data) > 0 {
			t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-last):])
		}
	}
}

// reply is the answer to one call, read to its end.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error // the call failed or the answer broke off
}

// problem returns the problem document of an error answer, or the zero value if the
// body holds none.
func (r reply) problem() problem.Problem {
	var p problem.Problem
	_ = json.Unmarshal(r.body, &p)
	return p
}

// call sends one request on a new connection, with the team's key unless team is
// empty. The header lists names and values in turn.
func call(ctx context.Context, method, url, team, body string, header ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{
			err: err,
		}
	}
	if team != "" {
		request.Header.Set("Authorization", "Bearer key-"+team)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{
			err: err,
		}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   data,
		err:    err,
	}
}

// chat requests a streamed completion of the given number of tokens. A stand-in
// engine answers with tokens that begin with the text.
func chat(ctx context.Context, gateway, team, text string, tokens int) reply {
	body := fmt.Sprintf(`{"model":"model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, text)
	return call(ctx, http.MethodPost, "http://"+gateway+"/v1/chat/completions", team, body)
}

// checkChat returns an error unless the reply is the complete stream for the text and
// holds no token of another stream.
func checkChat(r reply, text string, tokens int) error {
	if r.err != nil || r.status != http.StatusOK {
		return fmt.Errorf("status %d, %w: %s", r.status, r.err, r.body)
	}
	for i := range tokens {
		if !bytes.Contains(r.body, []byte(fmt.Sprintf(`"%s-%d "`, text, i))) {
			return fmt.Errorf("token %d of %s is missing", i, text)
		}
	}
	if !bytes.Contains(r.body, []byte("[DONE]")) || bytes.Count(r.body, []byte(text+"-")) != tokens {
		return fmt.Errorf("the stream is incomplete or holds tokens of another stream: %s", r.body)
	}
	return nil
}

// startStreams starts concurrent chat streams, spread over the gateways and teams. The
// function that it returns waits for them all. A stream that does not deliver its
// complete answer fails the test.
func startStreams(ctx context.Context, t *testing.T, f *local.Fleet, streams, tokens int) func() {
	t.Helper()
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			text := fmt.Sprintf("caller%03d", i)
			r := chat(ctx, f.Addresses.Gateways[i%len(f.Addresses.Gateways)], fmt.Sprintf("team-%d", i%4), text, tokens)
			if err := checkChat(r, text, tokens); err != nil {
				t.Error(err)
			}
		})
	}
	return group.Wait
}

// eventually polls until ok returns true and fails the test after waitTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if local.WaitFor(ctx, ok) != nil {
		t.Fatalf("%s: not within %s", what, waitTimeout)
	}
}

// waitServing waits until the booking service answers through every gateway.
func waitServing(t *testing.T, f *local.Fleet) {
	t.Helper()
	for _, g := range f.Addresses.Gateways {
		eventually(t, "gateway "+g, func() bool {
			return call(t.Context(), http.MethodGet, "http://"+g+"/booking/slots", "team-0", "").status == http.StatusOK
		})
	}
}

// upstreamOf returns the specification of the fleet's upstream with the name.
func upstreamOf(t *testing.T, f *local.Fleet, name string) *resource.Upstream {
	t.Helper()
	for _, r := range f.Plan.Resources {
		if r.Kind == resource.KindUpstream && r.Name == name {
			spec, err := r.Decode()
			if err != nil {
				t.Fatal(err)
			}
			return spec.(*resource.Upstream)
		}
	}
	t.Fatalf("no upstream %s", name)
	return nil
}

// runsByBody returns how many times the booking stand-ins ran each request body.
func runsByBody(t *testing.T, f *local.Fleet) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for _, r := range f.Plan.Resources {
		if r.Kind != resource.KindUpstream {
			continue
		}
		u := upstreamOf(t, f, r.Name)
		if u.Service != "booking" {
			continue
		}
		var list []struct {
			Body string `json:"body"`
		}
		answer := call(context.Background(), http.MethodGet, u.URL+"/runs", "", "")
		if err := json.Unmarshal(answer.body, &list); err != nil {
			t.Fatalf("%s: %v", r.Name, err)
		}
		for _, b := range list {
			out[b.Body]++
		}
	}
	return out
}
