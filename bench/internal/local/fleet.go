package local

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/resource"
)

const (
	waitPause  = 50 * time.Millisecond // between two polls
	token      = "only-for-loopback-tests"
	folderMode = 0o700
	fileMode   = 0o600
)

// Plan describes a fleet to start.
type Plan struct {
	// Bin is the folder with the programs. Folder is for settings, data, keys and logs.
	Bin         string
	Folder      string
	Controllers int
	Gateways    int
	Resources   []resource.Resource
	// TokensPerSecond is the speed of the stand-in engines for each request.
	TokensPerSecond float64
	// BookingWork is the service time of a booking; at least a millisecond.
	BookingWork time.Duration
	// SnapshotEvery is the number of log entries between two snapshots of a controller;
	// zero means the controllers' default.
	SnapshotEvery uint64
	// Balance is the sidecars' setting, from 0 (fairness among teams) to 1 (utilisation
	// of the upstreams).
	Balance float64
	// DisableGroupCommit turns the controllers' group commit off.
	DisableGroupCommit bool
	// TLS authenticates every link by certificates of a certificate authority that is
	// created for the fleet. Without it, links use a shared token.
	TLS bool
	// Listen maps the advertised address of a sidecar or controller to the one on which
	// it listens, if a relay forwards from the first to the second. Without an entry
	// they are the same.
	Listen map[string]string
	// ControllerAddresses are the controllers' advertised addresses. Unless there is one
	// for each controller, addresses are reserved.
	ControllerAddresses []string
}

// Fleet is a running fleet.
type Fleet struct {
	Plan        Plan
	Controllers []*Process
	Gateways    []*Process
	Sidecars    map[string]*Process // by address
	Standins    map[string]*Process // by upstream
	Platform    *Process
	Addresses   Addresses
}

// Addresses are the addresses by which the fleet's programs are reached.
type Addresses struct {
	Controllers []string
	Admins      []string // of the controllers, for metrics and health checks
	Gateways    []string
	Platform    string
}

