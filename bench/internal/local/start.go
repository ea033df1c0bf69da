package local

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/resource"
)

// issue issues the certificate of a process in a role.
func (f *Fleet) issue(role, name string) error {
	return f.Run("baobabctl", "keys", "issue", f.path("keys"), role, name, "--address", "127.0.0.1")
}

// credential returns the credential part of a process's settings.
func (f *Fleet) credential(name string) map[string]any {
	if f.Plan.TLS {
		return map[string]any{
			"cert_file": f.path("keys/" + name + ".crt"),
			"key_file":  f.path("keys/" + name + ".key"),
			"ca_file":   f.path("keys/ca.crt"),
		}
	}
	return map[string]any{
		"insecure_loopback": true,
		"token_file":        f.path("token"),
	}
}

// writeSettings writes the settings file of a process.
func (f *Fleet) writeSettings(name string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return merry.Prepend(err, "settings")
	}
	return merry.Prepend(os.WriteFile(f.SettingsPath(name), data, fileMode), "settings")
}

// startControllers initialises and starts the controllers, which form the first group of
// replicas.
func (f *Fleet) startControllers() error {
	var members []map[string]any
	for i, a := range f.Addresses.Controllers {
		members = append(members, map[string]any{
			"id":      i + 1,
			"address": a,
		})
	}
	for i := range f.Addresses.Controllers {
		name := fmt.Sprintf("controller-%d", i+1)
		if err := f.WriteControllerSettings(name, uint64(i+1), f.Addresses.Controllers[i], f.Addresses.Admins[i], members); err != nil {
			return err
		}
		if err := f.Run("controller", "init", "--settings", f.SettingsPath(name)); err != nil {
			return err
		}
		p, err := f.StartProcess(name, "controller")
		if err != nil {
			return err
		}
		f.Controllers = append(f.Controllers, p)
	}
	return nil
}

// WriteControllerSettings writes the settings file of a controller. The members are those of
// a new group; without any, the controller joins an existing one.
func (f *Fleet) WriteControllerSettings(name string, id uint64, listen, admin string, members []map[string]any) error {
	if f.Plan.TLS {
		if err := f.issue("controller", name); err != nil {
			return err
		}
	}
	return f.writeSettings(name, map[string]any{
		"name":                 name,
		"zone":                 "zone-a",
		"listen":               f.listen(listen),
		"admin_listen":         admin,
		"data_folder":          f.path("data-" + name),
		"replica_id":           id,
		"bootstrap_members":    members,
		"snapshot_every":       f.Plan.SnapshotEvery,
		"disable_group_commit": f.Plan.DisableGroupCommit,
		"platform_list_url":    "http://" + f.Addresses.Platform + "/hosts",
		"credential":           f.credential(name),
	})
}

// listen returns the address on which the program with an advertised address listens.
func (f *Fleet) listen(address string) string {
	if l := f.Plan.Listen[address]; l != "" {
		return l
	}
	return address
}

// StartProcess starts a program with the settings file of the name, which must exist.
func (f *Fleet) StartProcess(name, program string) (*Process, error) {
	return startProgram(f.Plan.Bin, f.path("logs"), name, program, "run", "--settings", f.SettingsPath(name))
}

// StartGateway starts the gateway with the index, also after it has ended. It writes the
// settings file only if there is none.
func (f *Fleet) StartGateway(i int) error {
	name := fmt.Sprintf("gateway-%d", i+1)
	if _, err := os.Stat(f.SettingsPath(name)); err != nil {
		if f.Plan.TLS {
			if err := f.issue("gateway", name); err != nil {
				return err
			}
		}
		if err := f.writeSettings(name, map[string]any{
			"name":        name,
			"zone":        "zone-a",
			"listen":      f.Addresses.Gateways[i],
			"controllers": f.Addresses.Controllers,
			"credential":  f.credential(name),
		}); err != nil {
			return err
		}
	}
	p, err := f.StartProcess(name, "gateway")
	if err != nil {
		return err
	}
	if i < len(f.Gateways) {
		f.Gateways[i] = p
	} else {
		f.Gateways = append(f.Gateways, p)
	}
	return nil
}

// startUpstreams starts a stand-in for each upstream, and each sidecar once.
func (f *Fleet) startUpstreams() error {
	types := make(map[string]resource.ServiceType)
	for _, r := range f.Plan.Resources {
		if spec, err := r.Decode(); err == nil && r.Kind == resource.KindService {
			types[r.Name] = spec.(*resource.Service).Type
		}
	}
	for _, r := range f.Plan.Resources {
		spec, err := r.Decode()
		if err != nil {
			return err
		}
		u, ok := spec.(*resource.Upstream)
		if !ok {
			continue
		}
		if err := f.startStandin(r.Name, u, types[u.Service]); err != nil {
			return err
		}
		if f.Sidecars[u.Sidecar] != nil {
			continue
		}
		if err := f.StartSidecar(u.Sidecar); err != nil {
			return err
		}
	}
	return nil
}

// startStandin starts the stand-in for an upstream: an engine for a model service, a booking
// service otherwise.
func (f *Fleet) startStandin(name string, u *resource.Upstream, kind resource.ServiceType) error {
	parsed, err := url.Parse(u.URL)
	if err != nil {
		return merry.Prepend(err, "url")
	}
	args := []string{"booking", "--listen", parsed.Host, "--work", max(f.Plan.BookingWork, time.Millisecond).String()}
	if kind == resource.ServiceModel {
		args = []string{
			"engine", "--listen", parsed.Host, "--max-running", fmt.Sprint(u.MaxRunning),
			"--tokens-per-second", fmt.Sprint(f.Plan.TokensPerSecond),
		}
		if u.ChecksFencing {
			args = append(args, "--checks-fencing")
		}
	}
	p, err := startProgram(f.Plan.Bin, f.path("logs"), "upstream-"+name, "standin", args...)
	if err != nil {
		return err
	}
	f.Standins[name] = p
	return nil
}

// SidecarName returns the process name of the sidecar with the advertised address.
func SidecarName(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return "sidecar-" + port
}

// StartSidecar starts the sidecar with the advertised address, also after it has ended. It
// writes the settings file only if there is none.
func (f *Fleet) StartSidecar(address string) error {
	name := SidecarName(address)
	if _, err := os.Stat(f.SettingsPath(name)); err != nil {
		if f.Plan.TLS {
			if err := f.issue("sidecar", name); err != nil {
				return err
			}
		}
		if err := f.writeSettings(name, map[string]any{
			"name":        name,
			"zone":        "zone-a",
			"listen":      f.listen(address),
			"address":     address,
			"controllers": f.Addresses.Controllers,
			"balance":     f.Plan.Balance,
			"credential":  f.credential(name),
		}); err != nil {
			return err
		}
	}
	p, err := f.StartProcess(name, "sidecar")
	if err != nil {
		return err
	}
	f.Sidecars[address] = p
	return nil
}
