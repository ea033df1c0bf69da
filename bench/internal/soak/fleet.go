package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Ports of the fleet, the same on every host, as on the platform. Each host has a
// loopback address of its own.
const (
	peerPort     = 7400
	operatorPort = 7401
	callerPort   = 7402
	readyPort    = 7403
	listPort     = 7404
	upstreamPort = 7500
	relayPort    = 7600
)

// Bounds that the settings give to the fleet and that the run checks.
const (
	graceSeconds = 6
	revokeTime   = 5 * time.Second
	retryRatio   = 0.2
	retrySlack   = 50
	retryWindow  = 10 * time.Second
)

// process is a program of the fleet. It may be started again after it has ended.
type process struct {
	name     string
	program  string
	settings map[string]any
	folder   string // data folder; empty for gateways and controllers without a disk
	bin      string
	work     string
	// environment, unless it is nil, is that of the program.
	environment []string

	mu         sync.Mutex // held while a fault acts on the process
	command    *exec.Cmd
	done       chan struct{}
	started    time.Time
	stopping   bool      // it was asked to stop, or killed
	ended      time.Time // when it was killed, or had ended after it was asked to stop
	faultTimes intervals
	// standstills are times at which the process did not run, beside those of faultTimes. LogRead is
	// the length of its log that readStandstills has read.
	standstills intervals
	logRead     int64

	listenMu sync.Mutex
	listen   string // address for callers or operators
}

// listenAddress returns the address for callers or operators.
func (p *process) listenAddress() string {
	p.listenMu.Lock()
	defer p.listenMu.Unlock()
	return p.listen
}

// start writes the settings file and starts the program.
func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.work, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return merry.Prepend(err, "log file")
	}
	// The process writes to a pipe, since its file size limit would also act on a file.
	output := struct{ io.Writer }{log}
	p.command = exec.Command(filepath.Join(p.bin, p.program), "serve", "--settings", p.settingsPath())
	p.command.Stdout = output
	p.command.Stderr = output
	p.command.Env = p.environment
	if err := p.command.Start(); err != nil {
		log.Close()
		return merry.Prepend(err, p.name)
	}
	p.started = time.Now()
	p.stopping = false
	done := make(chan struct{})
	p.done = done
	command := p.command
	go func() {
		_ = command.Wait() // the log shows how it ended
		log.Close()
		close(done)
	}()
	return nil
}

func (p *process) settingsPath() string { return filepath.Join(p.work, p.name+".json") }

// writeSettings replaces the settings file atomically.
func (p *process) writeSettings() error {
	data, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		return merry.Prepend(err, "settings")
	}
	temporary := p.settingsPath() + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return merry.Prepend(err, "settings")
	}
	return merry.Prepend(os.Rename(temporary, p.settingsPath()), "settings")
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.stopping = true
	p.ended = time.Now()
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM and, after the grace period, SIGKILL, as the platform does.
func (p *process) stop() {
	p.stopping = true
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		p.ended = time.Now()
	case <-time.After(graceSeconds * time.Second):
		p.kill()
	}
}

// exitedUnexpectedly reports whether the process has exited without having been asked to
// stop.
func (p *process) exitedUnexpectedly() bool {
	if p.stopping {
		return false
	}
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// fleet holds all processes and the relays before the controllers. Controllers without a
// disk come last.
type fleet struct {
	controllers []*process
	gateways    []*process
	relays      []*Relay
	// gone are relays without power at the addresses of hosts that were replaced.
	gone []*Relay
}

// withDisk returns the controllers with a disk.
func (f *fleet) withDisk() []*process {
	n := 0
	for n < len(f.controllers) && f.controllers[n].folder != "" {
		n++
	}
	return f.controllers[:n]
}

// address returns the loopback address of a host.
func (s *Soak) address(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network, group, host)
}

// Groups of loopback addresses: the third byte.
const (
	groupController = 1 + iota
	groupRelayed    // the addresses that controllers' relays forward to
	groupGateway
	groupPlatform
	groupMisbehaving
)