// Start starts the fleet, applies the plan's resources and waits until the gateways
// answer. On an error it stops what it has started.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	f := &Fleet{
		Plan:     plan,
		Sidecars: make(map[string]*Process),
		Standins: make(map[string]*Process),
	}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.prepare(); err != nil {
		return err
	}
	if err := f.startControllers(); err != nil {
		return err
	}
	if err := f.startUpstreams(); err != nil {
		return err
	}
	if err := f.Apply(ctx, f.Plan.Resources); err != nil {
		return err
	}
	for i := range f.Plan.Gateways {
		if err := f.StartGateway(i); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// prepare creates folders and credentials, reserves the addresses and starts the
// stand-in of the platform.
func (f *Fleet) prepare() error {
	if err := os.MkdirAll(filepath.Join(f.Plan.Folder, "logs"), folderMode); err != nil {
		return merry.Prepend(err, "folder")
	}
	if err := os.WriteFile(f.path("token"), []byte(token), fileMode); err != nil {
		return merry.Prepend(err, "token")
	}
	addresses, err := reserveAddresses(2*f.Plan.Controllers + f.Plan.Gateways + 1)
	if err != nil {
		return err
	}
	n := f.Plan.Controllers
	f.Addresses = Addresses{
		Controllers: addresses[:n],
		Admins:      addresses[n : 2*n],
		Gateways:    addresses[2*n : 2*n+f.Plan.Gateways],
		Platform:    addresses[2*n+f.Plan.Gateways],
	}
	if len(f.Plan.ControllerAddresses) == n {
		f.Addresses.Controllers = f.Plan.ControllerAddresses
	}
	if f.Plan.TLS {
		if err := f.Run("baobabctl", "keys", "init", f.path("keys")); err != nil {
			return err
		}
		if err := f.issue("operator", "operator"); err != nil {
			return err
		}
	}
	if err := f.writeSettings("baobabctl", map[string]any{
		"controllers": f.Addresses.Controllers,
		"credential":  f.credential("operator"),
	}); err != nil {
		return err
	}
	f.Platform, err = startProgram(f.Plan.Bin, f.path("logs"), "platform", "standin", "platform", "--listen", f.Addresses.Platform)
	return err
}

func (f *Fleet) path(name string) string { return filepath.Join(f.Plan.Folder, name) }

// SettingsPath returns the path of a process's settings file.
func (f *Fleet) SettingsPath(name string) string { return f.path(name + ".json") }

// Run runs a program and waits for its end. The error contains its output.
func (f *Fleet) Run(program string, args ...string) error {
	_, err := f.Output(program, args...)
	return err
}

// Output runs a program, waits for its end and returns its combined output.
func (f *Fleet) Output(program string, args ...string) (string, error) {
	command := exec.Command(filepath.Join(f.Plan.Bin, program), args...)
	out, err := command.CombinedOutput()
	if err != nil {
		return string(out), merry.Prependf(err, "%s %v: %s", program, args, bytes.TrimSpace(out))
	}
	return string(out), nil
}

// Ctl runs baobabctl with the fleet's settings.
func (f *Fleet) Ctl(args ...string) (string, error) {
	return f.Output("baobabctl", append(args, "--settings", f.SettingsPath("baobabctl"))...)
}

// Apply applies resources with baobabctl, without their versions, so that they replace
// what is stored. It retries until it succeeds or the context ends.
func (f *Fleet) Apply(ctx context.Context, resources []resource.Resource) error {
	data, err := json.Marshal(map[string]any{
		"resources": resources,
	})
	if err != nil {
		return merry.Prepend(err, "resources")
	}
	var document struct {
		Resources []map[string]any `json:"resources"`
	}
	if err := json.Unmarshal(data, &document); err != nil {
		return merry.Prepend(err, "resources")
	}
	for _, r := range document.Resources {
		delete(r, "version")
	}
	if err := f.writeSettings("apply", map[string]any{
		"resources": document.Resources,
	}); err != nil {
		return err
	}
	for {
		_, err := f.Ctl("apply", "-f", f.SettingsPath("apply"))
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(waitPause)
	}
}

// WaitReady waits until every gateway answers a request without a key with 401, which
// shows that it has a configuration.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, g := range f.Addresses.Gateways {
		if err := WaitFor(ctx, func() bool {
			response, err := http.Get("http://" + g + "/")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusUnauthorized
		}); err != nil {
			return merry.Prepend(err, "gateway "+g)
		}
	}
	return nil
}

// WaitFor polls until ok returns true, and returns the context's error if it ends first.
func WaitFor(ctx context.Context, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitPause):
		}
	}
	return nil
}

// SetLeaving replaces the platform's list of leaving hosts.
func (f *Fleet) SetLeaving(hosts ...string) error {
	type host struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	var list []host
	for _, h := range hosts {
		list = append(list, host{
			Name:  h,
			State: "leaving",
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return merry.Prepend(err, "hosts")
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+f.Addresses.Platform+"/hosts", bytes.NewReader(data))
	if err != nil {
		return merry.Prepend(err, "hosts")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Prepend(err, "hosts")
	}
	return response.Body.Close()
}

// Stop ends all processes of the fleet: it sends SIGTERM, to gateways first, and SIGCONT,
// because a suspended process cannot end, and kills those that do not end in time.
func (f *Fleet) Stop() {
	all := slices.Clone(f.Gateways)
	for _, p := range f.Sidecars {
		all = append(all, p)
	}
	all = append(all, f.Controllers...)
	for _, p := range f.Standins {
		all = append(all, p)
	}
	if f.Platform != nil {
		all = append(all, f.Platform)
	}
	for _, p := range all {
		if p == nil {
			continue
		}
		_ = p.Signal(terminateSignal)
		_ = p.Signal(continueSignal)
	}
	deadline := time.After(killAfter)
	for _, p := range all {
		if p == nil {
			continue
		}
		select {
		case <-p.done:
		case <-deadline:
			p.Kill()
			deadline = time.After(time.Second)
		}
	}
}
