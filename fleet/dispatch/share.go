package dispatch

import (
	"slices"
	"time"
)

const (
	// windowBuckets is the number of buckets in a sliding window.
	windowBuckets = 30
	// backloggedBuckets is the number of buckets for which a team counts as backlogged
	// after a refusal.
	backloggedBuckets = 8
	// maxLenience is the largest factor by which the idle bound is widened for a team
	// that received less than the mean of the backlogged teams.
	maxLenience = 4.0
	// maxShare is the largest share that is reported, in tokens. It stands for a level
	// that has no bound.
	maxShare = 1e15
)

// window sums tokens over a sliding span of time, in buckets that share a ring.
type window struct {
	sums  [windowBuckets]float64
	total float64
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// advance moves the window forward to a bucket and drops the buckets that leave it.
func (w *window) advance(bucket int64) {
	if bucket-w.newest >= windowBuckets {
		*w = window{
			newest: bucket,
		}
		return
	}
	for w.newest < bucket {
		w.newest++
		i := w.newest % windowBuckets
		w.total -= w.sums[i]
		w.sums[i] = 0
	}
}

// add adds tokens to a bucket and moves the window there.
func (w *window) add(bucket int64, tokens float64) {
	w.advance(bucket)
	w.sums[w.newest%windowBuckets] += tokens
	w.total += tokens
}

// remove subtracts tokens that were added in a bucket. It does nothing if the bucket has
// left the window.
func (w *window) remove(bucket int64, tokens float64) {
	if w.newest-bucket >= windowBuckets {
		return
	}
	w.sums[bucket%windowBuckets] -= tokens
	w.total -= tokens
}

// teamState is one team's account.
type teamState struct {
	demand   window
	admitted window
	// lastRefused is the bucket of the last refusal for the team's share or because all
	// engines were busy.
	lastRefused int64
	// startTag is the virtual time, in tokens, at which the team's next request starts.
	startTag float64
}

// backlogged reports whether the team was refused within the last backloggedBuckets, and
// so is taken to have more demand than it receives.
func (t *teamState) backlogged(bucket int64) bool { return bucket-t.lastRefused <= backloggedBuckets }

// shares holds the teams' accounts within the window and the state of start-time fair
// queueing between them.
type shares struct {
	bucketSpan time.Duration // length of a bucket
	teams      map[string]*teamState
	// level is the max-min fair level: the tokens that one team may be admitted within
	// the window. It was computed in the bucket levelBucket.
	level       float64
	levelBucket int64
	demands     []float64 // reused by update
	// meanBacklogged is the mean of the tokens that backlogged teams were admitted within
	// the window, or zero if there are none. Rate is the same in tokens per second.
	meanBacklogged float64
	rate           float64
	// virtualTime is the virtual time and maxTag the largest start tag of a team, both in
	// tokens.
	virtualTime float64
	maxTag      float64
}

// newShares returns shares without teams, for a window of length span.
func newShares(span time.Duration) *shares {
	return &shares{
		bucketSpan: span / windowBuckets,
		teams:      make(map[string]*teamState),
	}
}

// bucketAt returns the number of the bucket at a time.
func (s *shares) bucketAt(now time.Time) int64 { return now.UnixNano() / int64(s.bucketSpan) }

// team returns a team's account, which it adds if there is none.
func (s *shares) team(name string) *teamState {
	t := s.teams[name]
	if t == nil {
		t = &teamState{}
		s.teams[name] = t
	}
	return t
}

// update recomputes the level and the virtual time once per bucket. Capacity is the
// declared throughput in tokens per window.
func (s *shares) update(now time.Time, capacity float64) {
	bucket := s.bucketAt(now)
	if bucket == s.levelBucket {
		return
	}
	s.levelBucket = bucket
	s.demands = s.demands[:0]
	s.prune(bucket)
	var summary tagSummary
	for _, t := range s.teams {
		s.demands = append(s.demands, t.demand.total)
		summary.add(t, t.backlogged(bucket), s.virtualTime)
	}
	s.level = level(s.demands, capacity)
	s.advance(summary)
}

// prune moves all accounts to a bucket and removes teams without tokens in the window.
func (s *shares) prune(bucket int64) {
	for name, t := range s.teams {
		t.demand.advance(bucket)
		t.admitted.advance(bucket)
		if t.demand.total <= 0 && t.admitted.total <= 0 {
			delete(s.teams, name)
		}
	}
}

// lenience returns the factor by which the idle bound is widened, or narrowed, for a team
// over its share, so that all backlogged teams receive about the same.
func (s *shares) lenience(t *teamState) float64 {
	if s.meanBacklogged <= 0 || t.admitted.total <= 0 {
		return 1
	}
	ratio := s.meanBacklogged / t.admitted.total
	return min(ratio*ratio*ratio, maxLenience)
}

// level returns the max-min fair level: the largest amount per team for which the sum
// over all teams of min(demand, level) is at most the capacity. It sorts demands.
func level(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	remaining := capacity
	for i, d := range demands {
		even := remaining / float64(len(demands)-i)
		if d >= even {
			return even
		}
		remaining -= d
	}
	return capacity
}
