package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newStanding returns shares in which each named team wants more and was admitted the same
// within the window, so that the rate is a thousand tokens a second.
func newStanding(names ...string) *shares {
	s := newShares(buckets * 100 * time.Millisecond)
	for _, name := range names {
		t := s.team(name)
		t.asked.add(1, 1)
		t.admitted.add(1, 3000)
	}
	s.tick(1, names...)
	return s
}

// tick refuses a request of each named team and moves on to a slot.
func (s *shares) tick(slot int64, wanting ...string) {
	for _, name := range wanting {
		s.team(name).refused = slot
	}
	s.update(time.Unix(0, slot*int64(s.bucket)), 1e9)
}

// TestLeadOfWhoReceivesMore: of two teams that want more, one is given a second's worth. It
// is ahead by as much, until the other one has received the same.
func TestLeadOfWhoReceivesMore(t *testing.T) {
	is := is.New(t)
	s := newStanding("north", "south")
	north, south := s.team("north"), s.team("south")
	s.charge(north, 1000)
	s.tick(2, "north", "south")
	behindMean := 500 * time.Millisecond
	is.Equal(s.lead(north), time.Second-(behindMean-maxLag))
	is.Equal(s.lead(south), time.Duration(0))
	is.True(s.outrun(south))
	is.True(!s.outrun(north))
	is.True(room(s.lead(north)) < 0.2)
	s.charge(south, 800) // what it lacks beyond maxLag is not made up for
	s.tick(3, "north", "south")
	is.Equal(s.lead(north), s.lead(south))
	is.Equal(s.outrun(south), false)
}

// TestIdleTeamSavesNothing: a team that asked for nothing while others received continues
// at the virtual time.
func TestIdleTeamSavesNothing(t *testing.T) {
	is := is.New(t)
	s := newStanding("north", "south")
	for slot := int64(2); slot < 12; slot++ {
		s.charge(s.team("north"), 500)
		s.charge(s.team("south"), 500)
		s.tick(slot, "north", "south")
	}
	idle := s.team("idle")
	s.charge(idle, 600)
	s.tick(12, "north", "south", "idle")
	is.True(s.lead(idle) >= 500*time.Millisecond)
	is.Equal(s.lead(s.team("north")), time.Duration(0))
}

// TestFewRequestsHoldNobodyBack: a team that is refused now and then and never served does
// not make the others' leads grow.
func TestFewRequestsHoldNobodyBack(t *testing.T) {
	is := is.New(t)
	s := newStanding("few", "north", "south", "east")
	for slot := int64(2); slot < 40; slot++ {
		for _, name := range []string{"north", "south", "east"} {
			s.charge(s.team(name), 100)
		}
		s.tick(slot, "few", "north", "south", "east")
	}
	is.True(s.lead(s.team("north")) <= 2*maxLag)
}

// TestNobodyLeadsAlone: once no team is refused any more, none is held back.
func TestNobodyLeadsAlone(t *testing.T) {
	is := is.New(t)
	s := newStanding("north", "south")
	s.charge(s.team("north"), 2000)
	s.tick(2, "north", "south")
	is.True(room(s.lead(s.team("north"))) < 1)
	s.tick(3 + wantingBuckets)
	is.Equal(room(s.lead(s.team("north"))), 1.0)
}

// TestRoomShrinksWithTheLead: no more than freeLead costs nothing, and a large lead leaves
// hardly more than idle engines.
func TestRoomShrinksWithTheLead(t *testing.T) {
	is := is.New(t)
	is.Equal(room(0), 1.0)
	is.Equal(room(freeLead), 1.0)
	is.Equal(room(freeLead+leadScale), 0.5)
	is.True(room(maxLead) < 0.02)
}

// TestTeamAheadMayAskAgain: a team that is under its share and refused since it is ahead of
// others is told to come back soon, and its gateway may ask about its next request: only
// a team over its share is kept from asking.
func TestTeamAheadMayAskAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1)
	c := w.core
	for _, team := range []string{"ahead", "south"} {
		c.Place(w.now, gateway, w.request(team, chats))
	}
	slot := c.shares.slot(w.now)
	for _, team := range []string{"ahead", "south"} {
		c.shares.team(team).refused = slot + 1
	}
	c.shares.charge(c.shares.team("ahead"), 20_000)
	now := w.now.Add(2 * c.shares.bucket)
	c.shares.team("south").asked.add(slot, 2000)
	w.core.engines[engineName(0)].unread = engineReads * 200 // milliseconds
	d := c.Place(now, gateway, w.request("ahead", chats))
	is.Equal(d.Reason, AheadOfOthers)
	is.Equal(d.RefuseFor, time.Duration(0))
	is.True(d.RetryAfter <= time.Duration(MaxRetryFraction*float64(chats.objective)))
	is.True(d.Inputs.Lead > freeLead)
	is.True(d.Inputs.Received < d.Inputs.Share)
	is.True(c.Place(now, gateway, w.request("south", chats)).Upstream != "")
}
