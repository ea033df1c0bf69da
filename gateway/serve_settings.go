package main

import (
	"cmp"
	"net/netip"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/settings"
)

// ServeSettings are the settings of a gateway that reaches upstreams directly.
type ServeSettings struct {
	// Name is the gateway's name in logs.
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Listen is the IP address and port for callers.
	Listen string `json:"listen"`
	// ReadyListen is the address at which the platform's load balancer checks readiness.
	ReadyListen string `json:"ready_listen"`
	// AdminListen is the loopback address for metrics and health checks; empty means none.
	AdminListen string `json:"admin_listen,omitempty"`
	// MetricsListen is the address at which other hosts read metrics; empty means none.
	MetricsListen string `json:"metrics_listen,omitempty"`
	// Seeds are the operator addresses of some controllers.
	Seeds []string `json:"seeds"`
	// Port is the port of controllers for the fleet's processes, the same on all hosts.
	Port int `json:"port"`
	// MemoryMB is the memory limit of the process in MiB; zero means no limit.
	MemoryMB int `json:"memory_mb,omitempty"`
	// MaxOpenFiles is the maximum number of files and connections that the process may have
	// open; zero means no limit.
	MaxOpenFiles int `json:"max_open_files,omitempty"`
	// ProcessorShare is the fraction of a core that the process may use; zero means unknown.
	ProcessorShare float64 `json:"processor_share,omitempty"`
	// GraceSeconds is the time from the signal to stop until the platform kills the process.
	GraceSeconds float64 `json:"grace_seconds"`
	// RevokeMillis is the time in milliseconds after which a revoked key must no longer be
	// served by any gateway, including one that is cut off from the controllers.
	RevokeMillis int `json:"revoke_ms"`
	// RetryRatio is the number of retries at another upstream that the fleet may make for
	// each request of a service.
	RetryRatio float64 `json:"retry_ratio"`
	// RetrySlack is the number of retries that the whole fleet may make for a service in
	// addition within the window.
	RetrySlack float64 `json:"retry_slack"`
	// RetryWindowSeconds is the length of the sliding window for both limits.
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
	// Limits bounds what the process holds for callers and upstreams.
	Limits HeldLimits `json:"limits,omitempty"`
	// Answers limits what upstreams may send.
	Answers AnswerLimits `json:"answers,omitempty"`
	// Credential authenticates the gateway to the fleet's other processes.
	Credential credential.Settings `json:"credential"`
}

// AnswerLimits limits what an upstream may send. Zero fields take the defaults.
type AnswerLimits struct {
	// HeadBytes is the maximum size of an answer's head, including interim answers.
	HeadBytes int `json:"head_bytes,omitempty"`
	// Interim is the maximum number of interim answers (status 1xx) before an answer.
	Interim int `json:"interim,omitempty"`
	// HeldBytes is the maximum size of a non-streamed answer that is read completely before
	// it is passed on.
	HeldBytes int `json:"held_bytes,omitempty"`
	// AnswerBytes is the maximum size of a non-streamed answer.
	AnswerBytes int64 `json:"answer_bytes,omitempty"`
	// EventBytes is the maximum size of one event of a stream.
	EventBytes int `json:"event_bytes,omitempty"`
}

// Defaults of AnswerLimits. They are well above what services and models send, and small
// enough that dozens of connections at the limit fit into the memory of a small host.
const (
	defaultAnswerHeadBytes = 64 << 10
	defaultInterim         = 8
	defaultHeldBytes       = 256 << 10
	defaultAnswerBytes     = 64 << 20
	defaultEventBytes      = 256 << 10
)

// setDefaults replaces zero fields with the defaults.
func (a *AnswerLimits) setDefaults() {
	a.HeadBytes = cmp.Or(a.HeadBytes, defaultAnswerHeadBytes)
	a.Interim = cmp.Or(a.Interim, defaultInterim)
	a.HeldBytes = cmp.Or(a.HeldBytes, defaultHeldBytes)
	a.AnswerBytes = cmp.Or(a.AnswerBytes, defaultAnswerBytes)
	a.EventBytes = cmp.Or(a.EventBytes, defaultEventBytes)
}

