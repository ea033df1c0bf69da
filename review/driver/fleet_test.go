package driver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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
	peerPort     = 7400
	operatorPort = 8785
	callerPort   = 8783
	readyPort    = 8780
	listPort     = 8781
	upstreamPort = 8443
)

// Bounds of the small deployment, as in the site files.
const (
	graceSeconds = 8
	revokeMillis = 5000
	configTime   = 2 * time.Second
	stableWindow = 3 * time.Second
)

// started holds all processes that were started, to end them with the case.
var started struct {
	mu    sync.Mutex
	over  bool // no process may be started any more
	procs []*process
}

// errOver is returned for a process that is to be started after the end of the case.
var errOver = errors.New("the case is over")

// endProcesses ends all processes and lets none start any more.
func endProcesses() {
	started.mu.Lock()
	defer started.mu.Unlock()
	started.over = true
	for _, p := range started.procs {
		p.kill()
	}
}

// process is a program of the fleet or a stand-in.
type process struct {
	name    string
	argv    []string
	env     []string
	folder  string // working directory
	logPath string

	command *exec.Cmd
	done    chan struct{}
}

// start starts the program with its output in the log file.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(p.argv[0], p.argv[1:]...)
	p.command.Dir = p.folder
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	p.command.Stdout = log
	p.command.Stderr = log
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.over {
		return errOver
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	started.procs = append(started.procs, p)
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait() // the log shows how it ended
		close(done)
	}(p.command, p.done)
	return nil
}

// running reports whether the process was started and has not ended.
func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	if !p.running() {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// fleet is a small deployment on a loopback network of its own.
type fleet struct {
	root    string // of the repository
	work    string // temporary folder
	network string // the first three bytes of the addresses
	record  *record

	controllers []*process
	gateways    []*process
	list        *upstreamList

	mu sync.Mutex
	// added are controllers that were started later, numbered after the first ones.
	added []*process
}

// members returns all controllers, those that were added later last.
func (f *fleet) members() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(append([]*process(nil), f.controllers...), f.added...)
}

// newFleet returns a fleet of controllers with a disk each and gateways; nothing runs yet.
func newFleet(root string, controllers, gateways int, rec *record) (*fleet, error) {
	work, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		root:   root,
		work:   work,
		record: rec,
	}
	if f.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range controllers {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.controllerHost(i), operatorPort))
	}
	for i := range controllers {
		data := filepath.Join(work, fmt.Sprintf("controller-%d.data", i+1))
		if err := os.Mkdir(data, 0o700); err != nil {
			return nil, err
		}
		p, err := f.program("controller", i, f.controllerSettings(i, seeds, data, true))
		if err != nil {
			return nil, err
		}
		f.controllers = append(f.controllers, p)
	}
	for i := range gateways {
		p, err := f.program("gateway", i, f.gatewaySettings(i, seeds))
		if err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, p)
	}
	f.list = &upstreamList{}
	return f, nil
}

// controllerSettings are those of deploy/controller.json for one host.
func (f *fleet) controllerSettings(i int, seeds []string, data string, firstStart bool) map[string]any {
	return map[string]any{
		"name":            fmt.Sprintf("controller-%d", i+1),
		"zone":            "zone-a",
		"address":         f.controllerHost(i),
		"port":            peerPort,
		"operator_listen": fmt.Sprintf("%s:%d", f.controllerHost(i), operatorPort),
		"data_folder":     data,
		"metrics_listen":  f.controllerHost(i) + ":9465",
		"seeds":           seeds,
		"first_start":     firstStart,
		"tolerated_hosts": 1,
		"memory_mb":       284,
		"list_address":    fmt.Sprintf("%s.100:%d", f.network, listPort),
		"credential":      map[string]any{"private_network": true},
	}
}

// gatewaySettings are those of deploy/gateway.json for one host.
func (f *fleet) gatewaySettings(i int, seeds []string) map[string]any {
	return map[string]any{
		"name":                 fmt.Sprintf("gateway-%d", i+1),
		"zone":                 "zone-a",
		"listen":               f.gatewayAddress(i),
		"ready_listen":         fmt.Sprintf("%s:%d", f.gatewayHost(i), readyPort),
		"metrics_listen":       f.gatewayHost(i) + ":9464",
		"seeds":                seeds,
		"port":                 peerPort,
		"memory_mb":            284,
		"max_open_files":       4100,
		"grace_seconds":        graceSeconds,
		"revoke_ms":            revokeMillis,
		"retry_ratio":          0.2,
		"retry_slack":          58,
		"retry_window_seconds": 10,
		"credential":           map[string]any{"private_network": true},
	}
}

// program returns a process with the command of the deploy file and its settings file.
func (f *fleet) program(role string, i int, settings map[string]any) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, i+1)
	path := filepath.Join(f.work, name+".json")
	p := &process{
		name:    name,
		argv:    []string{filepath.Join(f.root, "target", role), "serve"},
		env:     []string{"BAOBABPADDLE_SETTINGS=" + path},
		folder:  f.root,
		logPath: filepath.Join(f.work, name+".log"),
	}
	return p, writeJSON(path, settings)
}

// writeJSON replaces a file atomically.
func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// settingsPath returns the settings file of a process.
func (f *fleet) settingsPath(p *process) string { return filepath.Join(f.work, p.name+".json") }

func (f *fleet) controllerHost(i int) string { return fmt.Sprintf("%s.%d", f.network, 1+i) }
func (f *fleet) gatewayHost(i int) string    { return fmt.Sprintf("%s.%d", f.network, 41+i) }
func (f *fleet) upstreamHost(i int) string   { return fmt.Sprintf("%s.%d", f.network, 101+i) }

func (f *fleet) gatewayAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.gatewayHost(i), callerPort)
}

