package configuration

import (
	"hash/fnv"
	"maps"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrBaseMismatch is wrapped by errors about a change whose base is not the
// configuration that it is applied to.
var ErrBaseMismatch = merry.Sentinel("the change has another base configuration")

// Snapshot is a checked configuration with hashes of its parts, so that a receiver
// that has an older one needs only the difference. Since computes the difference,
// Apply applies it. A Snapshot is immutable.
type Snapshot struct {
	Configuration *Configuration
	hashes        map[item]uint64
	// sum is the sum of hashes, modulo 2^64. It doesn't depend on the order of the
	// parts and is updated in place when one changes.
	sum uint64
}

// item identifies a part of a configuration: a route by host and path prefix, a
// service or team by name, the limits by their kind alone.
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

// hash returns the 64-bit FNV-1a hash of an item and the encoding of its content.
func hash(i item, content any) (uint64, error) {
	data, err := cbor.Marshal(content)
	if err != nil {
		return 0, merry.Prependf(err, "encode %q for its hash", i.name)
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

// set stores the hash of an item, replacing the previous one, and updates the sum.
func (s *Snapshot) set(i item, content any) error {
	sum, err := hash(i, content)
	if err != nil {
		return err
	}
	s.sum += sum - s.hashes[i]
	s.hashes[i] = sum
	return nil
}

// remove removes the hash of an item and updates the sum.
func (s *Snapshot) remove(i item) {
	s.sum -= s.hashes[i]
	delete(s.hashes, i)
}

// NewSnapshot returns the snapshot of a checked configuration, which must not be
// modified afterwards.
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

// Change is the difference between two configurations. It is sent between processes
// encoded as CBOR under the names of its fields.
type Change struct {
	// From and To are the versions before and after the change.
	From uint64
	To   uint64
	// Routes, Services and Teams are those that were added or modified.
	Routes   []Route
	Services []Service
	Teams    []Team
	// Limits is nil if they did not change.
	Limits *Limits
	// GoneRoutes, GoneServices and GoneTeams are those that were removed.
	GoneRoutes   []RouteMatch
	GoneServices []string
	GoneTeams    []string
	// Sum is the sum of the hashes of all parts after the change. Apply compares it
	// with its own result.
	Sum uint64
}

// RouteMatch identifies a route by the requests that it matches.
type RouteMatch struct {
	Host       string
	PathPrefix string
}

// setAll stores the hashes of all parts that the change adds or modifies in s.
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

// Since returns the change that leads from the configuration of the snapshot from to
// that of s.
func (s *Snapshot) Since(from *Snapshot) *Change {
	d := &Change{
		From: from.Configuration.Version,
		To:   s.Configuration.Version,
		Sum:  s.sum,
	}
	changed := func(i item) bool {
		before, ok := from.hashes[i]
		return !ok || before != s.hashes[i]
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

// Apply returns the snapshot after the change. It returns an error that wraps
// ErrBaseMismatch if the version of s is not d.From or if the result has another
// sum than d.Sum, as when two configurations had the same version.
func (s *Snapshot) Apply(d *Change) (*Snapshot, error) {
	if d.From != s.Configuration.Version {
		return nil, merry.Prependf(ErrBaseMismatch, "change from version %d, applied to version %d", d.From, s.Configuration.Version)
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
		next.remove(r.item())
		replaced[r.item()] = true
	}
	for _, name := range d.GoneServices {
		service := Service{
			Name: name,
		}
		next.remove(service.item())
		replaced[service.item()] = true
	}
	for _, name := range d.GoneTeams {
		team := Team{
			Name: name,
		}
		next.remove(team.item())
		replaced[team.item()] = true
	}
	if err := d.setAll(next); err != nil {
		return nil, err
	}
	if next.sum != d.Sum {
		return nil, merry.Prependf(ErrBaseMismatch, "version %d has other content than at the sender", d.To)
	}
	old := s.Configuration
	c := &Configuration{
		Version:  d.To,
		Routes:   merge(old.Routes, d.Routes, replaced, (*Route).item),
		Services: merge(old.Services, d.Services, replaced, (*Service).item),
		Teams:    merge(old.Teams, d.Teams, replaced, (*Team).item),
		Limits:   old.Limits,
	}
	if d.Limits != nil {
		c.Limits = *d.Limits
	}
	next.Configuration = c
	return next, nil
}

// merge returns the parts of old that are not in replaced, followed by changed. It
// adds the items of changed to replaced.
func merge[T any](old, changed []T, replaced map[item]bool, itemOf func(*T) item) []T {
	for i := range changed {
		replaced[itemOf(&changed[i])] = true
	}
	out := make([]T, 0, len(old)+len(changed))
	for i := range old {
		if !replaced[itemOf(&old[i])] {
			out = append(out, old[i])
		}
	}
	return append(out, changed...)
}
