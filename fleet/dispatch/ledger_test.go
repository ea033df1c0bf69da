package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// twoTeams enters eight seconds of two teams that ask alike; one receives a part of what
// the other one does, and is refused in all seconds but those left out.
func twoTeams(l *ledger, part float64, contentSecond int) time.Time {
	now := begin
	for second := range 8 {
		for range 10 {
			for _, team := range []string{"north", "south"} {
				l.asked(now, team, 100)
			}
			l.began(now, "south", 80)
			l.began(now, "north", part*80)
			if second != contentSecond {
				l.refused(now, "north", refusalFor(Busy))
			}
			now = now.Add(100 * time.Millisecond)
		}
	}
	return now
}

// TestShortfall: a team that received less than half of another's, with three requests
// taken off, and was refused in each second, is short; others are not.
func TestShortfall(t *testing.T) {
	for _, slots := range []int{1, 4} {
		for _, c := range []struct {
			part    float64
			content int // the second without a refusal
			short   bool
		}{
			{0.4, -1, true},
			{0.5, -1, false},
			{0.4, 5, false},
			{0.4, 0, true}, // before the span
		} {
			t.Run(fmt.Sprintf("%d slots, %.1f, content in %d", slots, c.part, c.content), func(t *testing.T) {
				is := is.New(t)
				l := newLedger(slots)
				end := twoTeams(l, c.part, c.content)
				short := l.shortfalls(end)
				is.Equal(len(short) > 0, c.short)
				if c.short {
					is.Equal(short[0].Team, "north")
					is.Equal(short[0].Refused.Busy, 60)
					is.Equal(short[0].Demand, 6000.0)
					is.Equal(short[0].Due, 6*800-3*100.0)
				}
				is.Equal(len(l.shortfalls(end.Add(time.Minute))), 0)
				is.Equal(len(l.teams), 0) // forgotten
			})
		}
	}
}

// TestWaitingIsWanting: a team whose requests begin long after their objectives is short
// without any refusal.
func TestWaitingIsWanting(t *testing.T) {
	is := is.New(t)
	l := newLedger(coreSlots)
	end := twoTeams(l, 0.4, -1)
	for _, entries := range l.teams {
		for i := range entries {
			entries[i].refused = Refusals{}
		}
	}
	is.Equal(len(l.shortfalls(end)), 0)
	l.waited(begin, end, "north")
	is.Equal(len(l.shortfalls(end)), 1)
}

// TestLedgerOfACore has a core refuse and place requests, and hear of those that a
// gateway refused by itself.
func TestLedgerOfACore(t *testing.T) {
	is := is.New(t)
	c := newCore(upstreamAt("a"))
	is.Equal(len(c.Shortfalls(begin)), 0) // nothing is recorded
	c.ledger = newLedger(coreSlots)
	place := func(id uint64, excluded ...string) {
		r := prompted(id)
		r.Excluded = excluded
		c.Place(begin, "g", r)
	}
	place(1)
	place(2, "a")
	c.RecordGatewayRefusals(begin, []GatewayRefusals{
		{
			Team:     "north",
			Requests: 3,
			Tokens:   4500,
			Largest:  2000,
		},
		{
			Team: "none",
		},
	})
	late := begin.Add(2 * time.Second)
	c.RecordStart(late, Key{
		Gateway: "g",
		ID:      1,
	})
	c.RecordStart(late, Key{
		Gateway: "g",
		ID:      1,
	})
	first, last := c.ledger.entry("north", c.ledger.at(begin)), c.ledger.entry("north", c.ledger.at(late))
	is.Equal(first.asked, 6500.0)
	is.Equal(first.largest, 2000.0)
	is.Equal(first.refused, Refusals{
		NoUpstream: 1,
		ByGateway:  3,
	})
	is.Equal(last.received, 1000.0) // counted once
	is.True(last.waited)            // its objective was a second
	is.Equal(len(c.ledger.teams), 1)
}
