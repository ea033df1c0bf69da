package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newBackloggedShares returns shares in which each named team is backlogged and was admitted
// the same within the window, so that each is served at a thousand tokens per second.
func newBackloggedShares(names ...string) *shares {
	s := newShares(windowBuckets * 100 * time.Millisecond)
	for _, name := range names {
		t := s.team(name)
		t.demand.add(1, 1)
		t.admitted.add(1, 3000)
	}
	s.tick(1, names...)
	return s
}

// tick refuses a request of each named team and moves on to a bucket.
func (s *shares) tick(bucket int64, backlogged ...string) {
	for _, name := range backlogged {
		s.team(name).lastRefused = bucket
	}
	s.update(time.Unix(0, bucket*int64(s.bucketSpan)), 1e9)
}

// TestLeadOfTeamThatReceivedMore: one of two backlogged teams receives the tokens of one
// second at their rate. It is ahead until the other one has caught up.
func TestLeadOfTeamThatReceivedMore(t *testing.T) {
	is := is.New(t)
	s := newBackloggedShares("north", "south")
	north, south := s.team("north"), s.team("south")
	s.charge(north, 1000)
	s.tick(2, "north", "south")
	behindMean := 500 * time.Millisecond
	is.Equal(s.lead(north), time.Second-(behindMean-maxLag))
	is.Equal(s.lead(south), time.Duration(0))
	is.True(s.trailsAnother(south))
	is.True(!s.trailsAnother(north))
	is.True(queueFraction(s.lead(north)) < 0.2)
	s.charge(south, 800) // a lag beyond maxLag is not made up for
	s.tick(3, "north", "south")
	is.Equal(s.lead(north), s.lead(south))
	is.Equal(s.trailsAnother(south), false)
}

// TestIdleTeamAccruesNoCredit: a team that was idle while others received continues at
// the virtual time.
func TestIdleTeamAccruesNoCredit(t *testing.T) {
	is := is.New(t)
	s := newBackloggedShares("north", "south")
	for bucket := int64(2); bucket < 12; bucket++ {
		s.charge(s.team("north"), 500)
		s.charge(s.team("south"), 500)
		s.tick(bucket, "north", "south")
	}
	idle := s.team("idle")
	s.charge(idle, 600)
	s.tick(12, "north", "south", "idle")
	is.True(s.lead(idle) >= 500*time.Millisecond)
	is.Equal(s.lead(s.team("north")), time.Duration(0))
}

// TestRarelyServedTeamDoesNotHoldOthersBack: a team that is refused repeatedly and never
// served does not make the others' leads grow, which would hold them back as well.
func TestRarelyServedTeamDoesNotHoldOthersBack(t *testing.T) {
	is := is.New(t)
	s := newBackloggedShares("few", "north", "south", "east")
	for bucket := int64(2); bucket < 40; bucket++ {
		for _, name := range []string{"north", "south", "east"} {
			s.charge(s.team(name), 100)
		}
		s.tick(bucket, "few", "north", "south", "east")
	}
	is.True(s.lead(s.team("north")) <= 2*maxLag)
}

// TestNoLeadWithoutBackloggedTeams: once no team is refused, none is held back.
func TestNoLeadWithoutBackloggedTeams(t *testing.T) {
	is := is.New(t)
	s := newBackloggedShares("north", "south")
	s.charge(s.team("north"), 2000)
	s.tick(2, "north", "south")
	is.True(queueFraction(s.lead(s.team("north"))) < 1)
	s.tick(3 + backloggedBuckets)
	is.Equal(queueFraction(s.lead(s.team("north"))), 1.0)
}

// TestQueueFractionShrinksWithLead: a lead up to freeLead has no effect, and a large
// lead leaves hardly more than idle engines.
func TestQueueFractionShrinksWithLead(t *testing.T) {
	is := is.New(t)
	is.Equal(queueFraction(0), 1.0)
	is.Equal(queueFraction(freeLead), 1.0)
	is.Equal(queueFraction(freeLead+leadScale), 0.5)
	is.True(queueFraction(maxLead) < 0.02)
}

// TestTeamAheadIsNotThrottled: a team under its share that is refused since it is ahead of
// others gets a short retry delay, and its gateway may ask about its next request: only a
// team over its share is throttled.
func TestTeamAheadIsNotThrottled(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1)
	c := sim.scheduler
	for _, team := range []string{"ahead", "south"} {
		c.Place(sim.now, gateway, sim.request(team, chats))
	}
	bucket := c.shares.bucketAt(sim.now)
	for _, team := range []string{"ahead", "south"} {
		c.shares.team(team).lastRefused = bucket + 1
	}
	c.shares.charge(c.shares.team("ahead"), 20_000)
	now := sim.now.Add(2 * c.shares.bucketSpan)
	c.shares.team("south").demand.add(bucket, 2000)
	sim.scheduler.engines[engineName(0)].prefillBacklog = enginePrefillSpeed * 200 // milliseconds
	d := c.Place(now, gateway, sim.request("ahead", chats))
	is.Equal(d.Reason, AheadOfOthers)
	is.Equal(d.RefuseFor, time.Duration(0))
	is.True(d.RetryAfter <= time.Duration(MaxRetryFraction*float64(chats.objective)))
	is.True(d.Inputs.Lead > freeLead)
	is.True(d.Inputs.Admitted < d.Inputs.Share)
	is.True(c.Place(now, gateway, sim.request("south", chats)).Upstream != "")
}
