package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid is wrapped by every error about the content of a configuration.
var ErrInvalid = merry.Sentinel("invalid configuration")

// Kind tells what may be repeated of a route's requests.
type Kind string

// The kinds of requests.
const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a series of events. They are unsafe unless
	// the route is Resumable.
	Stream Kind = "stream"
)

// Configuration is everything that operators decide, as one.
type Configuration struct {
	// Version is given by the operator; versions increase in uneven steps.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Teams    []Team    `json:"teams"`
}

// Route tells where the requests of one host below one path go.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash. The longest one that begins a
	// request's path decides.
	PathPrefix string `json:"path_prefix"`
	Kind       Kind   `json:"kind"`
	// TimeoutMillis is how long a request may take at most.
	TimeoutMillis int64 `json:"timeout_ms"`
	// ObjectiveMillis is the time within which an answer, or the first event of
	// a stream, is on time.
	ObjectiveMillis int64 `json:"latency_objective_ms"`
	// PauseObjectiveMillis is the longest pause between two events of a stream
	// that is on time.
	PauseObjectiveMillis int64 `json:"pause_objective_ms"`
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int `json:"priority"`
	// Service takes all requests when there are no Split parts.
	Service string `json:"service"`
	// Split divides the requests among services by weight.
	Split []WeightedService `json:"services_by_weight"`
	// MaxUpstreams is to how many upstreams one request may be sent.
	MaxUpstreams int `json:"max_upstreams"`
	// WithoutKey is true for routes that need no team's key.
	WithoutKey bool `json:"without_key"`
	// ModelRequests is true where requests tell their prompt and its parts.
	ModelRequests bool `json:"model_requests"`
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool `json:"resumable"`
}

// WeightedService is one service's share of a route.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int64  `json:"weight"`
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections is how many connections an upstream takes from everybody.
	MaxConnections int     `json:"max_connections"`
	Engine         *Engine `json:"engine"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots"`
	// KVTokens is an engine's memory for running requests and kept prefixes.
	KVTokens int64 `json:"kv_tokens"`
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int `json:"tokens_per_event"`
}

// Limits bound what callers may send and what the fleet can do.
type Limits struct {
	MaxHeaderBytes      int   `json:"max_header_bytes"`
	MaxBodyBytes        int64 `json:"max_body_bytes"`
	HeaderTimeoutMillis int64 `json:"header_timeout_ms"`
	IdleTimeoutMillis   int64 `json:"idle_timeout_ms"`
	// TokensPerSecond is what all engines do together. A token read counts once,
	// a token generated counts twice.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// Team is a group of callers that share capacity.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority goes before the route's when it is set.
	Priority *int `json:"priority"`
}

// Parse reads and checks a configuration. Fields it doesn't know are ignored;
// anything that can't be read in full is refused with ErrInvalid.
func Parse(document []byte) (*Configuration, error) {
	var c Configuration
	decoder := json.NewDecoder(bytes.NewReader(document))
	if err := decoder.Decode(&c); err != nil {
		return nil, merry.Prependf(ErrInvalid, "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, merry.Prepend(ErrInvalid, "something follows the configuration")
	}
	if err := c.Check(); err != nil {
		return nil, merry.Prependf(ErrInvalid, "%v", err)
	}
	return &c, nil
}
