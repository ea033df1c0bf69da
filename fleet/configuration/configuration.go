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

// Kind classifies a route's requests by whether they may be retried.
type Kind string

// The kinds of requests.
const (
	// Safe requests are idempotent: they may run any number of times.
	Safe Kind = "safe"
	// Unsafe requests are not idempotent: they run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a stream of events. They run at most once
	// unless the route is Resumable.
	Stream Kind = "stream"
)

// Configuration is the document that operators replace as a whole.
type Configuration struct {
	// Version is chosen by the operator. It increases with each change, but not
	// necessarily by one.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Teams    []Team    `json:"teams"`
}

// Route directs the requests for one host and path prefix to a service.
type Route struct {
	Name string `json:"name"`
	// Host is compared without regard to case and without a port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash. Of several routes that match a
	// request's path, the one with the longest prefix applies.
	PathPrefix string `json:"path_prefix"`
	Kind       Kind   `json:"kind"`
	// TimeoutMillis is the maximum duration of a request. It is over zero.
	TimeoutMillis int64 `json:"timeout_ms"`
	// ObjectiveMillis is the latency objective: the time within which an answer,
	// or the first event of a stream, should arrive.
	ObjectiveMillis int64 `json:"latency_objective_ms"`
	// PauseObjectiveMillis is the objective for the time between two events of a
	// stream. Zero sets none.
	PauseObjectiveMillis int64 `json:"pause_objective_ms"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority"`
	// Service receives all requests when Split is empty.
	Service string `json:"service"`
	// Split divides the requests among services in proportion to their weights.
	Split []WeightedService `json:"services_by_weight"`
	// MaxUpstreams is the maximum number of upstreams that one request may be sent
	// to.
	MaxUpstreams int `json:"max_upstreams"`
	// WithoutKey is true for routes whose requests need no team's key.
	WithoutKey bool `json:"without_key"`
	// ModelRequests is true where requests describe their prompt and its parts.
	ModelRequests bool `json:"model_requests"`
	// Resumable streams may be continued at another upstream after the last event
	// received.
	Resumable bool `json:"resumable"`
}

// WeightedService is one target of a route that splits its requests.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int64  `json:"weight"`
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections is the number of connections that one upstream accepts from
	// all clients together.
	MaxConnections int `json:"max_connections"`
	// ColdSeconds is the time for which an upstream is cold after it has started, and
	// ColdRequestsPerSecond the number of requests that it takes in any second meanwhile, from
	// all gateways together. Upstreams are never cold if one of them is zero.
	ColdSeconds           float64 `json:"cold_seconds,omitempty"`
	ColdRequestsPerSecond float64 `json:"cold_requests_per_second,omitempty"`
	// Engine is set for services whose upstreams are model engines.
	Engine *Engine `json:"engine"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// KVTokens is the capacity of an engine's KV cache in tokens, which running
	// requests and cached prefixes share.
	KVTokens int64 `json:"kv_tokens"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokens_per_event"`
}

// Limits bound what callers may send and state the capacity of the fleet.
type Limits struct {
	MaxHeaderBytes      int   `json:"max_header_bytes"`
	MaxBodyBytes        int64 `json:"max_body_bytes"`
	HeaderTimeoutMillis int64 `json:"header_timeout_ms"`
	IdleTimeoutMillis   int64 `json:"idle_timeout_ms"`
	// TokensPerSecond is the throughput of all engines together. A prompt token
	// counts once, a generated token twice.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// Team is a group of callers that share capacity.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrides the route's when it is set.
	Priority *int `json:"priority"`
}

// Parse decodes and checks a configuration. Unknown fields are ignored; any other
// fault, also data after the document, gives an error that wraps ErrInvalid.
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
