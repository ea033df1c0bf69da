package configuration

import (
	"hash/fnv"
	"maps"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrBaseMismatch is wrapped by the error about a change of another configuration than
// the one that it is applied to.
var ErrBaseMismatch = merry.Sentinel("change of another configuration")

// Snapshot is a checked configuration with hashes of its parts, so that changes can be
// told in place of the whole. It is immutable.
type Snapshot struct {
	Configuration *Configuration
	hashes        map[item]uint64
	sum           uint64 // of hashes, in any order
}

// item names a part of a configuration.
type item struct {
	kind byte
	name string
	host string
}

// The kinds of items.
const (
	routeItem   = 'r'
	serviceItem = 's'
	teamItem    = 't'
	limitsItem  = 'l'
)

func (r *Route) item() item {
	return item{
		kind: routeItem,
		name: r.PathPrefix,
		host: foldHost(r.Host),
	}
}

func (s *Service) item() item {
	return item{
		kind: serviceItem,
		name: s.Name,
	}
}

func (t *Team) item() item {
	return item{
		kind: teamItem,
		name: t.Name,
	}
}

func (l *Limits) item() item {
	return item{
		kind: limitsItem,
	}
}

// hash returns the hash of an item with its content.
func hash(i item, content any) (uint64, error) {
	data, err := cbor.Marshal(content)
	if err != nil {
		return 0, merry.Prependf(err, "hash of %q", i.name)
	}
	h := fnv.New64a()
	h.Write([]byte{i.kind})
	h.Write([]byte(i.name))
	h.Write([]byte{0})
	h.Write([]byte(i.host))
	h.Write([]byte{0})
	h.Write(data)
	return h.Sum64(), nil
}

// set puts an item's hash in place of an older one.
func (s *Snapshot) set(i item, content any) error {
	sum, err := hash(i, content)
	if err != nil {
		return err
	}
	s.sum += sum - s.hashes[i]
	s.hashes[i] = sum
	return nil
}

func (s *Snapshot) drop(i item) {
	s.sum -= s.hashes[i]
	delete(s.hashes, i)
}

// NewSnapshot returns the snapshot of a checked configuration, which must not change
// any more.
func NewSnapshot(c *Configuration) (*Snapshot, error) {
	s := &Snapshot{
		Configuration: c,
		hashes:        make(map[item]uint64, len(c.Routes)+len(c.Services)+len(c.Teams)+1),
	}
	d := Change{
		Routes:   c.Routes,
		Services: c.Services,
		Teams:    c.Teams,
		Limits:   &c.Limits,
	}
	if err := d.setAll(s); err != nil {
		return nil, err
	}
	return s, nil
}

// Change is what makes one configuration another.
type Change struct {
	// From and To are the versions before and after.
	From uint64
	To   uint64
	// Routes, Services and Teams are new or have changed.
	Routes   []Route
	Services []Service
	Teams    []Team
	// Limits is set when they have changed.
	Limits *Limits
	// Gone parts are no longer there.
	GoneRoutes   []RouteMatch
	GoneServices []string
	GoneTeams    []string
	// Sum is that of the configuration afterwards.
	Sum uint64
}

// RouteMatch is where a route takes requests.
type RouteMatch struct {
	Host       string
	PathPrefix string
}

func (d *Change) setAll(s *Snapshot) error {
	for i := range d.Routes {
		if err := s.set(d.Routes[i].item(), &d.Routes[i]); err != nil {
			return err
		}
	}
	for i := range d.Services {
		if err := s.set(d.Services[i].item(), &d.Services[i]); err != nil {
			return err
		}
	}
	for i := range d.Teams {
		if err := s.set(d.Teams[i].item(), &d.Teams[i]); err != nil {
			return err
		}
	}
	if d.Limits != nil {
		return s.set(d.Limits.item(), d.Limits)
	}
	return nil
}

// Since returns what makes the configuration of an older snapshot this one.
func (s *Snapshot) Since(from *Snapshot) *Change {
	d := &Change{
		From: from.Configuration.Version,
		To:   s.Configuration.Version,
		Sum:  s.sum,
	}
	changed := func(i item) bool {
		old, ok := from.hashes[i]
		return !ok || old != s.hashes[i]
	}
	c := s.Configuration
	for i := range c.Routes {
		if changed(c.Routes[i].item()) {
			d.Routes = append(d.Routes, c.Routes[i])
		}
	}
	for i := range c.Services {
		if changed(c.Services[i].item()) {
			d.Services = append(d.Services, c.Services[i])
		}
	}
	for i := range c.Teams {
		if changed(c.Teams[i].item()) {
			d.Teams = append(d.Teams, c.Teams[i])
		}
	}
	if changed(c.Limits.item()) {
		d.Limits = &c.Limits
	}
	for i := range from.hashes {
		if _, ok := s.hashes[i]; ok {
			continue
		}
		switch i.kind {
		case routeItem:
			d.GoneRoutes = append(d.GoneRoutes, RouteMatch{
				Host:       i.host,
				PathPrefix: i.name,
			})
		case serviceItem:
			d.GoneServices = append(d.GoneServices, i.name)
		case teamItem:
			d.GoneTeams = append(d.GoneTeams, i.name)
		}
	}
	return d
}

// Apply returns the snapshot after a change. An error wraps ErrBaseMismatch unless the
// change was made from this snapshot's configuration.
func (s *Snapshot) Apply(d *Change) (*Snapshot, error) {
	if d.From != s.Configuration.Version {
		return nil, merry.Prependf(ErrBaseMismatch, "of version %d, to apply to %d", d.From, s.Configuration.Version)
	}
	next := &Snapshot{
		hashes: maps.Clone(s.hashes),
		sum:    s.sum,
	}
	replaced := make(map[item]bool, len(d.Routes)+len(d.GoneRoutes))
	for _, p := range d.GoneRoutes {
		r := Route{
			Host:       p.Host,
			PathPrefix: p.PathPrefix,
		}
		next.drop(r.item())
		replaced[r.item()] = true
	}
	for _, name := range d.GoneServices {
		service := Service{
			Name: name,
		}
		next.drop(service.item())
		replaced[service.item()] = true
	}
	for _, name := range d.GoneTeams {
		team := Team{
			Name: name,
		}
		next.drop(team.item())
		replaced[team.item()] = true
	}
	if err := d.setAll(next); err != nil {
		return nil, err
	}
	if next.sum != d.Sum {
		return nil, merry.Prependf(ErrBaseMismatch, "version %d has another content after it", d.To)
	}
	old := s.Configuration
	c := &Configuration{
		Version:  d.To,
		Routes:   merged(old.Routes, d.Routes, replaced, (*Route).item),
		Services: merged(old.Services, d.Services, replaced, (*Service).item),
		Teams:    merged(old.Teams, d.Teams, replaced, (*Team).item),
		Limits:   old.Limits,
	}
	if d.Limits != nil {
		c.Limits = *d.Limits
	}
	next.Configuration = c
	return next, nil
}

// merged returns the old parts that were not replaced, and the new ones.
func merged[T any](old, changed []T, replaced map[item]bool, name func(*T) item) []T {
	for i := range changed {
		replaced[name(&changed[i])] = true
	}
	out := make([]T, 0, len(old)+len(changed))
	for i := range old {
		if !replaced[name(&old[i])] {
			out = append(out, old[i])
		}
	}
	return append(out, changed...)
}
