package wire

import (
	"hash/fnv"
	"maps"
	"slices"

	"baobabpaddle/fleet/dispatch"
)

// Upstreams tells of the platform's list of upstreams: all of it, or what changed.
type Upstreams struct {
	// Whole tells that Listed is the whole list.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// Listed are upstreams that are new or have changed.
	Listed []dispatch.Upstream `cbor:"1,keyasint,omitempty"`
	// Gone are identifiers of upstreams that are no longer listed.
	Gone []string `cbor:"3,keyasint,omitempty"`
	// Sum is that of the list as it is now.
	Sum uint64 `cbor:"4,keyasint,omitempty"`
}

// Sum returns a hash of a list that does not depend on its order.
func Sum(list map[string]dispatch.Upstream) uint64 {
	var sum uint64
	for _, u := range list {
		h := fnv.New64a()
		for _, part := range []string{u.ID, u.Service, u.Address, u.Zone} {
			h.Write([]byte(part))
			h.Write([]byte{0})
		}
		h.Write([]byte{byte(u.Slots), byte(u.Slots >> 8), byte(u.Slots >> 16)})
		if u.Draining {
			h.Write([]byte{1})
		}
		sum += h.Sum64()
	}
	return sum
}

// ByID returns a list by identifier.
func ByID(list []dispatch.Upstream) map[string]dispatch.Upstream {
	out := make(map[string]dispatch.Upstream, len(list))
	for _, u := range list {
		out[u.ID] = u
	}
	return out
}

// Difference returns what changed from one list to another; nil is nothing.
func Difference(from, to map[string]dispatch.Upstream) *Upstreams {
	d := &Upstreams{
		Sum: Sum(to),
	}
	for id, u := range to {
		if old, ok := from[id]; !ok || old != u {
			d.Listed = append(d.Listed, u)
		}
	}
	for id := range from {
		if _, ok := to[id]; !ok {
			d.Gone = append(d.Gone, id)
		}
	}
	if len(d.Listed) == 0 && len(d.Gone) == 0 {
		return nil
	}
	return d
}

// WholeList returns all of a list.
func WholeList(list map[string]dispatch.Upstream) *Upstreams {
	return &Upstreams{
		Whole:  true,
		Listed: slices.Collect(maps.Values(list)),
		Sum:    Sum(list),
	}
}

// Apply returns a list with the change, and whether it is the one that the sender
// has; if not, the whole list is needed.
func (d *Upstreams) Apply(list map[string]dispatch.Upstream) (map[string]dispatch.Upstream, bool) {
	var next map[string]dispatch.Upstream
	if d.Whole {
		next = make(map[string]dispatch.Upstream, len(d.Listed))
	} else {
		next = maps.Clone(list)
	}
	if next == nil {
		next = make(map[string]dispatch.Upstream)
	}
	for _, u := range d.Listed {
		next[u.ID] = u
	}
	for _, id := range d.Gone {
		delete(next, id)
	}
	return next, Sum(next) == d.Sum
}
