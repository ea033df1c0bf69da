package quarantine

import (
	"maps"
	"slices"
)

// addToCrash adds the subjects of a request to those of a crash.
func (r *Register) addToCrash(crash uint64, subjects []Subject) {
	set := r.crashSets[crash]
	if set == nil {
		if len(r.crashOrder) == maxCrashSets {
			delete(r.crashSets, r.crashOrder[0])
			r.crashOrder = r.crashOrder[1:]
		}
		set = make(map[uint64]bool)
		r.crashSets[crash] = set
		r.crashOrder = append(r.crashOrder, crash)
	}
	for _, subject := range subjects {
		set[subject.ID] = true
	}
}

// inseparable reports whether another subject was at all crashes that count against an
// entry, as far as they are known.
func (r *Register) inseparable(e *entry, other uint64) bool {
	known := e.companions != nil
	if known && !slices.Contains(e.companions, other) {
		return false
	}
	for _, crash := range e.recent {
		set := r.crashSets[crash]
		if set == nil {
			continue
		}
		if !set[other] {
			return false
		}
		known = true
	}
	return known
}

// companionsOf returns the other quarantined subjects that were at all crashes which count
// against a subject, at most maxCompanions. Requests at one service are none: a request at
// another service is no sign that they crash engines by themselves.
func (r *Register) companionsOf(id uint64, e *entry) []uint64 {
	candidates := e.companions
	if last := r.crashSets[e.recent[(e.next+rememberedCrashes-1)%rememberedCrashes]]; last != nil {
		candidates = slices.Sorted(maps.Keys(last))
	}
	var out []uint64
	for _, other := range candidates {
		if q := r.entries[other]; other != id && q != nil && q.of == 0 && q.quarantined() && r.inseparable(e, other) && len(out) < maxCompanions {
			out = append(out, other)
		}
	}
	return out
}

// separates reports whether a request distinguishes a subject from another quarantined one
// that was at all of its crashes: the request lacks that one. Such a request is not known to
// crash engines, and its answer clears the subject.
func (r *Register) separates(id uint64, e *entry, subjects []Subject) bool {
	for _, companion := range r.companionsOf(id, e) {
		if !slices.ContainsFunc(subjects, func(s Subject) bool { return s.ID == companion }) {
			return true
		}
	}
	return false
}
