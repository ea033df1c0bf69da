package wire

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"baobabpaddle/fleet/dispatch"
)

// UpstreamsUpdate is the platform's list of upstreams, or a change of it. Hash lets
// the receiver detect that it applied a change to another list than the sender's.
type UpstreamsUpdate struct {
	// Full is true if Changed is the whole list.
	Full bool `cbor:"2,keyasint,omitempty"`
	// Changed are the upstreams that were added or changed.
	Changed []dispatch.Upstream `cbor:"1,keyasint,omitempty"`
	// Removed are the identifiers of upstreams that are no longer listed.
	Removed []string `cbor:"3,keyasint,omitempty"`
	// Hash is the UpstreamsHash of the list after the update.
	Hash uint64 `cbor:"4,keyasint,omitempty"`
	// VersionsHash is the VersionsHash of the list after the update, or zero from a
	// controller that doesn't know the versions.
	VersionsHash uint64 `cbor:"5,keyasint,omitempty"`
	// Digest is the UpstreamsDigest of the list after the update, or zero from a controller
	// that doesn't compute it.
	Digest uint64 `cbor:"6,keyasint,omitempty"`
}

// UpstreamsHash returns a hash of a list. It is the sum of a hash for each upstream
// and so does not depend on the order of iteration.
func UpstreamsHash(list map[string]dispatch.Upstream) uint64 {
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

// VersionsHash returns a hash of the software versions in a list. It is zero if the list
// states none. UpstreamsHash leaves them out, since older peers compute it without them.
func VersionsHash(list map[string]dispatch.Upstream) uint64 {
	var sum uint64
	for _, u := range list {
		if u.Version == "" {
			continue
		}
		h := fnv.New64a()
		for _, part := range []string{u.ID, u.Version} {
			h.Write([]byte(part))
			h.Write([]byte{0})
		}
		sum += h.Sum64()
	}
	return sum
}

// UpstreamsDigest returns a hash of all that a list states, independent of the order of iteration.
// It adds hashes whose bits are mixed. UpstreamsHash and VersionsHash, which older peers compute,
// add hashes of FNV-1a: an equal change at the end of several entries adds small multiples of one
// number there, which often cancel.
func UpstreamsDigest(list map[string]dispatch.Upstream) uint64 {
	var sum uint64
	var number [8]byte
	for _, u := range list {
		h := fnv.New64a()
		for _, part := range []string{u.ID, u.Service, u.Address, u.Zone, u.Version} {
			h.Write([]byte(part))
			h.Write([]byte{0})
		}
		binary.LittleEndian.PutUint64(number[:], uint64(u.Slots))
		h.Write(number[:])
		if u.Draining {
			h.Write([]byte{1})
		}
		sum += mix(h.Sum64())
	}
	return sum
}

// mix returns the output function of SplitMix64 for x, a bijection.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// IndexByID returns the upstreams keyed by identifier.
func IndexByID(list []dispatch.Upstream) map[string]dispatch.Upstream {
	out := make(map[string]dispatch.Upstream, len(list))
	for _, u := range list {
		out[u.ID] = u
	}
	return out
}

// DiffUpstreams returns the change from one list to another, or nil if they are equal.
func DiffUpstreams(from, to map[string]dispatch.Upstream) *UpstreamsUpdate {
	d := &UpstreamsUpdate{
		Hash:         UpstreamsHash(to),
		VersionsHash: VersionsHash(to),
		Digest:       UpstreamsDigest(to),
	}
	for id, u := range to {
		if old, ok := from[id]; !ok || old != u {
			d.Changed = append(d.Changed, u)
		}
	}
	for id := range from {
		if _, ok := to[id]; !ok {
			d.Removed = append(d.Removed, id)
		}
	}
	if len(d.Changed) == 0 && len(d.Removed) == 0 {
		return nil
	}
	return d
}

// FullUpdate returns an update that replaces the receiver's list.
func FullUpdate(list map[string]dispatch.Upstream) *UpstreamsUpdate {
	return &UpstreamsUpdate{
		Full:         true,
		Changed:      slices.Collect(maps.Values(list)),
		Hash:         UpstreamsHash(list),
		VersionsHash: VersionsHash(list),
		Digest:       UpstreamsDigest(list),
	}
}

// Apply returns the list after the update, and whether its hashes are the sender's. If they
// are not, the receiver needs a full update. Apply does not modify list.
func (d *UpstreamsUpdate) Apply(list map[string]dispatch.Upstream) (map[string]dispatch.Upstream, bool) {
	var next map[string]dispatch.Upstream
	if d.Full {
		next = make(map[string]dispatch.Upstream, len(d.Changed))
	} else {
		next = maps.Clone(list)
	}
	if next == nil {
		next = make(map[string]dispatch.Upstream)
	}
	for _, u := range d.Changed {
		next[u.ID] = u
	}
	for _, id := range d.Removed {
		delete(next, id)
	}
	same := UpstreamsHash(next) == d.Hash && (d.VersionsHash == 0 || VersionsHash(next) == d.VersionsHash) &&
		(d.Digest == 0 || UpstreamsDigest(next) == d.Digest)
	return next, same
}