// startFleet starts all processes, and a relay before each controller.
func (s *Soak) startFleet() error {
	seeds := make([]string, 0, 3)
	for i := range min(3, s.options.Controllers) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.address(groupController, i+1), operatorPort))
	}
	for i := range s.options.Controllers + s.options.DisklessControllers {
		if err := s.addController(i, seeds); err != nil {
			return err
		}
	}
	for i := range s.options.Gateways {
		host := s.address(groupGateway, i+1)
		name := fmt.Sprintf("gateway-%d", i+1)
		settings := map[string]any{
			"name":                 name,
			"zone":                 "zone-a",
			"listen":               fmt.Sprintf("%s:%d", host, callerPort),
			"ready_listen":         fmt.Sprintf("%s:%d", host, readyPort),
			"seeds":                seeds,
			"port":                 peerPort,
			"grace_seconds":        graceSeconds,
			"revoke_ms":            revokeTime.Milliseconds(),
			"retry_ratio":          retryRatio,
			"retry_slack":          retrySlack,
			"retry_window_seconds": retryWindow.Seconds(),
			"credential":           map[string]any{"private_network": true},
		}
		s.setLimits(settings, i)
		p := s.newProcess(name, "gateway", fmt.Sprintf("%s:%d", host, callerPort), "", settings)
		if s.options.Crowds > 0 {
			p.environment = append(os.Environ(), "GOMAXPROCS=1")
		}
		s.fleet.gateways = append(s.fleet.gateways, p)
	}
	for _, p := range s.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range s.fleet.controllers {
		p.settings["first_start"] = s.options.KeepFirstStart
	}
	return nil
}

// addController adds the controller with an index, which is not started yet, and the relay
// before it.
func (s *Soak) addController(i int, seeds []string) error {
	host := s.address(groupController, i+1)
	relayTarget := s.address(groupRelayed, i+1)
	relay, err := NewRelay(fmt.Sprintf("%s:%d", host, peerPort), fmt.Sprintf("%s:%d", relayTarget, peerPort))
	if err != nil {
		return merry.Prepend(err, "relay")
	}
	s.fleet.relays = append(s.fleet.relays, relay)
	name := fmt.Sprintf("controller-%d", i+1)
	settings := map[string]any{
		"name":            name,
		"zone":            "zone-a",
		"address":         host,
		"listen_address":  relayTarget,
		"port":            peerPort,
		"operator_listen": fmt.Sprintf("%s:%d", host, operatorPort),
		"seeds":           seeds,
		"first_start":     true,
		"tolerated_hosts": 1,
		"list_address":    fmt.Sprintf("%s:%d", s.address(groupPlatform, 1), listPort),
		"credential":      map[string]any{"private_network": true},
	}
	folder := ""
	if i < s.options.Controllers {
		folder = filepath.Join(s.options.WorkFolder, name+".data")
		settings["data_folder"] = folder
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return merry.Prepend(err, "data folder")
		}
	}
	s.fleet.controllers = append(s.fleet.controllers, s.newProcess(name, "controller", fmt.Sprintf("%s:%d", host, operatorPort), folder, settings))
	return nil
}

func (s *Soak) newProcess(name, program, listen, folder string, settings map[string]any) *process {
	return &process{
		name:     name,
		program:  program,
		listen:   listen,
		settings: settings,
		folder:   folder,
		bin:      s.options.Bin,
		work:     s.options.WorkFolder,
	}
}

// processes returns all processes, controllers first.
func (s *Soak) processes() []*process {
	return append(append([]*process(nil), s.fleet.controllers...), s.fleet.gateways...)
}

// stopFleet kills all processes and closes the relays, the list and the upstreams.
func (s *Soak) stopFleet() {
	for _, p := range s.processes() {
		if p.command != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, r := range append(s.fleet.relays, s.fleet.gone...) {
		r.Close()
	}
	if s.listListener != nil {
		s.listListener.Close()
	}
	for _, u := range s.upstreams {
		u.relay.Close()
		u.stop()
	}
}
