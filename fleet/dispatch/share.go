package dispatch

import (
	"slices"
	"time"
)

const (
	// buckets is how many parts a window of shares has.
	buckets = 30
	// wantingBuckets is for how many of them a team that was refused counts as one that
	// wants more.
	wantingBuckets = 8
	// maxLenience bounds how far a team that received less is preferred.
	maxLenience = 4.0
	// maxShare is the largest share that is reported, in tokens; a level without
	// bound counts as it.
	maxShare = 1e15
)

// window sums tokens over a sliding span of time.
type window struct {
	sums  [buckets]float64
	total float64
	// slot is the number of the newest bucket since the zero time.
	slot int64
}

func (w *window) advance(slot int64) {
	if slot-w.slot >= buckets {
		*w = window{
			slot: slot,
		}
		return
	}
	for w.slot < slot {
		w.slot++
		i := w.slot % buckets
		w.total -= w.sums[i]
		w.sums[i] = 0
	}
}

func (w *window) add(slot int64, tokens float64) {
	w.advance(slot)
	w.sums[w.slot%buckets] += tokens
	w.total += tokens
}

// remove takes tokens back that were added in a slot. Those that have left the window
// are gone already.
func (w *window) remove(slot int64, tokens float64) {
	if w.slot-slot >= buckets {
		return
	}
	w.sums[slot%buckets] -= tokens
	w.total -= tokens
}

// team is one team's account.
type team struct {
	asked    window
	admitted window
	// refused is the slot in which a request was last refused for the share or because
	// all engines were busy.
	refused int64
	// tag is the virtual time at which the team's next request starts, in tokens.
	tag float64
}

// wants reports whether the team was refused so lately that it counts as one that wants
// more.
func (t *team) wants(slot int64) bool { return slot-t.refused <= wantingBuckets }

// shares holds what teams asked for and were admitted within the window.
type shares struct {
	bucket time.Duration
	teams  map[string]*team
	// level is the largest sum within the window that one team may have.
	level     float64
	levelSlot int64
	scratch   []float64
	// meanWanting is the mean of what the teams that want more were admitted within the
	// window, in tokens; zero when there are none. rate is the same in a second.
	meanWanting float64
	rate        float64
	// virtual is the virtual time and largest the largest tag of a team, in tokens.
	virtual float64
	largest float64
}

func newShares(span time.Duration) *shares {
	return &shares{
		bucket: span / buckets,
		teams:  make(map[string]*team),
	}
}

func (s *shares) slot(now time.Time) int64 { return now.UnixNano() / int64(s.bucket) }

func (s *shares) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	return t
}

// update computes the level anew when a bucket has passed.
func (s *shares) update(now time.Time, capacity float64) {
	slot := s.slot(now)
	if slot == s.levelSlot {
		return
	}
	s.levelSlot = slot
	s.scratch = s.scratch[:0]
	s.prune(slot)
	var x standing
	for _, t := range s.teams {
		s.scratch = append(s.scratch, t.asked.total)
		x.add(t, t.wants(slot), s.virtual)
	}
	s.level = level(s.scratch, capacity)
	s.advance(x)
}

// prune brings all accounts up to a slot and forgets teams that have nothing in the
// window.
func (s *shares) prune(slot int64) {
	for name, t := range s.teams {
		t.asked.advance(slot)
		t.admitted.advance(slot)
		if t.asked.total <= 0 && t.admitted.total <= 0 {
			delete(s.teams, name)
		}
	}
}

// lenience returns by how much the bound for teams over their share is widened
// or narrowed for this team, so that teams which are refused receive alike.
func (s *shares) lenience(t *team) float64 {
	if s.meanWanting <= 0 || t.admitted.total <= 0 {
		return 1
	}
	ratio := s.meanWanting / t.admitted.total
	return min(ratio*ratio*ratio, maxLenience)
}

// level returns the max-min level: the largest amount that each may have so that
// the sum of the smaller of its demand and the level is at most the capacity.
func level(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		if d >= even {
			return even
		}
		left -= d
	}
	return capacity
}
