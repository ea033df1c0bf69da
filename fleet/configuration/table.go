package configuration

import (
	"strings"
	"time"
)

// Table indexes a configuration for the look-ups of each request. It is immutable
// and safe for concurrent use.
type Table struct {
	Configuration *Configuration
	hosts         map[string]map[string]*Route // by host and path prefix
	services      map[string]*Service
	teams         map[string]*Team
	keys          map[string]*Team
}

// NewTable returns the table of a checked configuration, which must not be modified
// afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Configuration: c,
		hosts:         make(map[string]map[string]*Route),
		services:      make(map[string]*Service, len(c.Services)),
		teams:         make(map[string]*Team, len(c.Teams)),
		keys:          make(map[string]*Team),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := foldHost(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][r.PathPrefix] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		team := &c.Teams[i]
		t.teams[team.Name] = team
		for _, k := range team.Keys {
			t.keys[k] = team
		}
	}
	return t
}

// foldHost returns a host in lower case and without a port. A closing bracket at
// the end marks an IPv6 address without a port.
func foldHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Route returns the route with the longest prefix of path among those of the host,
// or nil.
func (t *Table) Route(host, path string) *Route {
	routes := t.hosts[foldHost(host)]
	if routes == nil {
		return nil
	}
	// Path prefixes end with a slash, so only the parts of the path up to a slash are
	// candidates, the longest first.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Team returns the team with the name, or nil.
func (t *Table) Team(name string) *Team { return t.teams[name] }

// TeamOfKey returns the team that owns the key, or nil. The empty key has no owner.
func (t *Table) TeamOfKey(key string) *Team {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// Choose returns the name of the service for a request. With split services each is
// chosen with a probability proportional to its weight; draw is a random number
// from the uniform distribution over [0, 1).
func (r *Route) Choose(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	var sum int64
	for _, p := range r.Split {
		sum += p.Weight
	}
	remaining := int64(draw * float64(sum))
	for _, p := range r.Split {
		if remaining < p.Weight {
			return p.Service
		}
		remaining -= p.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// Services returns the names of the services that Choose can return.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	var out []string
	for _, p := range r.Split {
		if p.Weight > 0 {
			out = append(out, p.Service)
		}
	}
	return out
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Timeout returns the maximum duration of a request.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Objective returns the latency objective of an answer or of the first event of a
// stream.
func (r *Route) Objective() time.Duration { return time.Duration(r.ObjectiveMillis) * time.Millisecond }

// PauseObjective returns the objective for the time between two events of a stream,
// or zero if none is set.
func (r *Route) PauseObjective() time.Duration {
	return time.Duration(r.PauseObjectiveMillis) * time.Millisecond
}
