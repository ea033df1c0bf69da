package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// twoTeams records eight seconds of two teams with equal demand. North receives a fraction
// of what south does and is refused in each second but servedSecond.
func twoTeams(l *ledger, fraction float64, servedSecond int) time.Time {
	now := begin
	for second := range 8 {
		for range 10 {
			for _, team := range []string{"north", "south"} {
				l.requested(now, team, 100)
			}
			l.started(now, "south", 80)
			l.started(now, "north", fraction*80)
			if second != servedSecond {
				l.refused(now, "north", refusalFor(Busy))
			}
			now = now.Add(100 * time.Millisecond)
		}
	}
	return now
}

// TestShortfall checks that a team is short only if, within the compared span, it was
// refused in each second and received less than half of its due. Due is, for each second,
// what the other team received or its own demand, if that is less; its three largest
// requests are subtracted.
func TestShortfall(t *testing.T) {
	for _, bucketsPerSecond := range []int{1, 4} {
		for _, c := range []struct {
			fraction     float64 // of what the other team received
			servedSecond int     // the second without refusals, or -1
			short        bool
		}{
			{0.4, -1, true},
			{0.5, -1, false},
			{0.4, 5, false},
			{0.4, 0, true}, // before the span
		} {
			t.Run(fmt.Sprintf("%d buckets per second, fraction %.1f, no refusals in second %d", bucketsPerSecond, c.fraction, c.servedSecond), func(t *testing.T) {
				is := is.New(t)
				l := newLedger(bucketsPerSecond)
				end := twoTeams(l, c.fraction, c.servedSecond)
				short := l.shortfalls(end)
				is.Equal(len(short) > 0, c.short)
				if c.short {
					is.Equal(short[0].Team, "north")
					is.Equal(short[0].Refused.Busy, 60)
					is.Equal(short[0].Demand, 6000.0)
					is.Equal(short[0].Due, 6*800-3*100.0)
				}
				is.Equal(len(l.shortfalls(end.Add(time.Minute))), 0)
				is.Equal(len(l.teams), 0) // teams without recent requests are removed
			})
		}
	}
}

// TestWaitingTeamIsBacklogged: a team whose requests start long after their objectives
// is short without any refusal.
func TestWaitingTeamIsBacklogged(t *testing.T) {
	is := is.New(t)
	l := newLedger(schedulerBuckets)
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

// TestLedgerOfScheduler has a Scheduler place and refuse requests, and record those
// that a gateway refused without asking.
func TestLedgerOfScheduler(t *testing.T) {
	is := is.New(t)
	c := newScheduler(upstreamAt("a"))
	is.Equal(len(c.Shortfalls(begin)), 0) // nothing is recorded
	c.ledger = newLedger(schedulerBuckets)
	place := func(id uint64, excluded ...string) {
		r := teamRequest(id)
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
	first, last := c.ledger.entry("north", c.ledger.bucketAt(begin)), c.ledger.entry("north", c.ledger.bucketAt(late))
	is.Equal(first.demand, 6500.0)
	is.Equal(first.largest, 2000.0)
	is.Equal(first.refused, Refusals{
		NoUpstream: 1,
		ByGateway:  3,
	})
	is.Equal(last.received, 1000.0) // counted once
	is.True(last.waited)            // its objective was a second
	is.Equal(len(c.ledger.teams), 1)
}
