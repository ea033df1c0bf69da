package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the fleet, the same on every host. Each host has a loopback address of its own.
const (
	callerPort     = 8783
	readyPort      = 8780
	operatorPort   = 8785
	listPort       = 8781
	peerPort       = 7400
	gatewayMetrics = 9464
	controlMetrics = 9465
	upstreamPort   = 8080
)

// Bounds of the deployment, those of the site fournos-slots.
const (
	stableWindow = 3 * time.Second
	graceSeconds = 8
	listLag      = 800 * time.Millisecond
)

// host is a machine of class front with a gateway and a controller.
type host struct {
	name       string
	number     int
	ip         string
	zone       string
	disk       bool
	gateway    *process
	controller *process
}

// process is one of the project's programs.
type process struct {
	name     string
	program  string
	settings string
	log      string
	command  *exec.Cmd
	done     chan struct{}
}

// fleet holds the hosts and the stand-in of the platform.
type fleet struct {
	network int
	root    string
	work    string
	hosts   []*host
	list    *platformList
	record  *record
	// between connects the machines; nil if they are connected directly.
	between *network

	mu        sync.Mutex
	processes []*process
	stopped   bool // no process may be started any more
}

// address returns a loopback address of the run's own network.
func (f *fleet) address(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, group, number)
}

// freeNetwork returns the second byte of a loopback network in which nobody listens.
func freeNetwork() int {
	for i := range 200 {
		n := 20 + (os.Getpid()+i)%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, operatorPort))
		if err != nil {
			continue
		}
		l.Close()
		return n
	}
	return 19
}

// newFleet returns a fleet that is not started yet.
func newFleet(root, work string, r *record) *fleet {
	return &fleet{
		network: freeNetwork(),
		root:    root,
		work:    work,
		record:  r,
	}
}

// start starts the engines, the platform's list, three hosts with a disk and three without, and waits
// until all gateways are ready under the configuration.
func (f *fleet) start(list []*engine, configuration map[string]any) error {
	for _, e := range list {
		e.place(f)
		if err := e.start(); err != nil {
			return err
		}
	}
	f.list = newPlatformList(list)
	if err := f.list.start(fmt.Sprintf("%s:%d", f.address(9, 1), listPort)); err != nil {
		return err
	}
	for i := range 6 {
		f.hosts = append(f.hosts, &host{
			name:   fmt.Sprintf("front-%d", i+1),
			number: i + 1,
			ip:     f.address(1, i+1),
			zone:   zoneOf(i),
			disk:   i < 3,
		})
	}
	if f.between != nil {
		if err := f.between.start(f); err != nil {
			return err
		}
	}
	seeds := []string{}
	for _, h := range f.hosts[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h.ip, operatorPort))
	}
	for _, h := range f.hosts {
		if err := f.startHost(h, seeds, true); err != nil {
			return err
		}
	}
	if err := f.replaceConfiguration(configuration, 20*time.Second); err != nil {
		return err
	}
	return f.awaitReady(20 * time.Second)
}

func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

// startHost starts the programs of a host with the settings of the deploy file's templates.
func (f *fleet) startHost(h *host, seeds []string, first bool) error {
	folder := filepath.Join(f.work, h.name)
	controller := map[string]any{
		"name": h.name, "zone": h.zone, "zones": []string{"zone-a", "zone-b", "zone-c"},
		"address": h.ip, "port": peerPort,
		"operator_listen": fmt.Sprintf("%s:%d", h.ip, operatorPort),
		"metrics_listen":  fmt.Sprintf("%s:%d", h.ip, controlMetrics),
		"seeds":           seeds, "first_start": first, "tolerated_hosts": 1, "memory_mb": 284,
		"list_address": f.list.address,
		"credential":   map[string]any{"private_network": true},
	}
	if f.between != nil {
		controller["listen_address"] = f.address(2, h.number)
	}
	if h.disk {
		controller["data_folder"] = folder + ".data"
		if err := os.MkdirAll(folder+".data", 0o700); err != nil {
			return err
		}
	}
	gateway := map[string]any{
		"name": h.name, "zone": h.zone,
		"listen":         fmt.Sprintf("%s:%d", h.ip, callerPort),
		"ready_listen":   fmt.Sprintf("%s:%d", h.ip, readyPort),
		"metrics_listen": fmt.Sprintf("%s:%d", h.ip, gatewayMetrics),
		"seeds":          seeds, "port": peerPort, "memory_mb": 284, "max_open_files": 4100,
		"processor_share": 0.72, "grace_seconds": graceSeconds, "revoke_ms": 5000,
		"retry_ratio": 0.2, "retry_slack": 58, "retry_window_seconds": 10,
		"limits":     map[string]any{"caller_connections": 1400},
		"credential": map[string]any{"private_network": true},
	}
	var err error
	if h.controller, err = f.startProcess(h.name+"-controller", "controller", controller); err != nil {
		return err
	}
	h.gateway, err = f.startProcess(h.name+"-gateway", "gateway", gateway)
	return err
}

