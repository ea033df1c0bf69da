package share

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// hotQueue returns a queue with one upstream of eight places whose calls take
// 20 ms and whose grants take a millisecond.
func hotQueue() *Queue {
	q := NewQueue(QueueSettings{
		PipelineFactor: 1,
	}, equalWeights)
	q.SetUpstream(1, 8, false)
	q.runDuration = 0.02
	q.grantLatency = 0.001
	q.idempotentShare = 1
	q.totalsAt = start
	return q
}

func demand(q *Queue, team TeamID, count int) {
	q.SetDemand(start, "gateway-1", Demand{
		Team:  team,
		Count: count,
	})
}

// runOne starts and ends the next arrived request.
func runOne(q *Queue) *team {
	id, ok := q.StartNext(start)
	if !ok {
		return nil
	}
	t := q.runs[id].team
	q.Finish(start.Add(20*time.Millisecond), id, 20)
	return t
}

// TestQueueGrantsInBatches lets short calls run from a full stock: the next
// grants come only when the stock has run down, and then many at once.
func TestQueueGrantsInBatches(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	demand(q, 1, 500)
	grants := q.IssueGrants(start, nil)
	is.Equal(len(grants), 2) // the free places, and the stock
	all := places(grants)
	is.Equal(len(all), 8+2+8*15) // places, on their way, and stock of 300 ms
	for _, id := range all {
		is.True(q.Arrive(start, id, true))
	}
	granted, frames := 0, 0
	for range 1000 {
		is.True(runOne(q) != nil) // no place is ever idle
		if next := q.IssueGrants(start, nil); len(next) > 0 {
			frames++
			for _, id := range places(next) {
				granted++
				is.True(q.Arrive(start, id, true))
			}
			demand(q, 1, 500)
		}
	}
	is.True(granted >= 1000-(2+8*15)) // all but what the last stock still holds
	is.True(frames <= 10)
}

// TestQueueKeepsNoStockOfLongRuns grants places of long runs one by one.
func TestQueueKeepsNoStockOfLongRuns(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	q.runDuration = 10
	demand(q, 1, 500)
	is.Equal(len(places(q.IssueGrants(start, nil))), 8)
}

// TestStockIsBounded keeps the stock of calls that take no time finite.
func TestStockIsBounded(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	q.runDuration = 1e-6
	demand(q, 1, 10_000)
	is.True(len(places(q.IssueGrants(start, nil))) <= 8+8+maxPrefetch)
}

// TestStockIsBoundedInBytes keeps fewer places ahead where bodies are large.
func TestStockIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	q.RecordBodySize(1 << 20)
	demand(q, 1, 500)
	is.Equal(len(places(q.IssueGrants(start, nil))), 8+2+16)
}

// TestNewcomerPassesTheStock lets a team come while the stock of another is
// full: it is granted a place at once and runs next.
func TestNewcomerPassesTheStock(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	demand(q, 1, 500)
	for _, id := range places(q.IssueGrants(start, nil)) {
		is.True(q.Arrive(start, id, true))
	}
	is.True(runOne(q) != nil)
	q.IssueGrants(start, nil)
	demand(q, 2, 1)
	grants := q.IssueGrants(start, nil)
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Grant.Team, TeamID(2))
	is.True(q.Arrive(start, grants[0].Grant.ID, true))
	is.Equal(runOne(q).id, TeamID(2))
}

// TestNewcomersAreBounded floods a full stock with newcomers: no more are
// granted at once than there are places.
func TestNewcomersAreBounded(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	demand(q, 1, 500)
	q.IssueGrants(start, nil)
	for team := range TeamID(100) {
		demand(q, team+2, 1)
	}
	is.Equal(len(places(q.IssueGrants(start, nil))), 8)
}

// TestBookingGoesBeforeTheStock lets a request that may not be repeated arrive
// behind a full stock: it runs next, so that it waits at the sidecar for no longer
// than it has to.
func TestBookingGoesBeforeTheStock(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	demand(q, 1, 500)
	ids := places(q.IssueGrants(start, nil))
	for i, id := range ids {
		is.True(q.Arrive(start, id, i < len(ids)-1))
	}
	id, ok := q.StartNext(start)
	is.True(ok)
	is.Equal(id, ids[len(ids)-1])
}

// TestStockLeavesBookingsOut keeps a stock as large as the share of the requests
// that may be repeated.
func TestStockLeavesBookingsOut(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	is.Equal(q.prefetchDepth(8), 120)
	for range 100 {
		demand(q, 1, 1)
		for _, id := range places(q.IssueGrants(start, nil)) {
			is.True(q.Arrive(start, id, false))
			q.Release(start, id)
		}
	}
	is.Equal(q.prefetchDepth(8), 0)
}

// TestBookingsDoNotFillTheStock lets every granted request be one that may not be
// repeated: no more of them wait than there are places and grants on their way.
func TestBookingsDoNotFillTheStock(t *testing.T) {
	is := is.New(t)
	q := hotQueue()
	for range 100 {
		demand(q, 1, 1)
		for _, id := range places(q.IssueGrants(start, nil)) {
			is.True(q.Arrive(start, id, false))
		}
		for id, ok := q.StartNext(start); ok; id, ok = q.StartNext(start) {
			is.True(id > 0)
		}
	}
	is.True(q.upstreams[0].nonIdempotent <= q.pipelineDepth(8)+1)
}
