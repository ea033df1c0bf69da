package dispatch

import (
	"slices"
	"time"
)

const (
	// windowBuckets is how many parts a window of shares has.
	windowBuckets = 30
	// backloggedBuckets is for how many of them a team that was refused counts as one that
	// wants more.
	backloggedBuckets = 8
	// maxLenience bounds how far a team that received less is preferred.
	maxLenience = 4.0
	// maxShare is the largest share that is reported, in tokens; a level without
	// bound counts as it.
	maxShare = 1e15
)

// window sums tokens over a sliding span of time.
type window struct {
	sums  [windowBuckets]float64
	total float64
	// slot is the number of the newest bucket since the zero time.
	slot int64
}

func (w *window) advance(slot int64) {
	if slot-w.slot >= windowBuckets {
		*w = window{
			slot: slot,
		}
		return
	}
	for w.slot < slot {
		w.slot++
		i := w.slot % windowBuckets
		w.total -= w.sums[i]
		w.sums[i] = 0
	}
}

func (w *window) add(slot int64, tokens float64) {
	w.advance(slot)
	w.sums[w.slot%windowBuckets] += tokens
	w.total += tokens
}

// remove takes tokens back that were added in a slot. Those that have left the window
// are gone already.
func (w *window) remove(slot int64, tokens float64) {
	if w.slot-slot >= windowBuckets {
		return
	}
	w.sums[slot%windowBuckets] -= tokens
	w.total -= tokens
}

// teamState is one teamState's account.
type teamState struct {
	demand   window
	admitted window
	// lastRefused is the slot in which a request was last lastRefused for the share or because
	// all engines were busy.
	lastRefused int64
	// startTag is the virtual time at which the team's next request starts, in tokens.
	startTag float64
}

// backlogged reports whether the team was refused so lately that it counts as one that backlogged
// more.
func (t *teamState) backlogged(slot int64) bool { return slot-t.lastRefused <= backloggedBuckets }

// shares holds what teams asked for and were admitted within the window.
type shares struct {
	bucket time.Duration
	teams  map[string]*teamState
	// level is the largest sum within the window that one team may have.
	level     float64
	levelSlot int64
	demands   []float64
	// meanBacklogged is the mean of what the teams that want more were admitted within the
	// window, in tokens; zero when there are none. rate is the same in a second.
	meanBacklogged float64
	rate           float64
	// virtualTime is the virtualTime time and largest the largest tag of a team, in tokens.
	virtualTime float64
	maxTag      float64
}

func newShares(span time.Duration) *shares {
	return &shares{
		bucket: span / windowBuckets,
		teams:  make(map[string]*teamState),
	}
}

func (s *shares) slot(now time.Time) int64 { return now.UnixNano() / int64(s.bucket) }

func (s *shares) team(name string) *teamState {
	t := s.teams[name]
	if t == nil {
		t = &teamState{}
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
	s.demands = s.demands[:0]
	s.prune(slot)
	var x tagSummary
	for _, t := range s.teams {
		s.demands = append(s.demands, t.demand.total)
		x.add(t, t.backlogged(slot), s.virtualTime)
	}
	s.level = level(s.demands, capacity)
	s.advance(x)
}

// prune brings all accounts up to a slot and forgets teams that have nothing in the
// window.
func (s *shares) prune(slot int64) {
	for name, t := range s.teams {
		t.demand.advance(slot)
		t.admitted.advance(slot)
		if t.demand.total <= 0 && t.admitted.total <= 0 {
			delete(s.teams, name)
		}
	}
}

// lenience returns by how much the bound for teams over their share is widened
// or narrowed for this team, so that teams which are refused receive alike.
func (s *shares) lenience(t *teamState) float64 {
	if s.meanBacklogged <= 0 || t.admitted.total <= 0 {
		return 1
	}
	ratio := s.meanBacklogged / t.admitted.total
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