// Check returns an error for the first field that is out of range.
func (a *AnswerLimits) Check() error {
	return settings.FirstError(
		settings.Between("answers.head_bytes", a.HeadBytes, 0, maxLimitBytes),
		settings.Between("answers.interim", a.Interim, 0, maxInterim),
		settings.Between("answers.held_bytes", a.HeldBytes, 0, maxLimitBytes),
		settings.Between("answers.answer_bytes", int(a.AnswerBytes), 0, maxLimitBytes),
		settings.Between("answers.event_bytes", a.EventBytes, 0, maxLimitBytes),
	)
}

// Ranges of the settings.
const (
	maxPort         = 65535
	maxMemoryMB     = 1 << 20
	maxOpenFiles    = 1 << 24
	minRevokeMillis = 1000
	maxRevokeMillis = 3_600_000
	maxLimitBytes   = 1 << 30
	maxInterim      = 1000
)

// Check implements settings.Checker.
func (s *ServeSettings) Check() error {
	if s.GraceSeconds <= 0 {
		return merry.New("grace_seconds: must be over zero")
	}
	if s.ProcessorShare < 0 {
		return merry.New("processor_share: must not be negative")
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindowSeconds <= 0 {
		return merry.New("retry_ratio: retry_ratio and retry_slack must not be negative, retry_window_seconds must be over zero")
	}
	return settings.FirstError(
		settings.NotEmpty("name", s.Name),
		settings.NotEmpty("zone", s.Zone),
		settings.Address("listen", s.Listen),
		settings.Address("ready_listen", s.ReadyListen),
		settings.OptionalLoopback("admin_listen", s.AdminListen),
		settings.OptionalAddress("metrics_listen", s.MetricsListen),
		settings.Addresses("seeds", s.Seeds),
		settings.Between("port", s.Port, 1, maxPort),
		settings.Between("memory_mb", s.MemoryMB, 0, maxMemoryMB),
		settings.Between("max_open_files", s.MaxOpenFiles, 0, maxOpenFiles),
		settings.Between("revoke_ms", s.RevokeMillis, minRevokeMillis, maxRevokeMillis),
		s.Limits.Check(),
		s.Answers.Check(),
		s.Credential.Check(),
	)
}

// controllerAddresses returns the addresses of the seeds for the fleet's processes.
func (s *ServeSettings) controllerAddresses() []string {
	out := make([]string, len(s.Seeds))
	for i, seed := range s.Seeds {
		out[i] = netip.MustParseAddrPort(seed).Addr().String() + ":" + strconv.Itoa(s.Port)
	}
	return out
}

// host returns the address at which callers reach this host, or empty if it listens on all.
func (s *ServeSettings) host() string {
	listen, err := netip.ParseAddrPort(s.Listen)
	if err != nil || listen.Addr().IsUnspecified() {
		return ""
	}
	return listen.Addr().String()
}

// proofLifetime returns how long teams' keys are served after a proof that the configuration
// was the newest.
func (s *ServeSettings) proofLifetime() time.Duration {
	return time.Duration(proofFraction * float64(s.RevokeMillis) * float64(time.Millisecond))
}

// Timings and limits of a gateway that reaches upstreams directly.
const (
	// proofFraction is the fraction of RevokeMillis for which a proof is valid. The rest
	// allows for clocks that run at different rates.
	proofFraction      = 0.85
	serveLinkHeartbeat = 300 * time.Millisecond
	serveDialTimeout   = 400 * time.Millisecond
	// readyCheckInterval is the interval of the load balancer's readiness checks.
	readyCheckInterval = time.Second
	// unreadyDelay is how long new connections may still arrive after the gateway stopped
	// being ready: the load balancer removes it after two failed checks.
	unreadyDelay = 2*readyCheckInterval + 500*time.Millisecond
	// killMargin is how long a drain goes on after the grace period, in case the platform
	// kills the process later than announced. Cutting off answers earlier gains nothing.
	killMargin    = 2 * time.Second
	pruneInterval = time.Second
	// maxCallerHeadBytes limits the heads of callers' requests before the limit of the
	// configuration is applied.
	maxCallerHeadBytes = 256 << 10
	// memoryFraction is the fraction of MemoryMB that is the Go runtime's soft memory limit,
	// above which it collects garbage more often. The rest is for the program's text, for what
	// has arrived and is not read, and for what the runtime uses beyond the limit meanwhile.
	memoryFraction = 0.65
	// gcPercent lets the heap grow to five times the live heap before garbage is collected;
	// with the default, heaps of some megabytes are collected too often. The memory limit
	// takes precedence.
	gcPercent = 400
)
