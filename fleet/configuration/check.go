package configuration

import (
	"math"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Check returns an error that begins with the name of the first invalid field, or
// nil.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return merry.New("version: must be given and not zero")
	}
	services, err := c.checkServices()
	if err != nil {
		return err
	}
	if err := c.checkRoutes(services); err != nil {
		return err
	}
	return c.checkTeams()
}

// checkServices returns the set of service names.
func (c *Configuration) checkServices() (map[string]bool, error) {
	names := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" {
			return nil, merry.New("services: a service has no name")
		}
		if names[s.Name] {
			return nil, merry.Errorf("services: %q is there twice", s.Name)
		}
		names[s.Name] = true
		if err := s.checkCold(); err != nil {
			return nil, merry.Prependf(err, "services: %q", s.Name)
		}
	}
	return names, nil
}

// checkCold checks what the service declares about cold upstreams. JSON has no numbers that are
// not finite, but a configuration may come from elsewhere.
func (s *Service) checkCold() error {
	if !(s.ColdSeconds >= 0) || math.IsInf(s.ColdSeconds, 0) {
		return merry.New("cold_seconds: must be finite and not negative")
	}
	if !(s.ColdRequestsPerSecond >= 0) || math.IsInf(s.ColdRequestsPerSecond, 0) {
		return merry.New("cold_requests_per_second: must be finite and not negative")
	}
	return nil
}

// routeKey identifies a route. No two routes may have the same one, or a request
// would have two.
type routeKey struct {
	host   string
	prefix string
}

func (c *Configuration) checkRoutes(services map[string]bool) error {
	names := make(map[routeKey]string, len(c.Routes))
	for _, r := range c.Routes {
		if err := r.check(services); err != nil {
			return merry.Prependf(err, "routes: %q", r.Name)
		}
		key := routeKey{
			host:   foldHost(r.Host),
			prefix: r.PathPrefix,
		}
		if other, ok := names[key]; ok {
			return merry.Errorf("routes: %q and %q share a host and a path prefix", other, r.Name)
		}
		names[key] = r.Name
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return merry.Errorf("path_prefix: %q does not begin and end with a slash", r.PathPrefix)
	}
	if r.Kind != Safe && r.Kind != Unsafe && r.Kind != Stream {
		return merry.Errorf("kind: %q is none", r.Kind)
	}
	if r.TimeoutMillis <= 0 {
		return merry.New("timeout_ms: must be over zero")
	}
	if len(r.Split) == 0 {
		if !services[r.Service] {
			return merry.Errorf("service: %q is unknown", r.Service)
		}
		return nil
	}
	var sum int64
	for _, p := range r.Split {
		if !services[p.Service] {
			return merry.Errorf("services_by_weight: %q is unknown", p.Service)
		}
		if p.Weight < 0 {
			return merry.New("services_by_weight: a weight is negative")
		}
		sum += p.Weight
	}
	if sum == 0 {
		return merry.New("services_by_weight: the weights add up to zero")
	}
	return nil
}

// checkTeams checks that team names are unique and that no two teams share a key,
// since the key of a request determines its team.
func (c *Configuration) checkTeams() error {
	owners := make(map[string]string)
	names := make(map[string]bool, len(c.Teams))
	for _, t := range c.Teams {
		if t.Name == "" || names[t.Name] {
			return merry.Errorf("teams: %q is empty or there twice", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if other, ok := owners[k]; ok && other != t.Name {
				return merry.Errorf("teams: %q and %q share a key", other, t.Name)
			}
			owners[k] = t.Name
		}
	}
	return nil
}
