package dispatch

import "time"

// Figures of leads. They are times at the rate at which the teams that want more are
// served.
const (
	// freeLead is how far a team may be ahead of the one that received least before it is
	// held back.
	freeLead = 200 * time.Millisecond
	// leadScale is the lead beyond freeLead with which a team gets half of the room at the
	// engines.
	leadScale = 200 * time.Millisecond
	// maxLead is the largest lead that is remembered: a team that had much while there was
	// room for all is held back no longer than this.
	maxLead = 2 * time.Second
	// maxLag is how far a team may be behind the mean of those that want more. What it
	// lacks beyond is not made up for, so that one with few requests holds nobody back.
	maxLag = 300 * time.Millisecond
)

// Teams are served in an order by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM
// 1996). Each has a tag, the virtual time at which its next request starts, which each
// placed request moves on by its tokens. The virtual time follows the least tag of the
// teams that want more. A team that wanted nothing continues at the virtual time, so that
// it doesn't receive at once what it left to others. The larger a team's lead over the
// virtual time, the less may be ahead of its requests at an engine. This bounds what
// teams receive against each other over any span, whatever the engines can do.

// charge moves a team's tag on by tokens that it is given.
func (s *shares) charge(t *teamState, tokens float64) {
	most := s.virtualTime + max(s.rate*maxLead.Seconds(), tokens)
	t.startTag = min(max(t.startTag, s.virtualTime)+tokens, most)
}

// tagSummary sums up how teams stand against each other.
type tagSummary struct {
	backlogged int     // teams that want more
	admitted   float64 // tokens within the window, of these
	minTag     float64 // tag of these
	tagSum     float64 // of their tags
	maxTag     float64 // tag of all teams
}

// add counts a team.
func (x *tagSummary) add(t *teamState, wants bool, virtual float64) {
	x.maxTag = max(x.maxTag, t.startTag, virtual)
	if !wants {
		return
	}
	tag := max(t.startTag, virtual)
	if x.backlogged == 0 || tag < x.minTag {
		x.minTag = tag
	}
	x.backlogged++
	x.admitted += t.admitted.total
	x.tagSum += tag
}

// advance moves the virtual time on. While no team wants more, none is ahead of others.
func (s *shares) advance(x tagSummary) {
	s.meanBacklogged = x.admitted / float64(max(x.backlogged, 1))
	s.rate = s.meanBacklogged / (windowBuckets * s.bucket).Seconds()
	s.maxTag = max(x.maxTag, s.virtualTime)
	if x.backlogged == 0 {
		s.virtualTime = s.maxTag
		return
	}
	mean := x.tagSum / float64(x.backlogged)
	s.virtualTime = max(x.minTag, mean-maxLag.Seconds()*s.rate)
}

// lead returns by how much a team is ahead of the virtual time.
func (s *shares) lead(t *teamState) time.Duration {
	if s.rate <= 0 || t.startTag <= s.virtualTime {
		return 0
	}
	return time.Duration(min((t.startTag-s.virtualTime)/s.rate, maxLead.Seconds()) * float64(time.Second))
}

// trailsAnother reports whether another team is ahead of this one by more than freeLead.
func (s *shares) trailsAnother(t *teamState) bool {
	return s.rate > 0 && s.maxTag > max(t.startTag, s.virtualTime)+s.rate*freeLead.Seconds()
}

// queueFraction returns which part of the time that may be ahead of a request at an engine is left
// to a team with a lead.
func queueFraction(lead time.Duration) float64 {
	if lead <= freeLead {
		return 1
	}
	x := float64(lead-freeLead) / float64(leadScale)
	return 1 / (1 + x*x)
}
