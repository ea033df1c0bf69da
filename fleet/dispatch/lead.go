package dispatch

import "time"

// Teams are served by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996). Each
// team has a start tag, the virtual time at which its next request starts; each placed
// request advances the tag by its tokens. The virtual time follows the least tag of the
// backlogged teams. A team that was idle continues at the virtual time, so that it doesn't
// receive at once what it left to others. The larger a team's lead over the virtual time,
// the shorter the queue at an engine behind which its requests may be placed. This bounds
// the difference between what teams receive over any span, whatever the engines' speed.

// Bounds of leads and lags. They are times at the rate at which backlogged teams are served.
const (
	// freeLead is the lead over the virtual time up to which a team is not held back.
	freeLead = 200 * time.Millisecond
	// leadScale is the lead beyond freeLead at which the permitted queue is halved.
	leadScale = 200 * time.Millisecond
	// maxLead is the largest lead that is remembered. It bounds how long a team is held
	// back for what it received while there was capacity for all.
	maxLead = 2 * time.Second
	// maxLag is the largest distance of the virtual time behind the mean tag of the
	// backlogged teams. What a team lacks beyond it is not made up for, so that a team
	// with few requests doesn't hold the others back.
	maxLag = 300 * time.Millisecond
)

// charge advances a team's start tag by tokens that were placed for it.
func (s *shares) charge(t *teamState, tokens float64) {
	most := s.virtualTime + max(s.rate*maxLead.Seconds(), tokens)
	t.startTag = min(max(t.startTag, s.virtualTime)+tokens, most)
}

// tagSummary summarizes the start tags of all teams, each at least the virtual time.
type tagSummary struct {
	backlogged int     // number of backlogged teams
	admitted   float64 // tokens that these were admitted within the window
	minTag     float64 // least tag of these
	tagSum     float64 // sum of the tags of these
	maxTag     float64 // largest tag of all teams
}

// add adds a team to the summary.
func (x *tagSummary) add(t *teamState, backlogged bool, virtualTime float64) {
	x.maxTag = max(x.maxTag, t.startTag, virtualTime)
	if !backlogged {
		return
	}
	tag := max(t.startTag, virtualTime)
	if x.backlogged == 0 || tag < x.minTag {
		x.minTag = tag
	}
	x.backlogged++
	x.admitted += t.admitted.total
	x.tagSum += tag
}

// advance advances the virtual time. While no team is backlogged it is the largest tag, so
// that no team has a lead.
func (s *shares) advance(x tagSummary) {
	s.meanBacklogged = x.admitted / float64(max(x.backlogged, 1))
	s.rate = s.meanBacklogged / (windowBuckets * s.bucketSpan).Seconds()
	s.maxTag = max(x.maxTag, s.virtualTime)
	if x.backlogged == 0 {
		s.virtualTime = s.maxTag
		return
	}
	mean := x.tagSum / float64(x.backlogged)
	s.virtualTime = max(x.minTag, mean-maxLag.Seconds()*s.rate)
}

// lead returns the time, from 0 to maxLead, by which a team is ahead of the virtual time.
func (s *shares) lead(t *teamState) time.Duration {
	if s.rate <= 0 || t.startTag <= s.virtualTime {
		return 0
	}
	return time.Duration(min((t.startTag-s.virtualTime)/s.rate, maxLead.Seconds()) * float64(time.Second))
}

// trailsAnother reports whether another team's tag is more than freeLead ahead of this
// team's.
func (s *shares) trailsAnother(t *teamState) bool {
	return s.rate > 0 && s.maxTag > max(t.startTag, s.virtualTime)+s.rate*freeLead.Seconds()
}

// queueFraction returns the fraction, over 0 and up to 1, of the usual queueing delay
// behind which requests of a team with a lead may be placed.
func queueFraction(lead time.Duration) float64 {
	if lead <= freeLead {
		return 1
	}
	x := float64(lead-freeLead) / float64(leadScale)
	return 1 / (1 + x*x)
}