func (f *fleet) startProcess(name, program string, settings map[string]any) (*process, error) {
	data, err := json.MarshalIndent(settings, "", "\t")
	if err != nil {
		return nil, err
	}
	p := &process{
		name:     name,
		program:  program,
		settings: filepath.Join(f.work, name+".json"),
		log:      filepath.Join(f.work, name+".log"),
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, f.run(p)
}

// errStopped means that the fleet is being stopped.
var errStopped = errors.New("the fleet is stopped")

// run starts a process unless the fleet is being stopped.
func (f *fleet) run(p *process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return errStopped
	}
	return p.start(f.root)
}

// start runs the command of the deploy file.
func (p *process) start(root string) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(root, "target", p.program), "serve")
	command.Dir = root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "BAOBABPADDLE_SETTINGS=" + p.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		log.Close()
		return err
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		_ = command.Wait()
		log.Close()
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p != nil && p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends all processes of the fleet.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, p := range f.processes {
		if p.done != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if f.list != nil {
		f.list.stop()
	}
	if f.between != nil {
		f.between.stop()
	}
}

var operatorClient = &http.Client{
	Timeout: time.Second,
}

// replaceConfiguration sends a configuration to the controllers in turn until one acknowledges it.
func (f *fleet) replaceConfiguration(c map[string]any, within time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); {
		for _, h := range f.hosts {
			request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/v1/configuration", h.ip, operatorPort), bytes.NewReader(body))
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := operatorClient.Do(request)
			if err != nil {
				last = err.Error()
				continue
			}
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.record.line("operator: configuration %v acknowledged by %s", c["version"], h.name)
				return nil
			}
			last = fmt.Sprint(response.StatusCode, " ", string(text))
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %v was not acknowledged: %s", c["version"], last)
}

func (h *host) ready() bool {
	response, err := operatorClient.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range f.hosts {
			all = all && h.ready()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready")
}

// leader returns the host whose controller logged last that it leads.
func (f *fleet) leader() *host {
	var found *host
	last := ""
	for _, h := range f.hosts[:3] {
		data, err := os.ReadFile(h.controller.log)
		if err != nil {
			continue
		}
		at, leads := "", false
		for _, text := range bytes.Split(data, []byte("\n")) {
			var l struct {
				Time string `json:"time"`
				Msg  string `json:"msg"`
				Role string `json:"role"`
			}
			if json.Unmarshal(text, &l) == nil && l.Msg == "role changed" {
				at, leads = l.Time, l.Role == "leader"
			}
		}
		if leads && at > last {
			found, last = h, at
		}
	}
	return found
}

// rollLeader stops the leading machine with SIGTERM and starts it again.
func (f *fleet) rollLeader() {
	h := f.leader()
	if h == nil {
		f.record.line("no leader is known")
		return
	}
	f.record.line("%s, which leads, gets SIGTERM", h.name)
	for _, p := range []*process{h.controller, h.gateway} {
		p.signal(syscall.SIGTERM)
	}
	var wait sync.WaitGroup
	for _, p := range []*process{h.controller, h.gateway} {
		wait.Go(func() {
			select {
			case <-p.done:
			case <-time.After(graceSeconds * time.Second):
				p.kill()
			}
			if err := f.restart(p); err != nil {
				f.record.line("%s: %v", p.name, err)
				return
			}
			f.record.line("%s is started again", p.name)
		})
	}
	wait.Wait()
}

// restart starts a process again; it is not the first start of the fleet any more.
func (f *fleet) restart(p *process) error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	data = bytes.Replace(data, []byte(`"first_start": true`), []byte(`"first_start": false`), 1)
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return err
	}
	return f.run(p)
}
