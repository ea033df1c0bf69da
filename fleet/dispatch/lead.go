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
func (s *shares) charge(t *team, tokens float64) {
	most := s.virtual + max(s.rate*maxLead.Seconds(), tokens)
	t.tag = min(max(t.tag, s.virtual)+tokens, most)
}

// standing sums up how teams stand against each other.
type standing struct {
	wanting  int     // teams that want more
	admitted float64 // tokens within the window, of these
	least    float64 // tag of these
	sum      float64 // of their tags
	largest  float64 // tag of all teams
}

// add counts a team.
func (x *standing) add(t *team, wants bool, virtual float64) {
	x.largest = max(x.largest, t.tag, virtual)
	if !wants {
		return
	}
	tag := max(t.tag, virtual)
	if x.wanting == 0 || tag < x.least {
		x.least = tag
	}
	x.wanting++
	x.admitted += t.admitted.total
	x.sum += tag
}

// advance moves the virtual time on. While no team wants more, none is ahead of others.
func (s *shares) advance(x standing) {
	s.meanWanting = x.admitted / float64(max(x.wanting, 1))
	s.rate = s.meanWanting / (buckets * s.bucket).Seconds()
	s.largest = max(x.largest, s.virtual)
	if x.wanting == 0 {
		s.virtual = s.largest
		return
	}
	mean := x.sum / float64(x.wanting)
	s.virtual = max(x.least, mean-maxLag.Seconds()*s.rate)
}

// lead returns by how much a team is ahead of the virtual time.
func (s *shares) lead(t *team) time.Duration {
	if s.rate <= 0 || t.tag <= s.virtual {
		return 0
	}
	return time.Duration(min((t.tag-s.virtual)/s.rate, maxLead.Seconds()) * float64(time.Second))
}

// outrun reports whether another team is ahead of this one by more than freeLead.
func (s *shares) outrun(t *team) bool {
	return s.rate > 0 && s.largest > max(t.tag, s.virtual)+s.rate*freeLead.Seconds()
}

// room returns which part of the time that may be ahead of a request at an engine is left
// to a team with a lead.
func room(lead time.Duration) float64 {
	if lead <= freeLead {
		return 1
	}
	x := float64(lead-freeLead) / float64(leadScale)
	return 1 / (1 + x*x)
}