func (f *fleet) upstreamAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.upstreamHost(i), upstreamPort)
}

func (f *fleet) operatorAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.controllerHost(i), operatorPort)
}

// freeNetwork returns a loopback network on which nothing listens at the ports used.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for _, port := range []int{peerPort, operatorPort, callerPort, readyPort, listPort, upstreamPort, 9464, 9465} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no loopback network with free ports")
}

// start starts the platform's list and all processes.
func (f *fleet) start() error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.100:%d", f.network, listPort))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, f.list) }()
	for _, p := range append(append([]*process(nil), f.controllers...), f.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	endProcesses()
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		_ = os.CopyFS(folder, os.DirFS(f.work))
	}
	_ = os.RemoveAll(f.work)
}

// ready reports whether a gateway answers the load balancer with 200.
func (f *fleet) ready(i int) bool {
	client := http.Client{
		Timeout: time.Second,
	}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", f.gatewayHost(i), readyPort))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for i := range f.gateways {
			all = all && f.ready(i)
		}
		if all {
			return nil
		}
	}
	return errors.New("the gateways did not become ready")
}

// operator is the client of the operator's API. It follows redirects and moves on to the
// next controller after a failure.
type operator struct {
	fleet  *fleet
	client http.Client
	next   int
}

func newOperator(f *fleet) *operator {
	return &operator{
		fleet: f,
		client: http.Client{
			Timeout: time.Second,
		},
	}
}

// put sends a configuration once to a controller and returns the status, or an error.
func (o *operator) put(i int, document []byte) (int, error) {
	r, err := http.NewRequest(http.MethodPut, "http://"+o.fleet.operatorAddress(i)+"/v1/configuration", bytes.NewReader(document))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// replace sends a configuration until it is acknowledged.
func (o *operator) replace(c *configuration, limit time.Duration) error {
	document, err := json.Marshal(c)
	if err != nil {
		return err
	}
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, err := o.put(o.next, document)
		if err == nil && status == http.StatusOK {
			o.fleet.record.add("operator: configuration %d confirmed by %s", c.Version, o.fleet.members()[o.next].name)
			return nil
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
		if status == http.StatusBadRequest {
			break
		}
		o.next = (o.next + 1) % len(o.fleet.members())
	}
	return fmt.Errorf("configuration %d was not acknowledged: %s", c.Version, last)
}

// configuration is what the operator sends, under the names of deploy/wire.toml.
type configuration struct {
	Version  uint64    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Teams    []team    `json:"teams"`
}

type route struct {
	Name             string   `json:"name"`
	Host             string   `json:"host"`
	PathPrefix       string   `json:"path_prefix"`
	Kind             string   `json:"kind"`
	TimeoutMillis    int      `json:"timeout_ms"`
	ObjectiveMillis  int      `json:"latency_objective_ms"`
	PauseMillis      int      `json:"pause_objective_ms,omitempty"`
	Priority         int      `json:"priority"`
	Service          string   `json:"service,omitempty"`
	ServicesByWeight []weight `json:"services_by_weight,omitempty"`
	MaxUpstreams     int      `json:"max_upstreams"`
	WithoutKey       bool     `json:"without_key"`
	ModelRequests    bool     `json:"model_requests"`
	Resumable        bool     `json:"resumable"`
}

type weight struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	Engine         *engine `json:"engine,omitempty"`
}

type engine struct {
	Slots          int `json:"slots"`
	KVTokens       int `json:"kv_tokens"`
	TokensPerEvent int `json:"tokens_per_event"`
}

type limits struct {
	MaxHeaderBytes      int `json:"max_header_bytes"`
	MaxBodyBytes        int `json:"max_body_bytes"`
	HeaderTimeoutMillis int `json:"header_timeout_ms"`
	IdleTimeoutMillis   int `json:"idle_timeout_ms"`
	TokensPerSecond     int `json:"tokens_per_second"`
}

type team struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
}

// Names in the configurations of the cases.
const (
	host = "ficu95.example"
	key  = "asnmgkcuyj8pjbvk9m68"
)

// newConfiguration returns a configuration with one team and the limits of the pages.
func newConfiguration(version uint64, services []service, routes []route) *configuration {
	return &configuration{
		Version:  version,
		Services: services,
		Routes:   routes,
		Limits: limits{
			MaxHeaderBytes:      16384,
			MaxBodyBytes:        4194304,
			HeaderTimeoutMillis: 3000,
			IdleTimeoutMillis:   15000,
			TokensPerSecond:     280000,
		},
		Teams: []team{
			{
				Name: "hule930",
				Keys: []string{key},
			},
		},
	}
}

// plainService returns a service without model engines.
func plainService(name string) service {
	return service{
		Name:           name,
		HealthPath:     "/healthz",
		MaxConnections: 120,
		Protocol:       "h1",
	}
}

// modelService returns a service of model engines.
func modelService(name string) service {
	s := plainService(name)
	s.MaxConnections = 380
	s.Engine = &engine{
		Slots:          64,
		KVTokens:       556269,
		TokensPerEvent: 5,
	}
	return s
}

// listEntry is an upstream in the platform's list.
type listEntry struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"cold_left_ms"`
}

// upstreamList is the platform's list.
type upstreamList struct {
	mu      sync.Mutex
	entries []listEntry
}

// set replaces the entry with the same address, or adds one.
func (l *upstreamList) set(e listEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].Address == e.Address {
			l.entries[i] = e
			return
		}
	}
	l.entries = append(l.entries, e)
}

// ServeHTTP implements http.Handler.
func (l *upstreamList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"upstreams": append([]listEntry{}, l.entries...),
		"next":      nil,
	})
}

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:    f,
		started: time.Now(),
	}, nil
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
