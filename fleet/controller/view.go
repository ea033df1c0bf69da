package controller

import (
	"cmp"
	"maps"
	"slices"

	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Service is a service resource with its decoded specification.
type Service struct {
	ID      share.ServiceID
	Name    string
	Version uint64
	resource.Service
}

// Upstream is an upstream resource with its decoded specification.
type Upstream struct {
	ID      share.UpstreamID
	Name    string
	Version uint64
	resource.Upstream
}

// View is an immutable copy of the services and upstreams at one revision of the
// replicated resources. Apply returns a newer one. Teams are in a TeamCache.
type View struct {
	Revision uint64
	// Services and Upstreams are by name, ServicesByModel by model name.
	Services        map[string]*Service
	ServicesByModel map[string]*Service
	Upstreams       map[string]*Upstream
	byID            map[share.UpstreamID]*Upstream
	// LastChangeRevisions holds, by service name, the revision of the last change
	// of the service or of one of its upstreams.
	LastChangeRevisions map[string]uint64
}

// NewView returns an empty view at revision 0.
func NewView() *View {
	return &View{
		Services:            make(map[string]*Service),
		ServicesByModel:     make(map[string]*Service),
		Upstreams:           make(map[string]*Upstream),
		byID:                make(map[share.UpstreamID]*Upstream),
		LastChangeRevisions: make(map[string]uint64),
	}
}

func (v *View) clone() *View {
	return &View{
		Revision:            v.Revision,
		Services:            maps.Clone(v.Services),
		ServicesByModel:     maps.Clone(v.ServicesByModel),
		Upstreams:           maps.Clone(v.Upstreams),
		byID:                maps.Clone(v.byID),
		LastChangeRevisions: maps.Clone(v.LastChangeRevisions),
	}
}

// Apply returns the view after a sync, and whether the sync was applied. It ignores
// a sync of an older revision, and of the same one unless it is full, so that a
// controller that lags behind can't take the view back.
func (v *View) Apply(s wire.Sync) (*View, bool) {
	if s.Revision < v.Revision || (s.Revision == v.Revision && !s.Full) {
		return v, false
	}
	next := v.clone()
	next.Revision = s.Revision
	if s.Full {
		clear(next.Services)
		clear(next.ServicesByModel)
		clear(next.Upstreams)
		clear(next.byID)
	}
	for _, r := range s.Resources {
		next.apply(r)
	}
	return next, true
}

// apply applies one resource to a view that is being built.
func (v *View) apply(r resource.Resource) {
	switch r.Kind {
	case resource.KindService:
		v.setService(r)
	case resource.KindUpstream:
		v.setUpstream(r)
	}
}

func (v *View) setService(r resource.Resource) {
	if old := v.Services[r.Name]; old != nil {
		if old.Version >= r.Version {
			return
		}
		for _, m := range old.Models {
			delete(v.ServicesByModel, m)
		}
		delete(v.Services, r.Name)
	}
	v.LastChangeRevisions[r.Name] = max(v.LastChangeRevisions[r.Name], r.Version)
	if r.Deleted {
		return
	}
	spec, err := r.Decode()
	if err != nil {
		return // written by a newer controller in a format unknown to this version
	}
	s := &Service{
		ID:      share.ServiceID(r.Number),
		Name:    r.Name,
		Version: r.Version,
		Service: *spec.(*resource.Service),
	}
	v.Services[r.Name] = s
	for _, m := range s.Models {
		v.ServicesByModel[m] = s
	}
}

func (v *View) setUpstream(r resource.Resource) {
	if old := v.Upstreams[r.Name]; old != nil {
		if old.Version >= r.Version {
			return
		}
		v.LastChangeRevisions[old.Service] = max(v.LastChangeRevisions[old.Service], r.Version)
		delete(v.Upstreams, r.Name)
		delete(v.byID, old.ID)
	}
	if r.Deleted {
		return
	}
	spec, err := r.Decode()
	if err != nil {
		return
	}
	u := &Upstream{
		ID:       share.UpstreamID(r.Number),
		Name:     r.Name,
		Version:  r.Version,
		Upstream: *spec.(*resource.Upstream),
	}
	v.Upstreams[r.Name] = u
	v.byID[u.ID] = u
	v.LastChangeRevisions[u.Service] = max(v.LastChangeRevisions[u.Service], r.Version)
}

// Sidecars returns the addresses of the sidecars of a service's upstreams, sorted
// and without duplicates.
func (v *View) Sidecars(service string) []string {
	var out []string
	for _, u := range v.Upstreams {
		if u.Service == service && !slices.Contains(out, u.Sidecar) {
			out = append(out, u.Sidecar)
		}
	}
	slices.Sort(out)
	return out
}

// UpstreamByID returns the upstream with the ID, or nil.
func (v *View) UpstreamByID(id share.UpstreamID) *Upstream { return v.byID[id] }

// UpstreamsOfSidecar returns the upstreams that the sidecar at the address serves,
// sorted by name.
func (v *View) UpstreamsOfSidecar(sidecar string) []*Upstream {
	var out []*Upstream
	for _, u := range v.Upstreams {
		if u.Sidecar == sidecar {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
