package resource

import (
	"encoding/hex"
	"net"
	"net/netip"
	"net/url"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Limits of the fields of specifications.
const (
	MaxWeight     = 1000.0
	MaxKeyHashes  = 16
	MaxRoutes     = 256
	MaxModels     = 64
	MaxRunning    = 4096
	MaxWaitLimit  = 3600 // in seconds; the limit of MaxWaitSeconds
	keyHashBytes  = 32
	maxBodyBytes  = 64 << 20
	maxModelBytes = 4 << 40
)

// Team is a group of callers that share capacity under one weight.
type Team struct {
	// Weight is the team's share of capacity relative to other teams, up to
	// MaxWeight; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// KeyHashes are the SHA-256 hashes of the team's bearer keys, in lower-case
	// hexadecimal.
	KeyHashes []string `json:"key_hashes"`
	// Services are the services that the team may call; empty means all.
	Services []string `json:"services,omitempty"`
	// MaxWaiting bounds the team's queued requests at one gateway; zero means the
	// gateway's own bound.
	MaxWaiting int `json:"max_waiting,omitempty"`
}

func (t *Team) check() error {
	if t.Weight < 0 || t.Weight > MaxWeight {
		return merry.Prependf(ErrInvalid, "weight: want 0 to %g", MaxWeight)
	}
	if len(t.KeyHashes) > MaxKeyHashes {
		return merry.Prependf(ErrInvalid, "key_hashes: at most %d", MaxKeyHashes)
	}
	for _, h := range t.KeyHashes {
		if b, err := hex.DecodeString(h); err != nil || len(b) != keyHashBytes || strings.ToLower(h) != h {
			return merry.Prependf(ErrInvalid, "key_hashes: %q is no lower-case hexadecimal SHA-256", h)
		}
	}
	if t.MaxWaiting < 0 {
		return merry.Prepend(ErrInvalid, "max_waiting: must not be negative")
	}
	return nil
}

// ServiceType selects the protocol of a service.
type ServiceType string

// The types of services.
const (
	// ServiceModel is a pool of model engines with chat completions.
	ServiceModel ServiceType = "model"
	// ServicePlain is any other HTTP service.
	ServicePlain ServiceType = "plain"
)

// Route is an HTTP method and a path prefix of a service.
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Service is a service that callers name and upstreams serve.
type Service struct {
	Type ServiceType `json:"type"`
	// Models are the names of the models that a model service offers. Requests for
	// one of these models go to the service.
	Models []string `json:"models,omitempty"`
	// IdempotentRoutes are routes whose requests may be retried in addition to
	// those with a method that RFC 9110 defines as idempotent.
	IdempotentRoutes []Route `json:"idempotent_routes,omitempty"`
	// MaxBodyBytes bounds the body of a request; zero means 1 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxWaitSeconds bounds the time that a request may wait before it starts; zero
	// means 60.
	MaxWaitSeconds int `json:"max_wait_seconds,omitempty"`
}

func (s *Service) check() error {
	if s.Type != ServiceModel && s.Type != ServicePlain {
		return merry.Prependf(ErrInvalid, "type: want %q or %q", ServiceModel, ServicePlain)
	}
	if s.Type == ServiceModel && len(s.Models) == 0 || len(s.Models) > MaxModels {
		return merry.Prependf(ErrInvalid, "models: want 1 to %d", MaxModels)
	}
	if s.Type == ServicePlain && len(s.Models) > 0 {
		return merry.Prepend(ErrInvalid, "models: a plain service has none")
	}
	if len(s.IdempotentRoutes) > MaxRoutes {
		return merry.Prependf(ErrInvalid, "idempotent_routes: at most %d", MaxRoutes)
	}
	for _, r := range s.IdempotentRoutes {
		if r.Method == "" || !strings.HasPrefix(r.Path, "/") {
			return merry.Prepend(ErrInvalid, "idempotent_routes: want a method and a path that begins with /")
		}
	}
	if s.MaxBodyBytes < 0 || s.MaxBodyBytes > maxBodyBytes {
		return merry.Prependf(ErrInvalid, "max_body_bytes: want 0 to %d", maxBodyBytes)
	}
	if s.MaxWaitSeconds < 0 || s.MaxWaitSeconds > MaxWaitLimit {
		return merry.Prependf(ErrInvalid, "max_wait_seconds: want 0 to %d", MaxWaitLimit)
	}
	return nil
}

// UpstreamState is the state that operators request for an upstream.
type UpstreamState string

// The states of an upstream.
const (
	// UpstreamActive upstreams receive requests.
	UpstreamActive UpstreamState = "active"
	// UpstreamDraining upstreams finish their requests and receive no new ones.
	UpstreamDraining UpstreamState = "draining"
)

// Upstream is one model engine or one instance of a plain service.
type Upstream struct {
	Service string `json:"service"`
	// Host is the name of the host in the platform's list of hosts.
	Host string `json:"host"`
	// Zone is the host's availability zone.
	Zone string `json:"zone"`
	// Sidecar is the IP address and port of the sidecar in front of the upstream.
	Sidecar string `json:"sidecar"`
	// URL is the URL, with IP address and port, by which the sidecar reaches the
	// upstream.
	URL string `json:"url"`
	// MaxRunning is the upstream's concurrency limit, from 1 to MaxRunning.
	MaxRunning int `json:"max_running"`
	// ChecksFencing is true if the upstream refuses orders with an outdated fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// State is UpstreamActive when empty.
	State UpstreamState `json:"state,omitempty"`
}

func (u *Upstream) check() error {
	if !namePattern.MatchString(u.Service) {
		return merry.Prepend(ErrInvalid, "service: want a service's name")
	}
	if u.Zone == "" || u.Host == "" {
		return merry.Prepend(ErrInvalid, "host and zone: must not be empty")
	}
	if _, err := netip.ParseAddrPort(u.Sidecar); err != nil {
		return merry.Prependf(ErrInvalid, "sidecar: %q is no IP address and port", u.Sidecar)
	}
	if err := checkURL(u.URL); err != nil {
		return err
	}
	if u.MaxRunning < 1 || u.MaxRunning > MaxRunning {
		return merry.Prependf(ErrInvalid, "max_running: want 1 to %d", MaxRunning)
	}
	if u.State != "" && u.State != UpstreamActive && u.State != UpstreamDraining {
		return merry.Prependf(ErrInvalid, "state: want %q or %q", UpstreamActive, UpstreamDraining)
	}
	return nil
}

// checkURL checks that text is an http or https URL with an IP address and a port and
// without a query.
func checkURL(text string) error {
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.RawQuery != "" {
		return merry.Prependf(ErrInvalid, "url: %q is no http or https URL", text)
	}
	host, _, err := net.SplitHostPort(parsed.Host)
	if err != nil {
		return merry.Prependf(ErrInvalid, "url: %q names no port", text)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return merry.Prependf(ErrInvalid, "url: %q names no IP address", text)
	}
	return nil
}

// Placement assigns a model, its adapters and a role to a model engine.
type Placement struct {
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	// ModelVersion is the version of the model's weights.
	ModelVersion string   `json:"model_version"`
	Adapters     []string `json:"adapters,omitempty"`
	// Role is the engine's role: "serve", "prefill" or "decode"; empty means serve.
	Role string `json:"role,omitempty"`
	// SizeBytes is the number of bytes read from the weight store to load the model.
	SizeBytes int64 `json:"size_bytes,omitempty"`
}

func (p *Placement) check() error {
	if !namePattern.MatchString(p.Upstream) {
		return merry.Prepend(ErrInvalid, "upstream: want an upstream's name")
	}
	if p.Model == "" || p.ModelVersion == "" {
		return merry.Prepend(ErrInvalid, "model and model_version: must not be empty")
	}
	switch p.Role {
	case "", "serve", "prefill", "decode":
	default:
		return merry.Prependf(ErrInvalid, "role: %q is not one of serve, prefill, decode", p.Role)
	}
	if p.SizeBytes < 0 || p.SizeBytes > maxModelBytes {
		return merry.Prependf(ErrInvalid, "size_bytes: want 0 to %d", int64(maxModelBytes))
	}
	return nil
}
